package gateway

import (
	"cmp"
	"slices"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/quota"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

// Question describes a request by what decides where it goes. Metadata holds its lengths, the
// parts of its prompt. Where the route sends to several services, Service picks one, or the ID in
// the metadata does as it would for a request. Most bounds the endpoints in the answer.
type Question struct {
	Route     usher.RouteName
	Workspace usher.WorkspaceName
	Service   usher.ServiceName
	Metadata  usher.RequestMetadata
	Most      int
}

// Answer is what would become of the request. Refusal is the kind of the refusal, if this
// instance would refuse the request before it looks for an endpoint.
type Answer struct {
	Route     usher.RouteName     `json:"route"`
	Workspace usher.WorkspaceName `json:"workspace,omitempty"`
	Service   usher.ServiceName   `json:"service,omitempty"`
	Rank      usher.Rank          `json:"rank"`
	Version   usher.Version       `json:"version"`
	Refusal   usher.RefusalKind   `json:"refusal,omitempty"`
	dispatch.Explanation
}

// Explain returns where a request would go if it came now, and why. Nothing is sent, counted or
// charged.
func (g *Gateway) Explain(question *Question) *Answer {
	answer := &Answer{Route: question.Route, Workspace: question.Workspace}
	refused := func(refusal *usher.Refusal) *Answer {
		answer.Refusal, answer.Decision, answer.Message = refusal.Kind, dispatch.DecisionRefuse, refusal.Message
		answer.RetryAfterMs = refusal.RetryAfter.Milliseconds()
		return answer
	}
	index := g.Routes.Index()
	if index == nil {
		return refused(usher.NewRefusal(usher.RefusalNotReady, "no configuration is known yet").WithRetryAfter(defaultRetryAfter))
	}
	answer.Version = index.Table.Version
	h := &requestHandler{gateway: g, headers: question.Metadata, arrived: time.Now()}
	if at := slices.IndexFunc(index.Table.Routes, func(r usher.Route) bool { return r.Name == question.Route }); at >= 0 {
		h.route = &index.Table.Routes[at]
	}
	if h.route == nil {
		return refused(g.unlessStale(usher.NewRefusal(usher.RefusalUnknownService, "no route has that name")))
	}
	if at := slices.IndexFunc(index.Table.Workspaces, func(w usher.WorkspaceSpec) bool { return w.Name == question.Workspace }); at >= 0 {
		h.workspace = &index.Table.Workspaces[at]
	}
	if index.Table.NeedsCredential && !h.route.Public {
		switch {
		case !g.hasFreshConfig():
			return refused(staleRefusal())
		case h.workspace == nil:
			return refused(usher.NewRefusal(usher.RefusalUnauthorized, "no workspace has that name"))
		}
	}
	h.setDeadline(h.route)
	h.service = cmp.Or(question.Service, routing.PickService(h.route, h.headers.ID))
	if !routing.RoutesTo(h.route, h.service) {
		return refused(usher.NewRefusal(usher.RefusalUnknownService, "the route does not send to this service"))
	}
	answer.Service, answer.Rank = h.service, h.rank()
	if !g.server.Takes(h.deadline) {
		return refused(g.stoppingRefusal())
	}
	if g.Blame.Look(func() []blame.Trait { return blame.SharedParts(h.service, h.headers.Prefix) }) == blame.Refused {
		return refused(usher.NewRefusal(usher.RefusalCrashSuspect, "requests with a part of this prompt have crashed endpoints").WithRetryAfter(suspectRetryAfter))
	}
	if h.workspace != nil {
		if decision := g.Quota.Look(h.workspace, quota.Cost(h.workspace, &h.headers)); !decision.Allowed {
			return refused(usher.NewRefusal(usher.RefusalLimitExceeded, "the workspace's quota is used up").WithRetryAfter(decision.Wait))
		}
	}
	answer.Explanation = g.Scheduler.Explain(h.dispatchRequest(nil, false), cmp.Or(max(0, question.Most), maxExplained))
	return answer
}

// maxExplained bounds the endpoints in an answer that doesn't ask for fewer.
const maxExplained = 1000
