package upstream

import (
	"expvar"
	"net"
	"syscall"

	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// account counts the bytes of requests and responses on connections to endpoints, by
// whether these are in the availability zone of this process.
type account struct {
	own         usher.AvailabilityZone
	same, other zoneAccount
}

type zoneAccount struct{ requests, responses *expvar.Int }

func newAccount(own usher.AvailabilityZone) *account {
	metrics := telemetry.NewMetrics("endpointBytes")
	return &account{
		own:   own,
		same:  zoneAccount{metrics.Counter("requestsSameZone"), metrics.Counter("responsesSameZone")},
		other: zoneAccount{metrics.Counter("requestsOtherZone"), metrics.Counter("responsesOtherZone")},
	}
}

func (a *account) zone(zone usher.AvailabilityZone) *zoneAccount {
	if zone == a.own {
		return &a.same
	}
	return &a.other
}

// BytesState returns the section of the diagnostic dump with the bytes of requests and
// responses on connections to endpoints.
func (p *Pool) BytesState() any {
	a := p.account
	return map[string]int64{
		"requestsSameZone": a.same.requests.Value(), "responsesSameZone": a.same.responses.Value(),
		"requestsOtherZone": a.other.requests.Value(), "responsesOtherZone": a.other.responses.Value(),
	}
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	account *zoneAccount
}

// Read implements net.Conn.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.account.responses.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.account.requests.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *meteredConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return raw.SyscallConn()
}
