// Package wire defines the messages between the system's own processes. They
// travel over net/rpc with its gob codec, which tolerates added fields, so a
// process of a newer release can speak with an older one.
//
// Every request embeds Caller and every reply embeds Status. A process learns
// from them, without messages of their own, which configuration its peers
// hold and how loaded they are.
package wire

import (
	"time"

	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// Names of the remote methods. net/rpc has them as Service.Method.
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
	// Incarnation of the calling process; streams and reservations belong to it.
	Incarnation   usher.Incarnation
	ConfigVersion usher.Version
	// Peer is the address of the calling process's own peer listener, so that
	// the called one can fetch a newer configuration from there.
	Peer string
}

// Status is embedded in every reply.
type Status struct {
	Incarnation   usher.Incarnation
	ConfigVersion usher.Version
	Load          usher.LoadReport
	// Suspects are the requests that were in endpoints that crashed lately.
	Suspects []suspect.CrashRecord
}

// SubmitArgs offers a request with its body.
type SubmitArgs struct {
	Caller
	Header usher.RequestHeader
	// Remaining is the time to the deadline when the message was sent. The
	// receiver sets the deadline by its own clock, so clocks need not agree.
	Remaining time.Duration
	Call      usher.Call
	// MayWait lets the companion keep the request until there is room. When it
	// is false and there is no room, the reply is StateBusy and nothing is kept.
	MayWait bool
	// Grant is the reservation this request was granted, or 0.
	Grant uint64
	// Stream is the number under which the events of a streamed answer are
	// delivered to the calling incarnation by Collect.
	Stream uint64
	// Record completes the header to a line of the record.
	Record usher.RecordContext
	// Slot is what the entry knows of the slot of a key that may run only once.
	Slot SlotView
}

// SlotView is where a slot is held and how far its holder had come.
type SlotView struct {
	Holder usher.EndpointName
	Fence  usher.Fence
	Epoch  uint64
}

// SubmitState says what became of an offered request.
type SubmitState int

const (
	// StateBusy means that there is no room; nothing was kept.
	StateBusy SubmitState = iota
	// StateAnswered means that Answer is the whole answer.
	StateAnswered
	// StateStreaming means that events follow by Collect.
	StateStreaming
	// StateRefused means that Refusal says why there is no answer.
	StateRefused
	// StateElsewhere means that nothing was kept: the request has to be sent
	// to the holder in Slot, which may be the same companion, with that view.
	StateElsewhere
	// StateNotKnown means that this incarnation never saw the request; only in
	// the reply to FetchArgs. The request may still be on its way.
	StateNotKnown
)

// SubmitReply answers SubmitArgs and FetchArgs.
type SubmitReply struct {
	Status
	State   SubmitState
	Answer  *usher.Answer
	Refusal *usher.Refusal
	// Held says that the companion holds a copy of this outcome for the record.
	Held bool
	// Slot is the newest view of the slot, for requests that have one.
	Slot SlotView
}

// FetchArgs asks for the outcome of a request that was submitted before, for
// example after the connection broke. It waits until there is one.
type FetchArgs struct {
	Caller
	ID     usher.RequestID
	Stream uint64
	// From is the first event of a streamed answer that the caller still needs.
	From uint64
}

// ReserveArgs asks for room for a request without sending its body. The reply
// comes when there is room, or when the reservation ended without.
type ReserveArgs struct {
	Caller
	Header    usher.RequestHeader
	Remaining time.Duration
}

// ReserveReply grants or refuses a reservation.
type ReserveReply struct {
	Status
	Grant   uint64
	Refusal *usher.Refusal
}

// WithdrawArgs takes a request or a reservation back.
type WithdrawArgs struct {
	Caller
	ID usher.RequestID
	// TakeBack ends the request only if it waits, to be run elsewhere. The
	// outcome is OutcomeUnknown when it does not wait.
	TakeBack bool
	// Reservation takes back only a reservation of the request; the request
	// itself may still be submitted.
	Reservation bool
	// Cancel also ends the work of a request that was already dispatched.
	Cancel bool
}

// WithdrawReply says what is known of the request. After OutcomeNotRun the
// companion refuses a late arrival of the same id.
type WithdrawReply struct {
	Status
	Outcome usher.Outcome
}

// CollectArgs waits for events of the calling incarnation's streams.
type CollectArgs struct {
	Caller
	// Session is the session that Ack belongs to, or 0 in the first call.
	Session uint64
	// Withdraw names requests that nobody waits for any more, where the call
	// to withdraw them was lost. It is repeated until there is a reply.
	Withdraw []usher.RequestID
	// Ack is the batch that was received last. The companion repeats a batch
	// until it is acknowledged, so a broken connection loses no event.
	Ack  uint64
	Wait time.Duration
}

// CollectReply carries a batch of events. Batch 0 is empty and needs no Ack.
type CollectReply struct {
	Status
	// Session names what the companion keeps for the calling incarnation. It
	// changes when the companion restarts or gave the caller up for dead; the
	// streams of an earlier session are lost then.
	Session uint64
	Batch   uint64
	Events  []Event
}

// EndState says whether an event ends its stream and how.
type EndState int

const (
	// EndNone is on every event but the last.
	EndNone EndState = iota
	// EndWhole follows the last event of a whole answer; it has no data.
	EndWhole
	// EndBroken says that the rest of the answer is lost; it has a Refusal.
	EndBroken
)

// Event is one event of a streamed answer on its way to an entry.
type Event struct {
	Stream  uint64
	Offset  uint64
	Data    []byte
	End     EndState
	Refusal *usher.Refusal
	// Digest covers the data of all events; only with EndWhole.
	Digest usher.Digest
	// Held says that the companion holds a copy of this end for the record.
	Held bool
}

// SnapshotArgs asks a peer for what has changed in the configuration since the
// caller's version. The reply comes when there is a newer one or Wait is over.
type SnapshotArgs struct {
	Caller
	// Change is the id of the change that the caller's version was made by.
	Change string
	Wait   time.Duration
	// Probe asks for the peer's version alone, in the status of the reply.
	Probe bool
}

// SnapshotReply carries what has changed, or nothing but the status. Objects
// that changed more often are in it once, as they are now.
type SnapshotReply struct {
	Status
	// Head is the encoded head of the newer version.
	Head    []byte
	Objects []usher.Object
	Deleted []usher.ObjectKey
	// Full says that the peer no longer knows what has changed; the caller has
	// to fetch the pages that differ by MethodPage.
	Full bool
}

// PageArgs asks for the objects of one page of the configuration.
type PageArgs struct {
	Caller
	// Version is that of the head whose page is asked for.
	Version usher.Version
	Page    int
}

// PageReply carries the objects of a page.
type PageReply struct {
	Status
	Objects []usher.Object
}

// TicketArgs asks for a ticket.
type TicketArgs struct {
	Caller
	Workspace usher.WorkspaceName
	Service   usher.ServiceName
}

// TicketReply carries a ticket or says why there is none.
type TicketReply struct {
	Status
	Ticket  usher.IdempotencyKey
	Expires time.Duration
	Refusal *usher.Refusal
}

// PingArgs asks a companion whether it still runs.
type PingArgs struct{ Caller }

// PingReply answers PingArgs; all is in the status.
type PingReply struct{ Status }
