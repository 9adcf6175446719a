package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

func newTestScheduler(now func() time.Time, spec ServiceSpec, endpoints ...string) *Scheduler {
	s := New(Options{Self: "g", Now: now})
	var registrations []usher.Registration
	for _, name := range endpoints {
		registrations = append(registrations, usher.Registration{Name: usher.EndpointName(name), Service: "s", Slots: spec.Slots})
	}
	s.SetEndpoints("s", spec, registrations)
	return s
}

func newRequest(id string) *Request {
	now := time.Now()
	return &Request{ID: usher.RequestID(id), Service: "s", Arrived: now, Target: now.Add(200 * time.Millisecond), Deadline: now.Add(5 * time.Second)}
}

func TestAdmitGrantsWaitsAndRefuses(t *testing.T) {
	s := newTestScheduler(time.Now, ServiceSpec{Engine: true, Slots: 1}, "a")
	first, err := s.Admit(context.Background(), newRequest("1"))
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, func() { first.End(Answered) })
	second, err := s.Admit(context.Background(), newRequest("2"))
	if err != nil {
		t.Fatalf("the request did not get the released slot: %v", err)
	}
	defer second.End(Answered)
	_, err = s.Admit(context.Background(), newRequest("3"))
	refusal := new(usher.Refusal)
	if !errors.As(err, &refusal) || refusal.Outcome != usher.OutcomeNotRun || refusal.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal that was not run and has a retry time", err)
	}
}

// A request whose target has almost passed is not refused while a slot is free.
func TestLateRequestGetsFreeSlot(t *testing.T) {
	s := newTestScheduler(time.Now, ServiceSpec{Engine: true, Slots: 1}, "a")
	late := newRequest("1")
	late.Arrived, late.Target = late.Arrived.Add(-190*time.Millisecond), late.Arrived.Add(10*time.Millisecond)
	if _, err := s.Admit(context.Background(), late); err != nil {
		t.Errorf("refused although a slot is free: %v", err)
	}
}

func TestAdmitReturnsWhenCallerCancels(t *testing.T) {
	s := newTestScheduler(time.Now, ServiceSpec{Engine: true, Slots: 1}, "a")
	grant, err := s.Admit(context.Background(), newRequest("1"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := s.Admit(ctx, newRequest("2")); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	grant.End(Answered)
	if _, err := s.Admit(context.Background(), newRequest("3")); err != nil {
		t.Errorf("the canceled request still occupies the slot: %v", err)
	}
}

func TestUnreachableEndpointIsSuspended(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestScheduler(func() time.Time { return now }, ServiceSpec{Slots: 4}, "a", "b")
	w := &waiter{request: &Request{Service: "s", Deadline: now.Add(time.Minute)}, decided: make(chan decision, 1)}
	s.enqueue(w, now)
	failed := (<-w.decided).grant
	failed.End(Unreachable)
	for range 6 {
		w := &waiter{request: &Request{Service: "s", Deadline: now.Add(time.Minute)}, decided: make(chan decision, 1)}
		s.enqueue(w, now)
		select {
		case d := <-w.decided:
			if d.grant != nil && d.grant.Endpoint.Name == failed.Endpoint.Name {
				t.Fatal("an unreachable endpoint was chosen again immediately")
			}
		default:
		}
	}
}

// For any demand of the instances, the guaranteed slots that each instance computes
// for itself add up to the slots of every endpoint.
func TestGuaranteedSlotsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 32).Draw(t, "instances")
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		engines := rapid.IntRange(1, 20).Draw(t, "engines")
		demands := make([]Demand, n)
		members := make([]string, n)
		for i := range demands {
			members[i] = fmt.Sprint("g", i)
			for r := range 3 {
				demands[i][r] = rapid.Float64Range(0, 60).Draw(t, "demand")
			}
		}
		shares := divideSlots(demands, float64(slots*engines))
		for e := range engines {
			order := roundingOrder(members, usher.EndpointName(fmt.Sprint("e", e)))
			sum := 0
			for i := range members {
				sum += guaranteedSlots(shares, order, i, slots)
			}
			if diff := cmp.Diff(slots, sum); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func TestUrgentDemandGetsSlotsFirst(t *testing.T) {
	shares := divideSlots([]Demand{{0: 50}, {1: 500}}, 60)
	if shares[0] < 0.8 {
		t.Errorf("the instance with the urgent demand gets %.2f of the slots, want at least 0.8", shares[0])
	}
}

func TestPrefixTable(t *testing.T) {
	p := newPrefixTable()
	session := []usher.PromptPart{{ID: "system", Tokens: 60}, {ID: "session", Tokens: 3000}}
	p.record(session, "a", time.Unix(1000, 0))
	next := append(session, usher.PromptPart{ID: "turn", Tokens: 100})
	if got := p.cachedTokens(next, "a"); got != 3060 {
		t.Errorf("got %d cached tokens, want 3060", got)
	}
	if got := p.cachedTokens(next, "b") + p.cachedTokens([]usher.PromptPart{{ID: "session", Tokens: 3000}}, "a"); got != 0 {
		t.Errorf("got %d cached tokens for prefixes that were not recorded, want 0", got)
	}
	for i := range 3 * maxPrefixes {
		p.record([]usher.PromptPart{{ID: fmt.Sprint(i), Tokens: 500}}, "a", time.Unix(1000, 0))
	}
	if len(p.entries) > maxPrefixes {
		t.Errorf("the table has %d entries, the limit is %d", len(p.entries), maxPrefixes)
	}
}

// BenchmarkAdmit measures one decision with 770 endpoints, the size that the
// scheduler is designed for.
func BenchmarkAdmit(b *testing.B) {
	names := make([]string, 770)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	s := newTestScheduler(time.Now, ServiceSpec{Engine: true, Slots: 8, TokensPerEvent: 6}, names...)
	request := newRequest("1")
	request.Prompt, request.Answer, request.Deadline = 1000, 300, time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		grant, err := s.Admit(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		grant.FirstEvent()
		grant.End(Answered)
	}
}

// BenchmarkApplyReport measures applying the report of one of 330 instances, each of
// which has requests at twenty of 770 endpoints.
func BenchmarkApplyReport(b *testing.B) {
	const instances, endpoints, loads = 330, 770, 20
	names := make([]string, endpoints)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	s := newTestScheduler(time.Now, ServiceSpec{Engine: true, Slots: 8, TokensPerEvent: 6}, names...)
	members := make([]string, instances)
	reports := make([]Report, instances)
	for i := range members {
		members[i] = fmt.Sprint("g", i)
		reports[i] = Report{Loads: make(map[usher.EndpointName]Load), Demand: map[usher.ServiceName]Demand{"s": {0: 3}}}
		for j := range loads {
			reports[i].Loads[usher.EndpointName(names[(i*7+j*31)%endpoints])] = Load{Running: 1, PaceMS: 20}
		}
	}
	s.SetMembers(append(members, "g"))
	for i, member := range members {
		s.ApplyReport(member, reports[i])
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.ApplyReport(members[i%instances], reports[i%instances])
		i++
	}
}

func TestRequestWaitsForItsSoftwareVersion(t *testing.T) {
	s := New(Options{Self: "g", Now: time.Now})
	s.SetEndpoints("s", ServiceSpec{Engine: true, Slots: 1}, []usher.Registration{
		{Name: "old", Service: "s", Slots: 1, Software: "v1"}, {Name: "new", Service: "s", Slots: 2, Software: "v2"},
	})
	old := usher.SoftwareVersion("v1")
	restricted := func(id string) *Request {
		request := newRequest(id)
		request.Software, request.Started = &old, true
		return request
	}
	first, err := s.Admit(t.Context(), restricted("1"))
	if err != nil || first.Endpoint.Name != "old" {
		t.Fatalf("got %v, error %v", first, err)
	}
	if grant := s.TryAdmit(restricted("2")); grant != nil {
		t.Errorf("moved to %s", grant.Endpoint.Name)
	}
	waiting := make(chan *Grant)
	go func() {
		grant, err := s.Admit(t.Context(), restricted("3"))
		if err != nil {
			t.Error(err)
		}
		waiting <- grant
	}()
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		queued = s.service("s").queue.len()
		s.mu.Unlock()
	}
	// It does not hold up a request that may go to the other version.
	other, err := s.Admit(t.Context(), newRequest("4"))
	if err != nil || other.Endpoint.Name != "new" {
		t.Fatalf("got %v, error %v", other, err)
	}
	first.End(Answered)
	if grant := <-waiting; grant == nil || grant.Endpoint.Name != "old" {
		t.Errorf("got %v", grant)
	}
}
