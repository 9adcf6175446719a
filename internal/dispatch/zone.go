package dispatch

import "time"

const (
	// messageBytes is the size of a request and its response without the events of a stream,
	// and eventBytes that of an event.
	messageBytes = 2 << 10
	eventBytes   = 64
	bytesPerKiB  = 1 << 10
	// zoneTargetDivisor gives the part of the time to a request's target that its bytes may
	// cost at most.
	zoneTargetDivisor = 4
)

// zoneCost returns how much later a request may finish at an endpoint in this availability
// zone than at one in another, so that its bytes stay in the zone: the less, the nearer its
// target is, so that the most urgent requests are the first to use other zones under load.
func (s *Scheduler) zoneCost(svc *service, e *endpoint, request *Request, now time.Time) time.Duration {
	if e.Zone == s.options.Zone || s.options.ZoneCostPerKiB == 0 {
		return 0
	}
	bytes := messageBytes
	if svc.spec.Engine && svc.spec.TokensPerEvent > 0 {
		bytes += int(request.Answer) / svc.spec.TokensPerEvent * eventBytes
	}
	cost := time.Duration(bytes) * s.options.ZoneCostPerKiB / bytesPerKiB
	return max(0, min(cost, request.Target.Sub(now)/zoneTargetDivisor))
}
