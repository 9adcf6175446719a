package waiting

import (
	"container/heap"
	"sort"
	"time"

	"filbertusher/pkg/usher"
)

// line holds the waiting requests: tiers in order of rank, in each tier the
// workspaces that wait, in each workspace two heaps, for short and for long
// prompts. It needs the room's lock.
type line struct {
	share  func(usher.WorkspaceName) int
	tiers  []*tier
	count  int
	tokens usher.Tokens
}

// tier is the waiting requests of one rank.
//
// Workspaces share a tier by start-time fair queueing: each has a virtual time
// that grows by the work it was given, divided by its share, and the one that
// is furthest behind is next. A workspace that was idle begins at the tier's
// virtual time, so nothing can be saved up.
type tier struct {
	rank       usher.Rank
	workspaces map[usher.WorkspaceName]*workspace
	virtual    time.Duration
	work       time.Duration
	count      int
}

type workspace struct {
	name    usher.WorkspaceName
	virtual time.Duration
	work    time.Duration
	// byLength has the short prompts first, then the long ones.
	byLength [2]tickets
}

// idleWorkspaces is how many workspaces without waiting requests a tier
// remembers the virtual time of; it bounds the memory.
const idleWorkspaces = 256

func newLine(share func(usher.WorkspaceName) int) *line { return &line{share: share} }

func (l *line) tier(rank usher.Rank) *tier {
	at := sort.Search(len(l.tiers), func(i int) bool { return l.tiers[i].rank >= rank })
	if at < len(l.tiers) && l.tiers[at].rank == rank {
		return l.tiers[at]
	}
	added := &tier{rank: rank, workspaces: make(map[usher.WorkspaceName]*workspace)}
	l.tiers = append(l.tiers, nil)
	copy(l.tiers[at+1:], l.tiers[at:])
	l.tiers[at] = added
	return added
}

func (t *tier) workspace(name usher.WorkspaceName) *workspace {
	if existing, ok := t.workspaces[name]; ok {
		return existing
	}
	t.forgetIdle()
	added := &workspace{name: name, virtual: t.virtual}
	t.workspaces[name] = added
	return added
}

// forgetIdle drops workspaces that have nothing waiting once there are many of
// them, first those that are not ahead of the others.
func (t *tier) forgetIdle() {
	if len(t.workspaces) < t.count+idleWorkspaces {
		return
	}
	for name, w := range t.workspaces {
		if w.idle() && (w.virtual <= t.virtual || len(t.workspaces) >= t.count+2*idleWorkspaces) {
			delete(t.workspaces, name)
		}
	}
}

func (w *workspace) idle() bool { return len(w.byLength[0]) == 0 && len(w.byLength[1]) == 0 }

func (w *workspace) heapOf(t *ticket) *tickets {
	if t.long() {
		return &w.byLength[1]
	}
	return &w.byLength[0]
}

func (l *line) add(t *ticket) {
	tier := l.tier(t.header.Rank)
	w := tier.workspace(t.header.Workspace)
	if w.idle() {
		w.virtual = max(w.virtual, tier.virtual)
	}
	heap.Push(w.heapOf(t), t)
	w.work += t.work
	tier.work += t.work
	tier.count++
	l.count++
	l.tokens += t.header.Cost.PromptTokens
}

// remove takes a request out of line and says whether it was in it.
func (l *line) remove(t *ticket) bool {
	if t.at < 0 {
		return false
	}
	tier := l.tier(t.header.Rank)
	w := tier.workspaces[t.header.Workspace]
	heap.Remove(w.heapOf(t), t.at)
	w.work -= t.work
	tier.work -= t.work
	tier.count--
	l.count--
	l.tokens -= t.header.Cost.PromptTokens
	return true
}

// charge notes that the workspace was given the request's work.
func (l *line) charge(t *ticket) {
	tier := l.tier(t.header.Rank)
	w := tier.workspace(t.header.Workspace)
	w.virtual = max(w.virtual, tier.virtual)
	tier.virtual = max(tier.virtual, min(w.virtual, tier.leastVirtual(w.virtual)))
	w.virtual += t.work / time.Duration(max(1, l.share(w.name)))
}

// leastVirtual is the least virtual time of the workspaces that wait.
func (t *tier) leastVirtual(least time.Duration) time.Duration {
	for _, w := range t.workspaces {
		if !w.idle() {
			least = min(least, w.virtual)
		}
	}
	return least
}

// next returns the request of the tier that goes first, among the short
// prompts only unless long is set.
func (t *tier) next(long bool) *ticket {
	var best *ticket
	var bestVirtual time.Duration
	for _, w := range t.workspaces {
		first := w.first(long)
		if first == nil {
			continue
		}
		if best == nil || w.virtual < bestVirtual || w.virtual == bestVirtual && first.before(best) {
			best, bestVirtual = first, w.virtual
		}
	}
	return best
}

func (w *workspace) first(long bool) *ticket {
	var best *ticket
	if len(w.byLength[0]) > 0 {
		best = w.byLength[0][0]
	}
	if long && len(w.byLength[1]) > 0 && (best == nil || w.byLength[1][0].before(best)) {
		best = w.byLength[1][0]
	}
	return best
}

// noRank is above every rank.
const noRank = usher.Rank(1 << 30)

// mostUrgent returns the rank of the most urgent request that waits.
func (l *line) mostUrgent() usher.Rank {
	for _, t := range l.tiers {
		if t.count > 0 {
			return t.rank
		}
	}
	return noRank
}

// leastUrgent returns the rank of the least urgent request that waits, or -1.
func (l *line) leastUrgent() usher.Rank {
	for i := len(l.tiers) - 1; i >= 0; i-- {
		if l.tiers[i].count > 0 {
			return l.tiers[i].rank
		}
	}
	return -1
}

// workAbove is the work that waits in tiers that are more urgent than rank.
func (l *line) workAbove(rank usher.Rank) time.Duration {
	sum := time.Duration(0)
	for _, t := range l.tiers {
		if t.rank < rank {
			sum += t.work
		}
	}
	return sum
}

// victim returns the request that has to go for t, or nil when that is t
// itself. The least urgent tier loses first. Inside a tier the workspace with
// the most waiting work for its share loses its youngest request; a new
// request of that workspace is the youngest.
func (l *line) victim(t *ticket) *ticket {
	rank := l.leastUrgent()
	if rank < t.header.Rank {
		return nil
	}
	tier := l.tier(rank)
	same := rank == t.header.Rank
	var most *workspace
	var mostWork time.Duration
	if same {
		most = tier.workspaces[t.header.Workspace]
		mostWork = t.work / time.Duration(max(1, l.share(t.header.Workspace)))
		if most != nil {
			mostWork += most.work / time.Duration(max(1, l.share(most.name)))
		}
	}
	var victimOf *workspace
	for _, w := range tier.workspaces {
		if w.idle() || same && w == most {
			continue
		}
		if work := w.work / time.Duration(max(1, l.share(w.name))); work > mostWork || victimOf == nil && !same {
			victimOf, mostWork = w, work
		}
	}
	if victimOf == nil {
		return nil
	}
	return victimOf.youngest()
}

func (w *workspace) youngest() *ticket {
	var youngest *ticket
	for _, waiting := range w.byLength {
		for _, t := range waiting {
			if youngest == nil || t.entered.After(youngest.entered) {
				youngest = t
			}
		}
	}
	return youngest
}

// before breaks ties by id, so that decisions can be repeated in tests.
func (t *ticket) before(other *ticket) bool {
	if !t.key.Equal(other.key) {
		return t.key.Before(other.key)
	}
	return t.header.ID < other.header.ID
}

// tickets is a heap by key.
type tickets []*ticket

// Len implements heap.Interface.
func (h tickets) Len() int { return len(h) }

// Less implements heap.Interface.
func (h tickets) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h tickets) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *tickets) Push(x any) {
	t, _ := x.(*ticket)
	t.at = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *tickets) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.at = -1
	*h = old[:len(old)-1]
	return last
}
