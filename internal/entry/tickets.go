package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// ticketTimeout bounds how long one companion is asked for a ticket.
const ticketTimeout = time.Second

// ticketBody is what a caller sends to get a ticket.
type ticketBody struct {
	Service usher.ServiceName `json:"service"`
}

// ticketAnswer is what it gets.
type ticketAnswer struct {
	Ticket         usher.IdempotencyKey `json:"ticket"`
	ExpiresSeconds float64              `json:"expiresSeconds"`
}

// issueTicket serves tickets. A ticket is an idempotency key that works while
// the store is down.
func (e *Entry) issueTicket(w http.ResponseWriter, r *http.Request) {
	accepted, refusal := e.accept(r)
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	body, refusal := e.readBody(w, r)
	var asked ticketBody
	if refusal == nil && json.Unmarshal(body, &asked) != nil {
		refusal = usher.NewRefusal(usher.RefusalBadRequest, `the body has to be {"service": "name"}`)
	}
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	if _, ok := accepted.snapshot.Services[asked.Service]; !ok {
		e.end(w, accepted, nil, usher.NewRefusal(usher.RefusalUnknownService, "there is no such service"))
		return
	}
	answer, refusal := e.fetchTicket(r.Context(), accepted, asked.Service)
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	accepted.Key = answer.Ticket
	decision := accepted.decision()
	decision.Outcome, decision.Status = usher.OutcomeRan, http.StatusCreated
	e.finish(decision, accepted.copies)
	writeJSON(w, http.StatusCreated, answer)
}

// fetchTicket asks the companions of a service in the order that placement
// prefers until one issues a ticket.
func (e *Entry) fetchTicket(ctx context.Context, accepted *request, service usher.ServiceName) (ticketAnswer, *usher.Refusal) {
	accepted.Service = service
	accepted.Cost = usher.RequestCost{PromptTokens: 1, AnswerTokens: 1}
	for _, candidate := range e.Placer.Candidates(&accepted.RequestHeader, nil) {
		peer := e.peers.of(candidate.Endpoint)
		if peer == nil {
			continue
		}
		limit, cancel := context.WithTimeout(ctx, ticketTimeout)
		reply := &wire.TicketReply{}
		args := &wire.TicketArgs{Caller: e.caller(), Workspace: accepted.Workspace, Service: service}
		err := peer.link.Call(limit, wire.MethodTicket, args, reply)
		cancel()
		if err == nil && reply.Refusal == nil {
			accepted.endpoint = candidate.Endpoint
			return ticketAnswer{Ticket: reply.Ticket, ExpiresSeconds: reply.Expires.Seconds()}, nil
		}
	}
	return ticketAnswer{}, usher.NewRefusal(usher.RefusalNoEndpoint, "no endpoint issues a ticket").WithRetryAfter(time.Second)
}
