package peering

import "filbertusher/pkg/usher"

// Nothing is the argument of methods that need none.
type Nothing struct {
	// Unused is there because gob can't encode a type without fields.
	Unused bool
}

// EndpointList is the endpoints that an instance knows.
type EndpointList struct {
	Revision  usher.Version
	Endpoints []usher.EndpointChange
}

// methods are what peers may call.
type methods struct{ peering *Peering }

// Exchange takes in a peer's news and answers with this instance's.
func (m *methods) Exchange(news, reply *News) error {
	if news.Name != "" && news.Name != m.peering.self.Name {
		m.peering.learn(news)
	}
	*reply = *m.peering.news(news.Quota.Learning)
	return nil
}

// Routes returns the configuration in force here.
func (m *methods) Routes(_ *Nothing, reply *usher.RouteTable) error {
	index := m.peering.parts.Routes.Index()
	if index == nil {
		return &usher.NotFoundError{Key: "routes"}
	}
	*reply = *index.Table
	return nil
}

// Endpoints returns the endpoints known here.
func (m *methods) Endpoints(_ *Nothing, reply *EndpointList) error {
	reply.Endpoints, reply.Revision = m.peering.parts.Roster.List()
	return nil
}
