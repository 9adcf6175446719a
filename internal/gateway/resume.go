package gateway

import (
	"slices"

	"filbertusher/internal/routing"
	"filbertusher/internal/streamorigin"
	"filbertusher/pkg/usher"
)

// resolveOrigin finds out where the stream began that the caller takes up. A stream may go
// on only at the service and the software version that began it, and is refused if these
// are not known.
func (h *requestHandler) resolveOrigin() *usher.Refusal {
	if h.headers.LastEvent == "" || h.route.Kind != usher.KindStream || !h.route.Resumable {
		return nil
	}
	streams, services := h.gateway.Streams, servicesOf(h.route)
	h.origin, h.knowledge = streams.Of(h.headers.Resumes, services)
	if h.knowledge == streamorigin.Inferred {
		// Another version may have joined, and begun the stream, while this instance was cut
		// off or suspended.
		if h.gateway.Versions.Confirm(h.request.Context()) {
			h.origin, h.knowledge = streams.Of(h.headers.Resumes, services)
		} else {
			h.origin, h.knowledge = streamorigin.Origin{}, streamorigin.Unknown
		}
	}
	if h.knowledge == streamorigin.Unknown {
		h.gateway.metrics.resumed.Add(resumedUnknown, 1)
		// The sooner a caller learns that its stream can't go on, the more time is left to
		// begin anew.
		return usher.NewRefusal(usher.RefusalStreamOrigin, "it is not known which software version began the stream").WithRetryAfter(defaultRetryAfter)
	}
	if h.knowledge == streamorigin.Inferred && h.headers.Resumes != "" {
		streams.Infer(h.headers.Resumes, h.origin)
	}
	h.service = h.origin.Service
	return h.resolve()
}

// servicesOf returns the services that a route may send to.
func servicesOf(route *usher.Route) (services []usher.ServiceName) {
	for _, share := range route.Split {
		if routing.RoutesTo(route, share.Service) && !slices.Contains(services, share.Service) {
			services = append(services, share.Service)
		}
	}
	return services
}

// beginStream notes that the first event of a stream is passed on.
func (h *requestHandler) beginStream() {
	if h.knowledge != streamorigin.Unknown {
		return
	}
	h.origin = streamorigin.Origin{Service: h.service, Software: h.software}
	h.knowledge = streamorigin.Recorded
	if h.route.Resumable {
		h.gateway.Streams.Began(h.headers.ID, h.origin)
	}
}

// finishStream notes that the whole stream was passed on.
func (h *requestHandler) finishStream() {
	if !h.route.Resumable {
		return
	}
	h.gateway.Streams.Finished(h.headers.ID)
	if h.headers.Resumes != "" {
		h.gateway.Streams.Finished(h.headers.Resumes)
	}
}

// mayContinueAt reports whether the stream may go on, or begin, at an endpoint.
func (h *requestHandler) mayContinueAt(endpoint *usher.Registration) bool {
	return h.knowledge == streamorigin.Unknown || h.origin == streamorigin.Origin{Service: endpoint.Service, Software: endpoint.Software}
}

// requiredSoftware returns the software version that the request is restricted to, or nil.
func (h *requestHandler) requiredSoftware() *usher.SoftwareVersion {
	if h.knowledge == streamorigin.Unknown {
		return nil
	}
	return &h.origin.Software
}
