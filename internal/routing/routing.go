// Package routing looks up the route, the service and the workspace of a request
// in the configuration in force, and tracks when that configuration was last known
// to be the newest. Only gateway instances use it.
package routing

import (
	"hash/maphash"
	"slices"
	"strings"
	"time"

	"filbertusher/pkg/usher"
)

// Index is a configuration indexed for lookups. It is immutable.
type Index struct {
	Table *usher.RouteTable

	// byHost maps lower-case host names to the routes of the host by path prefix.
	byHost      map[string]map[string]*usher.Route
	services    map[usher.ServiceName]*usher.ServiceSpec
	credentials map[string]*usher.WorkspaceSpec
	gapTargets  map[usher.ServiceName]time.Duration
}

// New indexes a configuration.
func New(table *usher.RouteTable) *Index {
	x := &Index{
		Table:       table,
		byHost:      make(map[string]map[string]*usher.Route),
		services:    make(map[usher.ServiceName]*usher.ServiceSpec, len(table.Services)),
		credentials: make(map[string]*usher.WorkspaceSpec),
		gapTargets:  make(map[usher.ServiceName]time.Duration),
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		if x.byHost[host] == nil {
			x.byHost[host] = make(map[string]*usher.Route)
		}
		x.byHost[host][route.Prefix] = route
		x.addGapTarget(route)
	}
	for i := range table.Services {
		x.services[table.Services[i].Name] = &table.Services[i]
	}
	for i := range table.Workspaces {
		for _, credential := range table.Workspaces[i].Credentials {
			x.credentials[credential] = &table.Workspaces[i]
		}
	}
	return x
}

func (x *Index) addGapTarget(route *usher.Route) {
	if route.GapTarget == 0 {
		return
	}
	for _, share := range route.Split {
		if shortest := x.gapTargets[share.Service]; shortest == 0 || route.GapTarget < shortest {
			x.gapTargets[share.Service] = route.GapTarget
		}
	}
}

// GapTarget returns the shortest latency objective between two events of the streams of a
// service, or 0 if there is none.
func (x *Index) GapTarget(service usher.ServiceName) time.Duration { return x.gapTargets[service] }

// Route returns the route of the host whose prefix is the longest that matches
// path, or nil.
func (x *Index) Route(host, path string) *usher.Route {
	prefixes := x.byHost[normalizeHost(host)]
	if prefixes == nil {
		return nil
	}
	path, _, _ = strings.Cut(path, "?")
	// Prefixes end with a slash, so only those substrings can match.
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route := prefixes[path[:end]]; route != nil {
			return route
		}
	}
	return nil
}

func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns the configuration of a service, or nil.
func (x *Index) Service(name usher.ServiceName) *usher.ServiceSpec { return x.services[name] }

// Workspace returns the workspace that holds the credential, or nil.
func (x *Index) Workspace(credential string) *usher.WorkspaceSpec { return x.credentials[credential] }

var splitSeed = maphash.MakeSeed()

// PickService returns the service that a request of the route is sent to, chosen by
// weight. In one process, the same ID always yields the same service while the
// split stays the same.
func PickService(route *usher.Route, id usher.RequestID) usher.ServiceName {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	total := 0
	for _, share := range route.Split {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return route.Split[0].Service
	}
	point := int(maphash.String(splitSeed, string(id)) % uint64(total))
	for _, share := range route.Split {
		point -= max(0, share.Weight)
		if point < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// RoutesTo reports whether the route may send requests to the service.
func RoutesTo(route *usher.Route, service usher.ServiceName) bool {
	return slices.ContainsFunc(route.Split, func(share usher.WeightedService) bool {
		return share.Service == service && (share.Weight > 0 || len(route.Split) == 1)
	})
}
