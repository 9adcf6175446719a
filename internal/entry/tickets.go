package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// ticketTimeout is the timeout of one call for a ticket.
const ticketTimeout = time.Second

// ticketBody is the request body of the tickets API.
type ticketBody struct {
	Service usher.ServiceName `json:"service"`
}

// ticketResponse is the response body of the tickets API.
type ticketResponse struct {
	Ticket         usher.IdempotencyKey `json:"ticket"`
	ExpiresSeconds float64              `json:"expiresSeconds"`
}

// issueTicket issues a ticket, which is an idempotency key that works while the
// store is down.
func (e *Entry) issueTicket(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.accept(r)
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	body, refusal := e.readBody(w, r)
	defer body.Release()
	var requested ticketBody
	if refusal == nil && json.Unmarshal(body.Bytes, &requested) != nil {
		refusal = usher.NewRefusal(usher.RefusalBadRequest, `the body has to be {"service": "name"}`)
	}
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	if _, ok := req.snapshot.Services[requested.Service]; !ok {
		e.respond(w, req, nil, usher.NewRefusal(usher.RefusalUnknownService, "there is no such service"))
		return
	}
	response, refusal := e.fetchTicket(r.Context(), req, requested.Service)
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	req.Key = response.Ticket
	decision := req.decision()
	decision.Outcome, decision.Status = usher.OutcomeRan, http.StatusCreated
	e.recordDecision(req, decision)
	writeJSON(w, http.StatusCreated, response)
}

// fetchTicket asks the companions of a service, in the order of placement, until
// one issues a ticket.
func (e *Entry) fetchTicket(ctx context.Context, req *request, service usher.ServiceName) (ticketResponse, *usher.Refusal) {
	req.Service = service
	req.Cost = usher.RequestCost{PromptTokens: 1, AnswerTokens: 1}
	for _, candidate := range e.Placer.Candidates(&req.RequestHeader, nil) {
		peer := e.peers.get(candidate.Endpoint)
		if peer == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, ticketTimeout)
		reply := &wire.TicketReply{}
		args := &wire.TicketArgs{Caller: e.caller(), Workspace: req.Workspace, Service: service}
		err := peer.link.Call(callCtx, wire.MethodTicket, args, reply)
		cancel()
		if err == nil && reply.Refusal == nil {
			req.endpoint = candidate.Endpoint
			return ticketResponse{Ticket: reply.Ticket, ExpiresSeconds: reply.Expires.Seconds()}, nil
		}
	}
	return ticketResponse{}, usher.NewRefusal(usher.RefusalNoEndpoint, "no endpoint issues a ticket").WithRetryAfter(time.Second)
}
