package rollout

import (
	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

const (
	// observingFraction is the part of the exposure bound that is used while the
	// candidates are observed. The rest covers the hand-over, retries among the sends that
	// earn exposure, and sends that reach no endpoint.
	observingFraction = 0.75
	// slackFraction is the part of the constant bound that is divided among the known
	// instances. The rest covers instances that are not known to all others.
	slackFraction = 0.5
	// sparedFraction is the part of the usual share that goes to candidates once there is
	// enough evidence for a good verdict.
	sparedFraction = 1.0 / 3
	// rampShare is the candidates' share of the requests in the first part of a hand-over.
	rampShare = 1.0 / 3
	// maxRouteShare bounds the share of the requests of a route with little traffic that
	// go to candidates.
	maxRouteShare = 0.3
	// maxRoutes bounds the routes that are told apart. The others count as one.
	maxRoutes = 32
)

// otherRoutes stands for the routes beyond maxRoutes. No configured route has an empty name.
const otherRoutes usher.RouteName = ""

// exposure limits what one instance sends to candidates. The instances do not communicate
// for this: each stays below the share of what it sent itself since it learned of the
// order, plus an equal part of the constant, so the sum stays below the bound.
type exposure struct {
	bounds    Bounds
	instances int
	self      string
	// hasSlack is unset for an order that was in progress when this process learned of it:
	// an earlier incarnation may have used its part.
	hasSlack bool
	// sends are the attempts at endpoints of all versions that earn exposure. charged are
	// the attempts for candidates, and sentCandidates those that were sent.
	sends, charged, sentCandidates int
	// requests are those of which candidates could get some.
	requests int
	routes   map[usher.RouteName]*routeShare
	ramp     float64
	// isSpared is set while the evidence suffices for a good verdict. What is spared then
	// is left for the hand-over.
	isSpared bool
}

// routeShare distributes the attempts for candidates evenly over the requests of a route.
type routeShare struct {
	requests int
	carry    float64
}

func (e *exposure) used() int { return max(e.charged, e.sentCandidates) }

// allowance returns how many attempts may go to candidates while they are observed.
func (e *exposure) allowance() float64 {
	allowed := float64(e.bounds.ExposureShare * observingFraction * float64(max(0, e.sends)))
	if e.hasSlack {
		allowed += float64(e.bounds.ExposureSlack * slackFraction / float64(max(1, e.instances)))
	}
	return allowed
}

func (e *exposure) sent(isCandidate bool) {
	e.sends++
	if isCandidate {
		e.sentCandidates++
	}
}

// unanswered takes back what an attempt earned that may not have reached an endpoint.
func (e *exposure) unanswered() { e.sends-- }

func (e *exposure) uncharge() { e.charged = max(0, e.charged-1) }

// choose chooses for the observation. Boost multiplies the share for a while.
func (e *exposure) choose(route usher.RouteName, boost float64) bool {
	r := e.route(route)
	r.requests++
	e.requests++
	share := e.share(r)
	if e.isSpared {
		share *= sparedFraction
	}
	r.carry = min(2, r.carry+share*boost)
	if r.carry < 1 || float64(e.used()+1) > e.allowance() {
		return false
	}
	r.carry--
	e.charged++
	return true
}

// chooseRamp chooses for the first part of a hand-over.
func (e *exposure) chooseRamp() bool {
	e.ramp += rampShare
	if e.ramp < 1 {
		return false
	}
	e.ramp--
	e.charged++
	return true
}

// share returns the share of the requests of a route that should go to candidates. Routes
// with less traffic get a larger one, so that each is judged by about as many answers.
func (e *exposure) share(r *routeShare) float64 {
	even := float64(e.requests) / float64(len(e.routes)) / float64(r.requests)
	share := e.bounds.ExposureShare * observingFraction
	return min(max(maxRouteShare, share), share*even)
}

func (e *exposure) route(name usher.RouteName) *routeShare {
	r := e.routes[name]
	if r == nil && len(e.routes) >= maxRoutes {
		name = otherRoutes
		r = e.routes[name]
	}
	if r == nil {
		// Instances begin at different phases, so that not all of them wait for as many
		// requests before the first attempt at a candidate.
		r = &routeShare{carry: fraction(e.self, string(name))}
		e.routes[name] = r
	}
	return r
}

// fraction returns a number in [0, 1) that depends on the parts alone.
func fraction(parts ...string) float64 {
	return float64(hash(parts...)>>11) / (1 << 53)
}

func hash(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		// A Digest returns no errors.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
