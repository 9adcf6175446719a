package gateway

import (
	"filbertusher/internal/streamorigin"
	"filbertusher/pkg/usher"
)

// beginStream notes that the first event of a stream is passed on.
func (h *requestHandler) beginStream() {
	if h.knowledge != streamorigin.Unknown {
		return
	}
	h.origin = streamorigin.Origin{Service: h.service, Software: h.software}
	h.knowledge = streamorigin.Recorded
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
