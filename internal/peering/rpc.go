package peering

import (
	"filbertusher/internal/blame"
	"filbertusher/pkg/usher"
)

// Empty is the argument of methods without parameters.
type Empty struct {
	// Unused exists because gob can't encode a struct without exported fields.
	Unused bool
}

// EndpointList holds the endpoints that an instance knows and the revision that
// they reflect.
type EndpointList struct {
	Revision  usher.Version
	Endpoints []usher.EndpointChange
}

// dropInvalid marks entries as unreadable that name no endpoint to use. A peer of an earlier
// version passes on what other writers left in the store.
func (l *EndpointList) dropInvalid() {
	for i := range l.Endpoints {
		if entry := &l.Endpoints[i]; entry.Usable && !entry.IsValid() {
			l.Endpoints[i] = usher.EndpointChange{Registration: usher.Registration{Name: entry.Name}, Unreadable: true}
		}
	}
}

// OrderList holds the rollout orders that an instance knows and the version of their latest
// change.
type OrderList struct {
	Version usher.Version
	Orders  []usher.RolloutOrder
}

// InstanceList holds the gateway instances that an instance knows, including itself.
type InstanceList struct {
	Instances []usher.GatewayInstance
}

// CrashList holds what an instance knows of what crashes endpoints.
type CrashList struct {
	Records []blame.Record
}

// rpcService holds the methods that peers may call.
type rpcService struct{ peering *Peering }

// Exchange is State for peers of an earlier version and for instances that look for a
// peer. A call without a name or with this instance's own only reads the report.
func (s *rpcService) Exchange(report, reply *Report) error {
	if report.Name != "" && report.Name != s.peering.self.Name {
		s.peering.merge(report)
	}
	*reply = *s.peering.report(report.Quota.Learning)
	return nil
}

// State merges a peer's Statement and replies with that of this instance. A call by this
// instance itself only reads the statement.
func (s *rpcService) State(told, reply *[]byte) error {
	var statement Statement
	if err := statement.decode(*told); err != nil {
		return err
	}
	from, _ := s.peering.receive(&statement)
	if from != nil {
		s.peering.recordCall(from.identity.Name)
	}
	encoded, err := s.peering.state(from, statement.Rest.Quota.Learning).encode()
	*reply = encoded
	return err
}

// Routes returns this instance's current configuration.
func (s *rpcService) Routes(_ *Empty, reply *usher.RouteTable) error {
	index := s.peering.deps.Routes.Index()
	if index == nil {
		return &usher.NotFoundError{Key: "routes"}
	}
	*reply = *index.Table
	return nil
}

// Endpoints returns the endpoints that this instance knows.
func (s *rpcService) Endpoints(_ *Empty, reply *EndpointList) error {
	reply.Endpoints, reply.Revision = s.peering.deps.Roster.List()
	return nil
}

// Orders returns the rollout orders that this instance knows.
func (s *rpcService) Orders(_ *Empty, reply *OrderList) error {
	if s.peering.deps.Orders == nil {
		return &usher.NotFoundError{Key: "orders"}
	}
	reply.Orders, reply.Version = s.peering.deps.Orders.List()
	return nil
}

// Instances returns the instances that this instance knows.
func (s *rpcService) Instances(_ *Empty, reply *InstanceList) error {
	reply.Instances = s.peering.instances()
	return nil
}

// Crashes merges what a peer knows of crashes and replies with what this instance knows.
func (s *rpcService) Crashes(told, reply *CrashList) error {
	s.peering.deps.Blame.Merge(told.Records)
	reply.Records = s.peering.deps.Blame.Report()
	return nil
}
