package dispatch

import (
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

// sizeClass is a range of request sizes within one route.
type sizeClass int

// The size classes of a route.
const (
	smallRequest sizeClass = iota
	// largeRequest is the fifth of the requests below the largest tenth.
	largeRequest
	// largestRequest is the largest tenth of the requests.
	largestRequest
	sizeClasses
)

const (
	// largeQuantile and largestQuantile are the quantiles of the sizes of a route at
	// which the classes largeRequest and largestRequest begin.
	largeQuantile   = 0.7
	largestQuantile = 0.9
	// sizeSamples is the number of recent sizes of a route from which the quantiles
	// are computed. Until minSizeSamples are known, all requests are small.
	sizeSamples    = 128
	minSizeSamples = 16
	// quantileInterval is the number of requests after which the quantiles are
	// computed anew.
	quantileInterval = 8
	// minClassShare is the fraction of a route's grants per arrival that every size
	// class of the route gets.
	minClassShare = 0.7
	// maxOwedGrants bounds how many grants a class can be owed or ahead.
	maxOwedGrants = 3
	// grantHistory is the number of recent requests over which a route's grants per
	// arrival are averaged.
	grantHistory = 50
	// maxRoutes bounds the number of routes of a service whose statistics are kept,
	// and routeTTL is how long they are kept after the last request.
	maxRoutes = 512
	routeTTL  = time.Minute
)

// routeStats are the statistics of one route by which its requests are ordered.
//
// The load that this answers is an overload of seconds in which the answers to the
// requests of one route differ in length by a factor of a hundred.
// Ordering by value density alone starves long answers under overload, because the
// value of a request grows more slowly than its slot time. Every arrival therefore
// earns its size class a fraction of a grant. A class that is owed a grant goes
// before the other requests of its rank and is not shed.
type routeStats struct {
	// meanSize is the moving mean of the sizes, in weighted tokens.
	meanSize float64
	// sizes holds the last sizeSamples sizes, written in rotation at next.
	sizes []float64
	next  int
	// bounds are the sizes at which largeRequest and largestRequest begin.
	bounds [2]float64
	// arrived and granted count requests, weighted by age.
	arrived, granted float64
	// owed is the number of grants that each class has earned and not received.
	owed [sizeClasses]float64
	// duration is that of the route's answered requests.
	duration meanDuration
	lastUsed time.Time
}

// statsOf returns the statistics of a route.
func (svc *service) statsOf(route usher.RouteName, now time.Time) *routeStats {
	stats := svc.routes[route]
	if stats == nil {
		if len(svc.routes) >= maxRoutes {
			svc.evictRoutes(now)
		}
		stats = &routeStats{}
		svc.routes[route] = stats
	}
	stats.lastUsed = now
	return stats
}

// evictRoutes removes the statistics of unused routes and then, if needed, of
// arbitrary ones until the table is at most three quarters full.
func (svc *service) evictRoutes(now time.Time) {
	for route, stats := range svc.routes {
		if now.Sub(stats.lastUsed) > routeTTL {
			delete(svc.routes, route)
		}
	}
	for route := range svc.routes {
		if len(svc.routes) <= maxRoutes*3/4 {
			return
		}
		delete(svc.routes, route)
	}
}

// arrive adds a request of the given size to the statistics and returns its class.
func (r *routeStats) arrive(size float64) sizeClass {
	if r.meanSize == 0 {
		r.meanSize = size
	}
	r.meanSize += (size - r.meanSize) * meanSizeWeight
	r.addSize(size)
	class := r.classOf(size)
	r.owed[class] = min(maxOwedGrants, r.owed[class]+minClassShare*r.grantedFraction())
	r.arrived = r.arrived*(1-1.0/grantHistory) + 1
	r.granted *= 1 - 1.0/grantHistory
	return class
}

func (r *routeStats) addSize(size float64) {
	if len(r.sizes) < sizeSamples {
		r.sizes = append(r.sizes, size)
	} else {
		r.sizes[r.next] = size
	}
	r.next = (r.next + 1) % sizeSamples
	if n := len(r.sizes); n >= minSizeSamples && r.next%quantileInterval == 0 {
		sorted := slices.Sorted(slices.Values(r.sizes))
		r.bounds = [2]float64{sorted[int(float64(n)*largeQuantile)], sorted[int(float64(n)*largestQuantile)]}
	}
}

func (r *routeStats) classOf(size float64) sizeClass {
	switch {
	case len(r.sizes) < minSizeSamples || size <= r.bounds[0]:
		return smallRequest
	case size <= r.bounds[1]:
		return largeRequest
	default:
		return largestRequest
	}
}

// grantedFraction returns the recent grants per arrival of the route.
func (r *routeStats) grantedFraction() float64 {
	if r.arrived == 0 {
		return 1
	}
	return min(1, r.granted/r.arrived)
}

// noteGrant counts a grant to a request of the class.
func (r *routeStats) noteGrant(class sizeClass) {
	r.granted++
	r.owed[class] = max(-maxOwedGrants, r.owed[class]-1)
}

// isOwed reports whether the request's size class is owed a grant.
func (w *waiter) isOwed() bool {
	return w.stats != nil && w.stats.owed[w.class] > 0
}
