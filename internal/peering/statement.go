package peering

import (
	"errors"
	"maps"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/peerstate"
	"filbertusher/internal/quota"
	"filbertusher/internal/streamorigin"
	"filbertusher/pkg/usher"
)

const (
	// wholeInterval is how often a peer gets a whole statement although it acknowledges
	// changes.
	wholeInterval = 30 * time.Second
	// partnerRetention is how long a process is remembered that states nothing.
	partnerRetention = time.Minute
	// maxUnacknowledged is how many statements are remembered that were not acknowledged. A
	// statement is acknowledged by the next one of the other side.
	maxUnacknowledged = 4
)

// processID identifies a process of an instance.
type processID uint64

func newProcessID(instance string, incarnation usher.Incarnation) processID {
	return processID(xxhash.Sum64String(instance + "\x00" + string(incarnation)))
}

// Statement is a report in the form that peers send to each other. It leaves out what the
// other process has acknowledged.
type Statement struct {
	// Sender is the process that states this. Identity describes it, unless Receiver is
	// known to hold an earlier statement of it.
	Sender   processID
	Identity *Identity
	// Receiver is the process whose statements are acknowledged: State up to the revision
	// Acknowledged, and crashes up to AcknowledgedBlame.
	Receiver          processID
	Acknowledged      peerstate.Revision
	AcknowledgedBlame uint64
	// Number counts the statements to Receiver, and AcknowledgedNumber is that of one by it
	// whose streams were merged.
	Number, AcknowledgedNumber uint64
	// Clock is the age of the sender's process.
	Clock time.Duration
	State peerstate.Statement
	// BlameRevision is that of Rest.Blame, or 0 if Receiver has acknowledged it.
	BlameRevision uint64
	// Rest is the report without what the fields above hold.
	Rest Report
}

// Identity describes a process.
type Identity struct {
	Name        string
	Incarnation usher.Incarnation
	Address     string
	Zone        usher.AvailabilityZone
}

// partner is what this process and one of a peer have stated to each other.
type partner struct {
	identity Identity
	id       processID
	// heardAt is guarded by partners.mu.
	heardAt time.Time

	mu       sync.Mutex
	receiver peerstate.Receiver
	// blame is the revision of the crashes that were merged last.
	blame uint64
	// acknowledged and acknowledgedBlame are what the other process holds of this one.
	acknowledged      peerstate.Revision
	acknowledgedBlame uint64
	toldWholeAt       time.Time
	// toldRevision is that of the last statement to the other process.
	toldRevision peerstate.Revision
	// told is the number of the last statement to the other process, and heard that of the
	// last one by it.
	told, heard uint64
	// streams is how much the other process is known to have been told of the origins of
	// streams, and unacknowledged what the last statements added to that.
	streams        streamorigin.Cursor
	unacknowledged []toldStreams
}

// toldStreams is how much a process has been told of streams once it has received the
// statement with a number.
type toldStreams struct {
	number uint64
	cursor streamorigin.Cursor
}

// tellStreams returns the streams for the next statement.
func (p *partner) tellStreams(table *streamorigin.Table) streamorigin.Report {
	report, cursor := table.Report(p.streams)
	if len(p.unacknowledged) == maxUnacknowledged {
		p.unacknowledged = p.unacknowledged[1:]
	}
	p.unacknowledged = append(p.unacknowledged, toldStreams{p.told, cursor})
	return report
}

// acknowledge records that the other process has received the statement with a number.
func (p *partner) acknowledge(number uint64) {
	for i, told := range p.unacknowledged {
		if told.number == number {
			p.streams, p.unacknowledged = told.cursor, slices.Clone(p.unacknowledged[i+1:])
			return
		}
	}
}

// partners holds the processes that have stated something. It is safe for concurrent use.
type partners struct {
	mu   sync.Mutex
	byID map[processID]*partner
}

func newPartners() *partners { return &partners{byID: make(map[processID]*partner)} }

// get returns a process, or nil if it is not known.
func (p *partners) get(id processID) *partner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// sender returns the process that made a statement, or nil if it is not known.
func (p *partners) sender(statement *Statement) *partner {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	known := p.byID[statement.Sender]
	if known == nil {
		identity := statement.Identity
		if identity == nil || newProcessID(identity.Name, identity.Incarnation) != statement.Sender {
			return nil
		}
		maps.DeleteFunc(p.byID, func(_ processID, other *partner) bool { return now.Sub(other.heardAt) > partnerRetention })
		known = &partner{identity: *identity, id: statement.Sender, toldWholeAt: now}
		p.byID[statement.Sender] = known
	}
	known.heardAt = now
	return known
}

// state makes the statement for a process, which is nil if it is not known.
func (p *Peering) state(to *partner, peerLearning bool) *Statement {
	if to == nil {
		to = &partner{}
	}
	// Statements to the same process are made one after the other, because each is about what
	// those before it told.
	to.mu.Lock()
	defer to.mu.Unlock()
	if now := time.Now(); now.Sub(to.toldWholeAt) > wholeInterval {
		to.toldWholeAt, to.acknowledged, to.acknowledgedBlame = now, 0, 0
	}
	to.told++
	statement := &Statement{
		Sender: p.process, Receiver: to.id, Acknowledged: to.receiver.Acknowledged(), AcknowledgedBlame: to.blame,
		Number: to.told, AcknowledgedNumber: to.heard,
	}
	blameRevision := p.deps.Blame.Revision()
	var report *Report
	state, size := p.sender.State(func() *peerstate.State {
		report = p.report(peerLearning)
		return &peerstate.State{Dispatch: report.Dispatch, Quota: report.Quota}
	}, to.acknowledged, to.toldRevision)
	to.toldRevision = state.Revision
	statement.State, statement.Clock = *state, report.Quota.Age
	if state.Base == 0 {
		statement.Identity = &Identity{Name: report.Name, Incarnation: report.Incarnation, Address: report.Address, Zone: p.self.Zone}
	}
	report.Name, report.Incarnation, report.Address, report.Dispatch = "", "", "", dispatch.Report{}
	report.Quota = quota.Report{Missing: report.Quota.Missing, Learning: report.Quota.Learning}
	if len(report.Blame) == 0 || blameRevision <= to.acknowledgedBlame {
		report.Blame = nil
	} else {
		statement.BlameRevision = blameRevision
	}
	report.Streams = to.tellStreams(p.deps.Streams)
	statement.Rest = *report
	p.account.add(to.id != 0 && to.identity.Zone == p.self.Zone, &size, &statement.Rest)
	return statement
}

// receive merges a statement and returns the process that made it, if it is known and one of
// a peer, and the report that it amounts to.
func (p *Peering) receive(statement *Statement) (*partner, *Report) {
	report := statement.Rest
	from := p.partners.sender(statement)
	if from == nil || from.identity.Name == p.self.Name {
		return nil, &report
	}
	report.Name, report.Incarnation, report.Address = from.identity.Name, from.identity.Incarnation, from.identity.Address
	from.mu.Lock()
	defer from.mu.Unlock()
	from.acknowledged, from.acknowledgedBlame = 0, 0
	if statement.Receiver == p.process {
		from.acknowledged, from.acknowledgedBlame = statement.Acknowledged, statement.AcknowledgedBlame
		from.acknowledge(statement.AcknowledgedNumber)
	}
	p.mergeRest(&report)
	from.heard = max(from.heard, statement.Number)
	from.blame = max(from.blame, statement.BlameRevision)
	state, err := from.receiver.Apply(&statement.State, statement.Clock)
	if err != nil {
		p.deps.Log.Warn().Err(err).Str("peer", report.Name).Msg("statementNotApplied")
		from.receiver = peerstate.Receiver{}
	}
	if state == nil {
		return from, &report
	}
	report.Dispatch, report.Quota.Incarnation = state.Dispatch, report.Incarnation
	report.Quota.Age, report.Quota.Used, report.Quota.Demand = state.Quota.Age, state.Quota.Used, state.Quota.Demand
	p.mergeState(&report)
	return from, &report
}

// isMethodMissing reports whether a peer lacks the method that was called, because it has an
// earlier version.
func isMethodMissing(err error) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote) && strings.HasPrefix(string(remote), "rpc: can't find")
}
