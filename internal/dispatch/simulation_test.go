package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// The simulation plays a load over engines of unlike speed, which run a number
// of requests at once and queue the rest in the order of arrival, and over
// instances that exchange news every tenth of a second. Time is simulated.

// kind is one kind of request of the load.
type kind struct {
	name     string
	rank     usher.Rank
	perS     float64
	prompt   usher.Tokens
	answer   float64
	most     usher.Tokens
	target   time.Duration
	deadline time.Duration
}

// simulation is the state of one run.
type simulation struct {
	now        time.Time
	random     *rand.Rand
	schedulers []*Scheduler
	engines    []*simEngine
	events     eventHeap
	sent       []*simRequest
}

type simEngine struct {
	usher.Registration
	// slowness is how much longer everything takes.
	slowness float64
	running  int
	queue    []*simRequest
	overfull int
}

type simRequest struct {
	kind    *kind
	waiter  *waiter
	grant   *Grant
	engine  *simEngine
	answer  usher.Tokens
	size    int
	at      *Scheduler
	arrived time.Time
	first   time.Time
	ended   time.Time
	refused *usher.Refusal
	decided time.Time
}

type simEvent struct {
	at time.Time
	do func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now.Add(d), do})
}

func newSimulation(seed uint64, instances int, slowness ...float64) *simulation {
	s := &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	var members []string
	var registrations []usher.Registration
	for i, slow := range slowness {
		e := &simEngine{slowness: slow, Registration: usher.Registration{Name: usher.EndpointName(fmt.Sprint("e", i)), Service: "s", Slots: 15}}
		s.engines = append(s.engines, e)
		registrations = append(registrations, e.Registration)
	}
	for i := range instances {
		members = append(members, fmt.Sprint("g", i))
	}
	for _, member := range members {
		scheduler := New(Options{Self: member, Now: func() time.Time { return s.now }})
		scheduler.SetMembers(members)
		scheduler.SetEndpoints("s", Spec{Engine: true, Slots: 15, TokensPerEvent: 6}, registrations)
		s.schedulers = append(s.schedulers, scheduler)
	}
	return s
}

// run plays the load for a while and to its end. weights say how many of the
// requests come to each instance.
func (s *simulation) run(length time.Duration, load float64, weights []float64, kinds []kind) {
	end := s.now.Add(length)
	for i := range kinds {
		s.arrive(&kinds[i], load, weights, end)
	}
	s.every(100*time.Millisecond, end.Add(20*time.Second), func() {
		for i, from := range s.schedulers {
			news := from.News()
			for j, to := range s.schedulers {
				if i != j {
					to.Heard(fmt.Sprint("g", i), news)
				}
			}
		}
	})
	s.every(tick, end.Add(20*time.Second), func() {
		for _, scheduler := range s.schedulers {
			scheduler.match(scheduler.service("s"), s.now)
		}
		s.collect()
	})
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.do()
		s.collect()
	}
}

func (s *simulation) every(pause time.Duration, end time.Time, do func()) {
	s.after(pause, func() {
		do()
		if s.now.Before(end) {
			s.every(pause, end, do)
		}
	})
}

func (s *simulation) arrive(k *kind, load float64, weights []float64, end time.Time) {
	pause := time.Duration(s.random.ExpFloat64() / (k.perS * load) * float64(time.Second))
	s.after(pause, func() {
		if s.now.After(end) {
			return
		}
		s.accept(k, s.schedulers[s.pick(weights)])
		s.arrive(k, load, weights, end)
	})
}

func (s *simulation) pick(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := s.random.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (s *simulation) accept(k *kind, at *Scheduler) {
	// Lengths are spread over more than a hundredfold.
	answer := usher.Tokens(max(1, k.answer*math.Exp(s.random.NormFloat64()*1.4-0.98)))
	prompt := usher.Tokens(max(1, float64(k.prompt)*math.Exp(s.random.NormFloat64()-0.5)))
	hint := usher.Tokens(max(1, float64(answer)*math.Exp(s.random.NormFloat64()*0.5)))
	ask := &Ask{
		ID: usher.RequestID(fmt.Sprint(len(s.sent))), Service: "s", Rank: k.rank, Prompt: prompt, Answer: hint, MostAnswer: k.most,
		Arrived: s.now, Target: s.now.Add(k.target), Deadline: s.now.Add(k.deadline),
	}
	r := &simRequest{kind: k, answer: answer, size: int(prompt + 10*k.most), at: at, arrived: s.now, waiter: &waiter{ask: ask, decided: make(chan decision, 1)}}
	s.sent = append(s.sent, r)
	at.enter(r.waiter, s.now)
}

// collect carries out what the schedulers have decided.
func (s *simulation) collect() {
	for _, r := range s.sent {
		if r.grant != nil || r.refused != nil {
			continue
		}
		select {
		case d := <-r.waiter.decided:
			r.decided, r.refused, r.grant = s.now, d.refused, d.grant
			if d.grant != nil {
				s.dispatch(r)
			}
		default:
		}
	}
}

func (s *simulation) dispatch(r *simRequest) {
	for _, e := range s.engines {
		if e.Name == r.grant.Endpoint.Name {
			r.engine = e
		}
	}
	if r.engine.running >= r.engine.Slots {
		r.engine.overfull++
		r.engine.queue = append(r.engine.queue, r)
		return
	}
	s.begin(r)
}

func (s *simulation) begin(r *simRequest) {
	e := r.engine
	e.running++
	first := time.Duration((30 + float64(r.waiter.ask.Prompt)/157) * e.slowness * float64(time.Millisecond))
	rest := time.Duration(float64(r.answer) * 4.2 * e.slowness * float64(time.Millisecond))
	s.after(first, func() {
		r.first = s.now
		r.grant.First()
	})
	s.after(first+rest, func() {
		r.ended = s.now
		r.grant.Events(int(r.answer) / 6)
		r.grant.End(Answered)
		e.running--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			s.begin(next)
		}
	})
}

// share returns which part of the requests that match was answered in time.
func (s *simulation) share(match func(*simRequest) bool) (inTime float64, count int) {
	good := 0
	for _, r := range s.sent {
		if !match(r) {
			continue
		}
		count++
		if !r.first.IsZero() && r.first.Sub(r.arrived) <= r.kind.target {
			good++
		}
	}
	return float64(good) / float64(max(1, count)), count
}

func (s *simulation) ofKind(k int, kinds []kind) float64 {
	share, _ := s.share(func(r *simRequest) bool { return r.kind == &kinds[k] })
	return share
}

func dumplings() []kind {
	return []kind{
		{"plan", 0, 36, 6610, 384, 3840, 500 * time.Millisecond, 15 * time.Second},
		{"question", 1, 46, 628, 290, 2940, 600 * time.Millisecond, 12 * time.Second},
		{"digest", 2, 65, 1800, 23, 228, time.Second, 3 * time.Second},
	}
}

// unlike are the speeds of twelve engines.
var unlike = []float64{0.55, 0.55, 0.55, 0.55, 1, 1, 1, 1, 2.8, 2.8, 2.8, 2.8}

// The load of a calm day leaves nobody waiting.
func TestCalmLoadIsServedInTime(t *testing.T) {
	kinds := dumplings()
	s := newSimulation(1, 4, unlike...)
	s.run(10*time.Second, 0.6, []float64{1, 1, 1, 1}, kinds)
	for k := range kinds {
		if share := s.ofKind(k, kinds); share < 0.97 {
			t.Errorf("%s: %.3f in time at a calm load", kinds[k].name, share)
		}
	}
}

// The load that the engines can't serve: three times the calm one, three
// quarters of it at two of four instances. The most urgent kind survives, the
// others follow in the order of their ranks, and nobody starves.
func TestOverloadFollowsTheRanks(t *testing.T) {
	for seed := range uint64(3) {
		kinds := dumplings()
		s := newSimulation(seed, 4, unlike...)
		s.run(12*time.Second, 2, []float64{3, 3, 1, 1}, kinds)
		shares := make([]float64, len(kinds))
		for k := range kinds {
			shares[k] = s.ofKind(k, kinds)
		}
		t.Logf("seed %d: in time %.2f", seed, shares)
		if shares[0] < 0.8 {
			t.Errorf("seed %d: only %.2f of the most urgent kind in time", seed, shares[0])
		}
		if shares[0] < shares[1] || shares[0] < shares[2] {
			t.Errorf("seed %d: a less urgent kind is served better: %.2f", seed, shares)
		}
		all, _ := s.share(func(*simRequest) bool { return true })
		for k := range kinds {
			if shares[k] < all/4 {
				t.Errorf("seed %d: %s starves: %.2f of it, %.2f of all", seed, kinds[k].name, shares[k], all)
			}
		}
		s.checkSizes(t, kinds)
		s.checkRefusals(t)
		s.checkBound(t)
	}
}

// checkSizes compares the largest tenth of each kind with the whole kind.
func (s *simulation) checkSizes(t *testing.T, kinds []kind) {
	t.Helper()
	for k := range kinds {
		sizes := []int{}
		for _, r := range s.sent {
			if r.kind == &kinds[k] {
				sizes = append(sizes, r.size)
			}
		}
		largest := quantile(sizes, 0.9)
		big, n := s.share(func(r *simRequest) bool { return r.kind == &kinds[k] && r.size >= largest })
		if all := s.ofKind(k, kinds); n > 30 && big < all/2 {
			t.Errorf("%s: %.2f of the largest tenth in time, %.2f of all", kinds[k].name, big, all)
		}
	}
}

func quantile(values []int, q float64) int {
	sorted := append([]int(nil), values...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[int(float64(len(sorted)-1)*q)]
}

// checkRefusals wants refusals before the target, with a time to come back that
// the caller can spare and that differs between callers.
func (s *simulation) checkRefusals(t *testing.T) {
	t.Helper()
	returns := map[time.Duration]int{}
	for _, r := range s.sent {
		if r.refused == nil {
			continue
		}
		if held := r.decided.Sub(r.arrived); held > r.kind.target {
			t.Errorf("a request was held for %v and refused; its target is %v", held, r.kind.target)
			return
		}
		if after := r.refused.RetryAfter; after <= 0 || after > r.kind.deadline/2 {
			t.Errorf("a refused caller is asked back after %v of %v", after, r.kind.deadline)
			return
		}
		returns[r.refused.RetryAfter.Round(50*time.Millisecond)]++
	}
	for at, n := range returns {
		if n*4 > len(s.sent) {
			t.Errorf("%d callers are asked back at the same moment, after %v", n, at)
		}
	}
}

// checkBound wants engines that are not sent more than they run at once, but
// for what news that are under way explain.
func (s *simulation) checkBound(t *testing.T) {
	t.Helper()
	over := 0
	for _, e := range s.engines {
		over += e.overfull
	}
	t.Logf("%d of %d requests found their engine full", over, len(s.sent))
	if over*20 > len(s.sent) {
		t.Errorf("%d of %d requests found their engine full", over, len(s.sent))
	}
}

// An engine that turns slow midway gets less, and the callers hardly notice.
func TestSlowEngineIsLeft(t *testing.T) {
	kinds := dumplings()
	s := newSimulation(5, 4, unlike...)
	s.after(4*time.Second, func() { s.engines[0].slowness *= 10 })
	s.run(12*time.Second, 0.5, []float64{1, 1, 1, 1}, kinds)
	late, n := s.share(func(r *simRequest) bool {
		return r.engine == s.engines[0] && r.arrived.After(time.Unix(1006, 0))
	})
	if all, _ := s.share(func(r *simRequest) bool { return r.arrived.After(time.Unix(1006, 0)) }); all < 0.95 {
		t.Errorf("%.2f in time after one engine of twelve turned slow (%d sent there, %.2f in time)", all, n, late)
	}
}

// Many instances, each of which sends few requests to each engine, know the slow
// third of the engines as well as one would that sends them all: long answers go
// where they end before their deadline.
func TestSlowEnginesAreKnownToAll(t *testing.T) {
	kinds := dumplings()
	slowness := make([]float64, 24)
	weights := make([]float64, 24)
	for i := range slowness {
		slowness[i], weights[i] = []float64{0.55, 0.9, 3.5}[i%3], 1
	}
	s := newSimulation(3, len(weights), slowness...)
	s.run(12*time.Second, 0.9, weights, kinds)
	late, all := 0, 0
	for _, r := range s.sent {
		if r.grant != nil {
			all++
			if r.ended.Sub(r.arrived) > r.kind.deadline {
				late++
			}
		}
	}
	t.Logf("%d of %d answers ended after their deadline", late, all)
	if late*200 > all {
		t.Errorf("%d of %d answers ended after their deadline", late, all)
	}
}
