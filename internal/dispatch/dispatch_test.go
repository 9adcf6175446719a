package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filbertusher/pkg/usher"
)

func scheduler(now func() time.Time, spec Spec, endpoints ...string) *Scheduler {
	s := New(Options{Self: "g", Now: now})
	var registrations []usher.Registration
	for _, name := range endpoints {
		registrations = append(registrations, usher.Registration{Name: usher.EndpointName(name), Service: "s", Slots: spec.Slots})
	}
	s.SetEndpoints("s", spec, registrations)
	return s
}

func ask(id string) *Ask {
	now := time.Now()
	return &Ask{ID: usher.RequestID(id), Service: "s", Arrived: now, Target: now.Add(200 * time.Millisecond), Deadline: now.Add(5 * time.Second)}
}

func TestAdmitGrantsWaitsAndRefuses(t *testing.T) {
	s := scheduler(time.Now, Spec{Engine: true, Slots: 1}, "a")
	first, err := s.Admit(context.Background(), ask("1"))
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, func() { first.End(Answered) })
	second, err := s.Admit(context.Background(), ask("2"))
	if err != nil {
		t.Fatalf("the request did not get the place that came free: %v", err)
	}
	defer second.End(Answered)
	_, err = s.Admit(context.Background(), ask("3"))
	refusal := new(usher.Refusal)
	if !errors.As(err, &refusal) || refusal.Outcome != usher.OutcomeNotRun || refusal.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}

// A request that is late already gets a place that is free.
func TestLateRequestGetsAFreePlace(t *testing.T) {
	s := scheduler(time.Now, Spec{Engine: true, Slots: 1}, "a")
	late := ask("1")
	late.Arrived, late.Target = late.Arrived.Add(-190*time.Millisecond), late.Arrived.Add(10*time.Millisecond)
	if _, err := s.Admit(context.Background(), late); err != nil {
		t.Errorf("refused beside a free place: %v", err)
	}
}

func TestAdmitEndsWithItsCaller(t *testing.T) {
	s := scheduler(time.Now, Spec{Engine: true, Slots: 1}, "a")
	grant, err := s.Admit(context.Background(), ask("1"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := s.Admit(ctx, ask("2")); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	grant.End(Answered)
	if _, err := s.Admit(context.Background(), ask("3")); err != nil {
		t.Errorf("a caller that left still holds its place: %v", err)
	}
}

func TestUnreachableEndpointIsLeftAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	s := scheduler(func() time.Time { return now }, Spec{Slots: 4}, "a", "b")
	w := &waiter{ask: &Ask{Service: "s", Deadline: now.Add(time.Minute)}, decided: make(chan decision, 1)}
	s.enter(w, now)
	bad := (<-w.decided).grant
	bad.End(Unreachable)
	for range 6 {
		w := &waiter{ask: &Ask{Service: "s", Deadline: now.Add(time.Minute)}, decided: make(chan decision, 1)}
		s.enter(w, now)
		select {
		case d := <-w.decided:
			if d.grant != nil && d.grant.Endpoint.Name == bad.Endpoint.Name {
				t.Fatal("an endpoint that can't be reached was chosen again at once")
			}
		default:
		}
	}
}

// Whatever the instances ask for, the whole places that each works out for
// itself add up to the places that there are, and the more urgent rank is full
// before the next gets any.
func TestPartsAddUp(t *testing.T) {
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
		parts := divide(demands, float64(slots*engines))
		for e := range engines {
			order := orderOf(members, usher.EndpointName(fmt.Sprint("e", e)))
			sum := 0
			for i := range members {
				sum += entitled(parts, order, i, slots)
			}
			if diff := cmp.Diff(slots, sum); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func TestMoreUrgentDemandIsDividedFirst(t *testing.T) {
	parts := divide([]Demand{{0: 50}, {1: 500}}, 60)
	if parts[0] < 0.8 {
		t.Errorf("the instance with the urgent demand has %.2f of the places", parts[0])
	}
}

func TestSharedPrefixesDrawRequests(t *testing.T) {
	p := newPrefixes()
	session := []usher.PromptPart{{ID: "system", Tokens: 60}, {ID: "session", Tokens: 3000}}
	p.note(session, "a", time.Unix(1000, 0))
	next := append(session, usher.PromptPart{ID: "turn", Tokens: 100})
	if got := p.cached(next, "a"); got != 3060 {
		t.Errorf("%d tokens are expected to be kept, want 3060", got)
	}
	if got := p.cached(next, "b") + p.cached([]usher.PromptPart{{ID: "session", Tokens: 3000}}, "a"); got != 0 {
		t.Errorf("%d tokens are expected where nothing was read", got)
	}
	for i := range 3 * maxPrefixes {
		p.note([]usher.PromptPart{{ID: fmt.Sprint(i), Tokens: 500}}, "a", time.Unix(1000, 0))
	}
	if len(p.at) > maxPrefixes {
		t.Errorf("%d parts are remembered, %d may be", len(p.at), maxPrefixes)
	}
}

// BenchmarkAdmit is one decision at the target's size: 770 endpoints known, a
// subset of which is full.
func BenchmarkAdmit(b *testing.B) {
	names := make([]string, 770)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	s := scheduler(time.Now, Spec{Engine: true, Slots: 8, TokensPerEvent: 6}, names...)
	a := ask("1")
	a.Prompt, a.Answer, a.Deadline = 1000, 300, time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		grant, err := s.Admit(context.Background(), a)
		if err != nil {
			b.Fatal(err)
		}
		grant.First()
		grant.End(Answered)
	}
}

// BenchmarkHeard takes in the news of one of 330 instances, each of which has
// requests at twenty of 770 endpoints.
func BenchmarkHeard(b *testing.B) {
	const instances, endpoints, loads = 330, 770, 20
	names := make([]string, endpoints)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	s := scheduler(time.Now, Spec{Engine: true, Slots: 8, TokensPerEvent: 6}, names...)
	members := make([]string, instances)
	news := make([]News, instances)
	for i := range members {
		members[i] = fmt.Sprint("g", i)
		news[i] = News{Loads: make(map[usher.EndpointName]Load), Demand: map[usher.ServiceName]Demand{"s": {0: 3}}}
		for j := range loads {
			news[i].Loads[usher.EndpointName(names[(i*7+j*31)%endpoints])] = Load{Running: 1, PaceMS: 20}
		}
	}
	s.SetMembers(append(members, "g"))
	for i, member := range members {
		s.Heard(member, news[i])
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Heard(members[i%instances], news[i%instances])
		i++
	}
}
