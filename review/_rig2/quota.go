package main

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// The bounds of quotas, and the hot tenant: its usual requests a second, and how many times as
// much it sends while it is hot.
const (
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 140000
	usualRate    = 50.9
	// restartTime is how long a killed process is down.
	restartTime = 300 * time.Millisecond
	hotFactor   = 7.5
	// elsewhere is what the tenant sends a second in each other zone.
	elsewhere = 1.0 / 30
)

// restartUnderQuota: a tenant whose clients are nearly all in one zone sends many times its
// usual. The gateway of that zone is killed and starts again. QUOTA: in no window, more tokens
// of the tenant may run than its limit.
func restartUnderQuota(dir string, trouble bool) bool {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	w := newWorld(dir, 12, 14, 4)
	defer w.stopAll()
	lookup, hot := &classes[2], &w.tenants[0]
	rate := int(1.8 * usualRate * float64(lookup.tokens()))
	w.rates = map[string]int{hot.name: rate}
	w.configure()
	w.startGateways(4)
	l := w.newLoad(seed)
	var factor atomic.Uint64
	factor.Store(10)
	for i, g := range w.gateways {
		perSecond := func() float64 { return elsewhere }
		if i == 0 {
			perSecond = func() float64 { return usualRate * float64(factor.Load()) / 10 }
		}
		l.clients.Add(1)
		go l.request(lookup, hot, g)
		go l.sendAt(lookup, hot, g, perSecond, rand.New(rand.NewPCG(seed, uint64(i)+50)))
		// The other tenants are in all zones.
		for j := range 4 {
			go l.sendAt(lookup, &w.tenants[1+j], g, func() float64 { return 1 }, rand.New(rand.NewPCG(seed, uint64(10*i+j)+100)))
		}
	}
	time.Sleep(30 * time.Second)
	w.say("%s sends %.1f times its usual", hot.name, hotFactor)
	factor.Store(hotFactor * 10)
	time.Sleep(3 * time.Second)
	if trouble {
		w.gateways[0].kill()
		time.Sleep(restartTime)
		w.gateways[0].start(false)
		w.say("the gateway of the tenant's zone was killed and starts again")
	} else {
		time.Sleep(restartTime)
	}
	time.Sleep(3 * time.Second)
	factor.Store(10)
	w.say("%s sends its usual", hot.name)
	time.Sleep(8 * time.Second)
	l.stop()
	limit := (float64(rate)*quotaWindow.Seconds()+float64(rate))*(1+quotaOverage) + quotaSlack
	most, from := l.mostInWindow(hot.name)
	w.say("quota %d tokens/s and as much burst: at most %.0f tokens run in a window of %v, from %.3f s on; the limit is %.0f", rate, most, quotaWindow, from.Sub(w.began).Seconds(), limit)
	return most > limit
}

// mostInWindow returns the most tokens of a tenant that were sent and arrived at replicas which
// ran them within quota_window_s, and the beginning of that window.
func (l *load) mostInWindow(name string) (most float64, from time.Time) {
	type used struct {
		sent, at time.Time
		tokens   int
	}
	sentAt := make(map[string]time.Time)
	l.mu.Lock()
	for i := range l.tries {
		sentAt[l.tries[i].id] = l.tries[i].sent
	}
	l.mu.Unlock()
	var uses []used
	l.w.mu.Lock()
	for _, r := range l.w.runs {
		if r.tenant == name {
			uses = append(uses, used{sentAt[r.id], r.at, r.tokens})
		}
	}
	l.w.mu.Unlock()
	slices.SortFunc(uses, func(a, b used) int { return a.sent.Compare(b.sent) })
	for i := range uses {
		sum, start := 0.0, uses[i].sent
		for _, u := range uses[i:] {
			if u.sent.Sub(start) >= quotaWindow {
				break
			}
			if u.at.Sub(start) < quotaWindow {
				sum += float64(u.tokens)
			}
		}
		if sum > most {
			most, from = sum, start
		}
	}
	return most, from
}
