package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// judge compares what callers got with what the replicas ran.
func (s *soak) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := make(map[string]int)
	broken := 0
	for _, a := range s.asked {
		told[a.verdict()]++
		if promise := s.brokenPromise(a); promise != "" {
			if broken++; broken <= 5 {
				s.t.Errorf("%s: %s by g%d, sent %s, ended %s: %d %.80q %v", promise, a.id, a.gateway,
					a.sent.Format("05.000"), a.ended.Format("05.000"), a.reply.status, a.reply.body, a.reply.err)
			}
		}
	}
	s.judgeQuota()
	if s.t.Failed() {
		s.t.Logf("faults: %s", strings.Join(s.faults, "; "))
	}
	s.t.Logf("seed %d: %d requests, %d faults, told %v", s.seed, len(s.asked), len(s.faults), told)
	if len(s.asked) < 100 || told["200"] < 50 || len(s.faults) == 0 {
		s.t.Errorf("only %d requests, %d served, %d faults", len(s.asked), told["200"], len(s.faults))
	}
}

func (a *asked) verdict() string {
	switch {
	case a.left:
		return "left"
	case a.reply.err != nil && a.reply.status == 0:
		return "no answer"
	case a.reply.err != nil:
		return "cut"
	default:
		return strconv.Itoa(a.reply.status)
	}
}

func (s *soak) runs(id string) int {
	n := 0
	for i := range soakReplicas {
		n += s.models[i].ran(id) + s.desks[i].ran(id)
	}
	return n
}

// brokenPromise returns the promise that was broken for a request, or "".
func (s *soak) brokenPromise(a *asked) string {
	runs, status := s.runs(a.id), a.reply.status
	once := a.path == "/order/x" || a.path == "/question/x"
	taken, retired := s.retired[a.key]
	refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	switch {
	case once && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case !a.left && a.reply.err == nil && refused && runs > 0:
		return "refused, and it ran"
	case !a.left && a.reply.err == nil && status == http.StatusOK && a.reply.body != s.whole(a):
		return "not whole, or not its own"
	case status == http.StatusOK && retired && a.sent.Sub(taken) > time.Duration(s.revokeMS)*time.Millisecond:
		return fmt.Sprintf("honoured a credential %v after it was taken away", a.sent.Sub(taken))
	case status == http.StatusUnauthorized && !(retired && taken.Before(a.ended)):
		return "a good credential was refused for good"
	case status == http.StatusNotFound:
		return "a route was missing"
	case a.left || s.excuses(a):
		return ""
	case a.reply.err != nil && (runs > 0 || status != 0):
		return "cut without a fault"
	case a.reply.err == nil && status >= 500 && status != http.StatusServiceUnavailable:
		return "failed without a fault"
	case refused && a.reply.header.Get("Retry-After") == "":
		return "refused without a time to come back"
	}
	return ""
}

// whole returns the answer that the replicas give to a request.
func (s *soak) whole(a *asked) string {
	if a.path == "/plan/x" || a.path == "/question/x" {
		return s.models[0].wholeStream(a.id)
	}
	return fmt.Sprintf("answer to %s %s", a.id, a.path)
}

// aftermath is how long after a fault requests may fail for it.
const aftermath = 1500 * time.Millisecond

// excuses says whether a fault that was not planned may explain a failure.
func (s *soak) excuses(a *asked) bool {
	for _, one := range s.unplanned {
		if one.from.Before(a.ended) && a.sent.Before(one.to.Add(aftermath)) {
			return true
		}
	}
	return false
}

// judgeQuota wants no window in which the busy workspace ran more than the
// settings of the site allow.
func (s *soak) judgeQuota() {
	var times []time.Time
	for _, d := range s.desks {
		d.set(func() {
			for _, one := range d.began {
				if one.workspace == "busy" {
					times = append(times, one.at)
				}
			}
		})
	}
	slices.SortFunc(times, time.Time.Compare)
	const window, tokens = 8 * time.Second, 200
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	if limit := (busyQuota*window.Seconds()+busyQuota)*1.1 + 1000; float64(most*tokens) > limit {
		s.t.Errorf("%d tokens of a workspace ran in a window, %.0f may", most*tokens, limit)
	}
}
