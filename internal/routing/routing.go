// Package routing finds the route and the workspace of a request in the
// configuration in force, and knows how fresh that configuration is.
package routing

import (
	"hash/maphash"
	"slices"
	"strings"

	"filbertusher/pkg/usher"
)

// Index is a configuration prepared for look-ups. It is immutable.
type Index struct {
	Table *usher.RouteTable

	// byHost holds the routes of each host by prefix.
	byHost      map[string]map[string]*usher.Route
	services    map[usher.ServiceName]*usher.ServiceSpec
	credentials map[string]*usher.WorkspaceSpec
}

// New indexes a configuration.
func New(table *usher.RouteTable) *Index {
	x := &Index{
		Table:       table,
		byHost:      make(map[string]map[string]*usher.Route),
		services:    make(map[usher.ServiceName]*usher.ServiceSpec, len(table.Services)),
		credentials: make(map[string]*usher.WorkspaceSpec),
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		if x.byHost[host] == nil {
			x.byHost[host] = make(map[string]*usher.Route)
		}
		x.byHost[host][route.Prefix] = route
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

// Route returns the route with the longest prefix of path, or nil.
func (x *Index) Route(host, path string) *usher.Route {
	prefixes := x.byHost[hostOnly(host)]
	if prefixes == nil {
		return nil
	}
	path, _, _ = strings.Cut(path, "?")
	// Prefixes end with a slash, so only those cuts can match.
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

func hostOnly(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns what the configuration says of a service, or nil.
func (x *Index) Service(name usher.ServiceName) *usher.ServiceSpec { return x.services[name] }

// Workspace returns the workspace that holds the credential, or nil.
func (x *Index) Workspace(credential string) *usher.WorkspaceSpec { return x.credentials[credential] }

var splitSeed = maphash.MakeSeed()

// Pick returns the service that a request of the route goes to. The same id
// always goes the same way, as long as the split stays.
func Pick(route *usher.Route, id usher.RequestID) usher.ServiceName {
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
	at := int(maphash.String(splitSeed, string(id)) % uint64(total))
	for _, share := range route.Split {
		at -= max(0, share.Weight)
		if at < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// Sends says whether the route may send requests to the service.
func Sends(route *usher.Route, service usher.ServiceName) bool {
	return slices.ContainsFunc(route.Split, func(share usher.ServiceShare) bool {
		return share.Service == service && (share.Weight > 0 || len(route.Split) == 1)
	})
}
