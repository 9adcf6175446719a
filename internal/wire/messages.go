// Package wire defines the RPC messages that entries and companions exchange. Gateway
// instances have messages of their own (see package peering). The messages are
// sent over net/rpc with its gob codec, which tolerates added fields, so
// processes of different releases can communicate.
//
// Every request embeds Caller and every reply embeds Status. They tell each
// process which configuration its peers have and how loaded they are, without
// separate messages.
package wire

import (
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// Names of the remote methods, in net/rpc's form Service.Method.
const (
	MethodSubmit   = "Companion.Submit"
	MethodFetch    = "Companion.Fetch"
	MethodReserve  = "Companion.Reserve"
	MethodWithdraw = "Companion.Withdraw"
	MethodCollect  = "Companion.Collect"
	MethodTicket   = "Companion.Ticket"
	MethodPing     = "Companion.Ping"
	MethodSnapshot = "Peer.Snapshot"
	MethodRecord   = "Record.Exchange"
	MethodPage     = "Peer.Page"
)

// Caller is embedded in every request.
type Caller struct {
	// Incarnation is that of the calling process, which owns its streams and
	// reservations.
	Incarnation   usher.Incarnation
	ConfigVersion usher.Version
	// Peer is the address of the caller's own peer listener, from which the
	// receiver can fetch a newer configuration.
	Peer string
	// StopsIn is how long a caller that stops still waits for its requests, or 0 if it
	// does not stop. What takes longer is cut.
	StopsIn time.Duration
}

// Status is embedded in every reply.
type Status struct {
	Incarnation   usher.Incarnation
	ConfigVersion usher.Version
	Load          usher.LoadReport
	// Suspects are the requests that were running in endpoints when these
	// recently crashed.
	Suspects []suspect.CrashRecord
	// Blame are the beginnings of prompts under which endpoints crashed.
	Blame []blame.Record
}

// SubmitArgs submits a request with its body to a companion.
type SubmitArgs struct {
	Caller
	Header usher.RequestHeader
	// Remaining is the time to the deadline when the message is sent. The
	// receiver computes the deadline by its own clock, so clocks need not agree.
	Remaining time.Duration
	Call      usher.Call
	// MayWait lets the companion queue the request until it can be admitted. If
	// it is false and the endpoint is full, the reply is StateBusy and the
	// companion keeps nothing.
	MayWait bool
	// Grant is the ReserveReply.Grant of the request's reservation, or 0.
	Grant uint64
	// Stream is the caller's number for the stream of a streamed response. Events
	// that it receives by Collect carry the number.
	Stream uint64
	// Record is what the companion needs besides Header to build a Decision.
	Record usher.RecordContext
	// Slot is the entry's view of the key slot, for requests that may run only
	// once.
	Slot KeySlotView
}

// KeySlotView is a view of a key slot, a group of idempotency keys that only one
// companion, the holder, may dispatch at a time. It has the holder, its fencing
// token and the slot's epoch, and may be outdated. It is the message form of
// journal.View.
type KeySlotView struct {
	Holder usher.EndpointName
	Fence  usher.FencingToken
	Epoch  uint64
}

// SubmitState is the state of a submitted request.
type SubmitState int

const (
	// StateBusy means that the endpoint is full; the companion keeps nothing.
	StateBusy SubmitState = iota
	// StateAnswered means that Answer is the complete response.
	StateAnswered
	// StateStreaming means that the response is sent as events by Collect.
	StateStreaming
	// StateRefused means that Refusal is the reason why there is no response.
	StateRefused
	// StateWrongHolder means that the companion keeps nothing: the request has to
	// be sent to the holder in Slot, which may be the same companion, with that
	// view.
	StateWrongHolder
	// StateUnknownRequest means that this incarnation never received the request. It
	// occurs only in replies to FetchArgs. The request may still be in transit.
	StateUnknownRequest
)

// SubmitReply answers SubmitArgs and FetchArgs.
type SubmitReply struct {
	Status
	State   SubmitState
	Answer  *usher.Response
	Refusal *usher.Refusal
	// Held is set if the companion holds a copy of this outcome for the record.
	Held bool
	// Slot is the newest view of the key slot, for requests that have one.
	Slot KeySlotView
}

// FetchArgs asks for the outcome of a request that was submitted before, for
// example after a connection failure. The reply is sent when there is one. No
// companion reads Stream and From yet: the events of a streamed response stay queued
// until Collect acknowledges them.
type FetchArgs struct {
	Caller
	ID     usher.RequestID
	Stream uint64
	// From is the offset of the first event of a streamed response that the
	// caller still needs.
	From uint64
}

// ReserveArgs asks for a reservation for a request without sending its body. The
// reply is sent when the reservation is granted or has ended without a grant.
type ReserveArgs struct {
	Caller
	Header    usher.RequestHeader
	Remaining time.Duration
}

// ReserveReply grants a reservation or holds the reason why it was refused. Grant
// is the number of the grant, by which SubmitArgs claims it, or 0.
type ReserveReply struct {
	Status
	Grant   uint64
	Refusal *usher.Refusal
}

// WithdrawArgs withdraws a request or a reservation.
type WithdrawArgs struct {
	Caller
	ID usher.RequestID
	// TakeBack withdraws the request only if it is still queued, so that it can
	// be run at another endpoint. Otherwise the outcome is OutcomeUnknown.
	TakeBack bool
	// Reservation withdraws only the request's reservation; the request itself
	// may still be submitted.
	Reservation bool
	// Cancel also stops a request that was already dispatched.
	Cancel bool
}

// WithdrawReply holds what is known about the request. After OutcomeNotRun the
// companion rejects a request with the same ID that arrives later, unless TakeBack
// was set: then the request may be submitted again.
type WithdrawReply struct {
	Status
	Outcome usher.Outcome
}

// CollectArgs is a long poll, of at most Wait, for events of the calling
// incarnation's streams.
type CollectArgs struct {
	Caller
	// Session is the session that Ack belongs to, or 0 in the first call.
	Session uint64
	// Withdraw lists abandoned requests whose WithdrawArgs call got no reply or was
	// never sent. It is repeated until there is a reply.
	Withdraw []usher.RequestID
	// Ack is the last batch received. The companion resends a batch until it is
	// acknowledged, so a broken connection loses no event.
	Ack  uint64
	Wait time.Duration
}

// CollectReply carries a batch of events. Batch 0 is empty and needs no Ack.
type CollectReply struct {
	Status
	// Session identifies the state that the companion keeps for the calling
	// incarnation. It changes when the companion restarts or has treated the
	// caller as dead; the streams of the earlier session are lost then.
	Session uint64
	Batch   uint64
	Events  []Event
}

// EndState tells whether an event ends its stream, and how.
type EndState int

const (
	// EndNone is set on every event but the last.
	EndNone EndState = iota
	// EndComplete ends a complete response; the event has no data.
	EndComplete
	// EndIncomplete means that the rest of the response is lost; the event has a
	// Refusal.
	EndIncomplete
)

// Event is one event of a streamed response, sent from companion to entry.
type Event struct {
	Stream  uint64
	Offset  uint64
	Data    []byte
	End     EndState
	Refusal *usher.Refusal
	// Digest covers the data of all events; only set with EndComplete.
	Digest usher.Digest
	// Held is set if the companion holds a copy of this outcome for the record.
	Held bool
}

// SnapshotArgs asks a peer for the configuration changes since the caller's
// version. The reply is sent when there is a newer version or Wait is over.
type SnapshotArgs struct {
	Caller
	// Change is the ID of the change that produced the caller's version.
	Change string
	Wait   time.Duration
	// Probe asks only for the peer's version, in the status of the reply.
	Probe bool
}

// SnapshotReply carries the changes, or only the status. An object that changed
// several times is included once, in its current state.
type SnapshotReply struct {
	Status
	// Head is the encoded head of the newer version.
	Head    []byte
	Objects []usher.Object
	Deleted []usher.ObjectKey
	// Full is set if the peer no longer has the change history; the caller has
	// to fetch the pages that differ with MethodPage.
	Full bool
}

// PageArgs asks for the objects of one page of the configuration.
type PageArgs struct {
	Caller
	// Version is that of the configuration head which lists the page.
	Version usher.Version
	Page    int
}

// PageReply carries the objects of a page.
type PageReply struct {
	Status
	Objects []usher.Object
}

// TicketArgs asks for a ticket, an idempotency key that the companion issues
// (see package ticket).
type TicketArgs struct {
	Caller
	Workspace usher.WorkspaceName
	Service   usher.ServiceName
}

// TicketReply carries a ticket, or a Refusal if none was issued.
type TicketReply struct {
	Status
	Ticket  usher.IdempotencyKey
	Expires time.Duration
	Refusal *usher.Refusal
}

// PingArgs checks that a companion is alive.
type PingArgs struct{ Caller }

// PingReply answers PingArgs and carries only the status.
type PingReply struct{ Status }
