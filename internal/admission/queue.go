package admission

import (
	"container/heap"
	"sort"
	"time"

	"filbertusher/pkg/usher"
)

// queue holds the waiting requests: tiers in order of rank, the waiting
// workspaces of each tier, and two heaps in each workspace, for short and for
// long prompts. The controller's mutex guards it.
type queue struct {
	weight func(usher.WorkspaceName) int
	tiers  []*tier
	count  int
	tokens usher.Tokens
}

// tier is the waiting requests of one rank. Its work is their expected running
// time.
//
// Workspaces share a tier by start-time fair queueing. The virtual time of a
// workspace advances by the work it was given, divided by its weight, and the
// workspace with the least virtual time is next. A workspace that was idle
// starts at the virtual time of the tier, so it gets no credit for idle time.
type tier struct {
	rank        usher.Rank
	workspaces  map[usher.WorkspaceName]*workspace
	virtualTime time.Duration
	work        time.Duration
	count       int
}

// workspace is the waiting requests of one workspace in a tier. Its work is
// their expected running time.
type workspace struct {
	name        usher.WorkspaceName
	virtualTime time.Duration
	work        time.Duration
	// heaps has the short prompts at index 0 and the long ones at index 1.
	heaps [2]requestHeap
}

// maxIdleWorkspaces is about how many workspaces without waiting requests a tier
// keeps for their virtual times, and up to twice as many if these are ahead of
// the tier's. It bounds the memory.
const maxIdleWorkspaces = 256

func newQueue(weight func(usher.WorkspaceName) int) *queue { return &queue{weight: weight} }

func (q *queue) tier(rank usher.Rank) *tier {
	index := sort.Search(len(q.tiers), func(i int) bool { return q.tiers[i].rank >= rank })
	if index < len(q.tiers) && q.tiers[index].rank == rank {
		return q.tiers[index]
	}
	added := &tier{rank: rank, workspaces: make(map[usher.WorkspaceName]*workspace)}
	q.tiers = append(q.tiers, nil)
	copy(q.tiers[index+1:], q.tiers[index:])
	q.tiers[index] = added
	return added
}

func (t *tier) workspace(name usher.WorkspaceName) *workspace {
	if existing, ok := t.workspaces[name]; ok {
		return existing
	}
	t.pruneIdle()
	added := &workspace{name: name, virtualTime: t.virtualTime}
	t.workspaces[name] = added
	return added
}

// pruneIdle removes workspaces without waiting requests once there are many.
// Those whose virtual time is ahead of the tier's are kept longer, because they
// would otherwise return at the tier's virtual time.
func (t *tier) pruneIdle() {
	if len(t.workspaces) < t.count+maxIdleWorkspaces {
		return
	}
	for name, w := range t.workspaces {
		if w.idle() && (w.virtualTime <= t.virtualTime || len(t.workspaces) >= t.count+2*maxIdleWorkspaces) {
			delete(t.workspaces, name)
		}
	}
}

func (w *workspace) idle() bool { return len(w.heaps[0]) == 0 && len(w.heaps[1]) == 0 }

func (w *workspace) heapFor(req *request) *requestHeap {
	if req.long() {
		return &w.heaps[1]
	}
	return &w.heaps[0]
}

func (q *queue) add(req *request) {
	tier := q.tier(req.header.Rank)
	w := tier.workspace(req.header.Workspace)
	if w.idle() {
		w.virtualTime = max(w.virtualTime, tier.virtualTime)
	}
	heap.Push(w.heapFor(req), req)
	w.work += req.work
	tier.work += req.work
	tier.count++
	q.count++
	q.tokens += req.header.Cost.PromptTokens
}

// remove takes a request out of the queue and reports whether it was queued.
func (q *queue) remove(req *request) bool {
	if req.heapIndex < 0 {
		return false
	}
	tier := q.tier(req.header.Rank)
	w := tier.workspaces[req.header.Workspace]
	heap.Remove(w.heapFor(req), req.heapIndex)
	w.work -= req.work
	tier.work -= req.work
	tier.count--
	q.count--
	q.tokens -= req.header.Cost.PromptTokens
	return true
}

// charge adds the work of an admitted request to its workspace's virtual time.
func (q *queue) charge(req *request) {
	tier := q.tier(req.header.Rank)
	w := tier.workspace(req.header.Workspace)
	w.virtualTime = max(w.virtualTime, tier.virtualTime)
	tier.virtualTime = max(tier.virtualTime, min(w.virtualTime, tier.minVirtualTime(w.virtualTime)))
	w.virtualTime += req.work / time.Duration(max(1, q.weight(w.name)))
}

// minVirtualTime returns the least virtual time of the waiting workspaces, but
// at most upper.
func (t *tier) minVirtualTime(upper time.Duration) time.Duration {
	for _, w := range t.workspaces {
		if !w.idle() {
			upper = min(upper, w.virtualTime)
		}
	}
	return upper
}

// next returns the first request of the tier. It considers long prompts only if
// allowLong is set.
func (t *tier) next(allowLong bool) *request {
	var best *request
	var bestVirtualTime time.Duration
	for _, w := range t.workspaces {
		first := w.first(allowLong)
		if first == nil {
			continue
		}
		if best == nil || w.virtualTime < bestVirtualTime || w.virtualTime == bestVirtualTime && first.before(best) {
			best, bestVirtualTime = first, w.virtualTime
		}
	}
	return best
}

func (w *workspace) first(allowLong bool) *request {
	var best *request
	if len(w.heaps[0]) > 0 {
		best = w.heaps[0][0]
	}
	if allowLong && len(w.heaps[1]) > 0 && (best == nil || w.heaps[1][0].before(best)) {
		best = w.heaps[1][0]
	}
	return best
}

// requests returns all waiting requests.
func (q *queue) requests() []*request {
	all := make([]*request, 0, q.count)
	for _, t := range q.tiers {
		for _, w := range t.workspaces {
			all = append(append(all, w.heaps[0]...), w.heaps[1]...)
		}
	}
	return all
}

// beyondAllRanks is greater than every rank, which means less urgent.
const beyondAllRanks = usher.Rank(1 << 30)

// mostUrgent returns the rank of the most urgent waiting request, or
// beyondAllRanks if nothing waits.
func (q *queue) mostUrgent() usher.Rank {
	for _, t := range q.tiers {
		if t.count > 0 {
			return t.rank
		}
	}
	return beyondAllRanks
}

// leastUrgent returns the rank of the least urgent waiting request, or -1.
func (q *queue) leastUrgent() usher.Rank {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].count > 0 {
			return q.tiers[i].rank
		}
	}
	return -1
}

// workAbove returns the work that waits in tiers more urgent than rank.
func (q *queue) workAbove(rank usher.Rank) time.Duration {
	sum := time.Duration(0)
	for _, t := range q.tiers {
		if t.rank < rank {
			sum += t.work
		}
	}
	return sum
}

// victim returns the request to evict for req, or nil if req itself has to be
// refused. The least urgent tier loses first. Inside a tier, the workspace with
// the most waiting work relative to its weight loses its newest request. If that
// is the workspace of req, its newest request is req.
func (q *queue) victim(req *request) *request {
	rank := q.leastUrgent()
	if rank < req.header.Rank {
		return nil
	}
	tier := q.tier(rank)
	sameTier := rank == req.header.Rank
	var own *workspace
	var maxWork time.Duration
	if sameTier {
		own = tier.workspaces[req.header.Workspace]
		maxWork = req.work / time.Duration(max(1, q.weight(req.header.Workspace)))
		if own != nil {
			maxWork += own.work / time.Duration(max(1, q.weight(own.name)))
		}
	}
	var loser *workspace
	for _, w := range tier.workspaces {
		if w.idle() || sameTier && w == own {
			continue
		}
		if work := w.work / time.Duration(max(1, q.weight(w.name))); work > maxWork || loser == nil && !sameTier {
			loser, maxWork = w, work
		}
	}
	if loser == nil {
		return nil
	}
	return loser.newest()
}

func (w *workspace) newest() *request {
	var newest *request
	for _, waiting := range w.heaps {
		for _, req := range waiting {
			if newest == nil || req.arrival.After(newest.arrival) {
				newest = req
			}
		}
	}
	return newest
}

// before breaks ties by ID, so that decisions are reproducible in tests.
func (req *request) before(other *request) bool {
	if !req.due.Equal(other.due) {
		return req.due.Before(other.due)
	}
	return req.header.ID < other.header.ID
}

// requestHeap is a heap ordered by due time.
type requestHeap []*request

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	req, _ := x.(*request)
	req.heapIndex = len(*h)
	*h = append(*h, req)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.heapIndex = -1
	*h = old[:len(old)-1]
	return last
}
