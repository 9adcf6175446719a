package dispatch

import "cmp"

// slotCount returns how many requests the endpoint runs concurrently. Each request takes a
// connection.
func (e *endpoint) slotCount(spec ServiceSpec) int {
	slots := cmp.Or(max(e.Slots, 0), max(spec.Slots, 0), 1)
	if spec.MaxConnections > 0 {
		return min(slots, spec.MaxConnections)
	}
	return slots
}

// maxIdle returns how many idle connections each of the instances may keep to the endpoint,
// so that those of all leave room for the requests that run there. Each may keep one, because
// a request that needs a new connection takes longer; 0 means no limit.
func (e *endpoint) maxIdle(spec ServiceSpec, instances int) int {
	if spec.MaxConnections <= 0 {
		return 0
	}
	return max(1, (spec.MaxConnections-e.slotCount(spec))/instances)
}

// queueLength returns how many requests beyond its slots an endpoint of a plain service may
// have from all instances.
func (e *endpoint) queueLength(spec ServiceSpec) int {
	slots := e.slotCount(spec)
	if spec.MaxConnections > 0 {
		return min(slots*plainQueueFactor, spec.MaxConnections-slots)
	}
	return slots * plainQueueFactor
}
