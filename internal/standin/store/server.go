package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"filbertusher/pkg/usher"
)

// maxValue is the largest value the platform takes, in bytes.
const maxValue = 1 << 20

// Faults is what the control URL sets. It is replaced as a whole.
type Faults struct {
	// Down refuses every call before it has an effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay usher.Duration `json:"delay"`
	// LoseAnswers lets that many writes take effect and then cuts the
	// connection instead of answering.
	LoseAnswers int `json:"loseAnswers"`
	// LateWrites holds that many writes for LateBy, answers nothing, and lets
	// them take effect then.
	LateWrites int            `json:"lateWrites"`
	LateBy     usher.Duration `json:"lateBy"`
	// Key limits lost answers and late writes to keys that begin with it.
	Key usher.ObjectKey `json:"key"`
}

// Instance is one line of the platform's list of instances.
type Instance struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Budget is the platform's limit on calls a second.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Counts is how many calls were taken and refused, for the control URL.
type Counts struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Watches  int64 `json:"watches"`
	OverRate int64 `json:"overRate"`
	Refused  int64 `json:"refused"`
	ReadOut  int64 `json:"readBytesOut"`
	WriteIn  int64 `json:"writeBytesIn"`
	Waiting  int64 `json:"watchesWaiting"`
}

// Server serves the object API.
type Server struct {
	memory *Memory
	reads  *rate.Limiter
	writes *rate.Limiter
	// lag is how late the list of instances shows a change.
	lag time.Duration

	mu        sync.Mutex
	faults    Faults
	counts    Counts
	instances []listed
}

// listed is a list of instances with the time from which it is shown.
type listed struct {
	from      time.Time
	instances []Instance
}

// New returns a server over memory.
func New(memory *Memory, budget Budget, lag time.Duration) *Server {
	return &Server{
		memory: memory,
		reads:  rate.NewLimiter(rate.Limit(budget.ReadsPerSecond), int(budget.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(budget.WritesPerSecond), int(budget.WritesPerSecond)),
		lag:    lag,
	}
}

// Handler returns the HTTP handler of the API and of the control URL.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects", s.list)
	mux.HandleFunc("GET /objects/{key...}", s.get)
	mux.HandleFunc("PUT /objects/{key...}", s.write)
	mux.HandleFunc("DELETE /objects/{key...}", s.write)
	mux.HandleFunc("GET /watch", s.watch)
	mux.HandleFunc("GET /instances", s.listInstances)
	mux.HandleFunc("PUT /control/faults", s.setFaults)
	mux.HandleFunc("PUT /control/instances", s.setInstances)
	mux.HandleFunc("POST /control/forget", s.forget)
	mux.HandleFunc("GET /control/counts", s.showCounts)
	return mux
}

// admit counts a call and applies outage, slowness and budget. It says whether
// the call may go on.
func (s *Server) admit(w http.ResponseWriter, limiter *rate.Limiter, count *int64) bool {
	s.mu.Lock()
	faults := s.faults
	*count++
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(time.Duration(faults.Delay))
	}
	if faults.Down {
		s.tally(&s.counts.Refused)
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !limiter.Allow() {
		s.tally(&s.counts.OverRate)
		http.Error(w, "over the call budget", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) tally(count *int64) {
	s.mu.Lock()
	*count++
	s.mu.Unlock()
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	object, ok := s.memory.Get(usher.ObjectKey(r.PathValue("key")))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, object)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	objects, revision := s.memory.List(usher.ObjectKey(r.URL.Query().Get("prefix")))
	s.reply(w, http.StatusOK, map[string]any{"objects": objects, "revision": revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Watches) {
		return
	}
	query := r.URL.Query()
	since, errSince := strconv.ParseUint(query.Get("since"), 10, 64)
	wait, errWait := time.ParseDuration(query.Get("wait"))
	if errSince != nil || errWait != nil {
		http.Error(w, "since and wait are needed", http.StatusBadRequest)
		return
	}
	s.tally(&s.counts.Waiting)
	events, revision, lost := s.memory.Watch(r.Context().Done(), usher.ObjectKey(query.Get("prefix")), usher.Version(since), wait)
	s.mu.Lock()
	s.counts.Waiting--
	s.mu.Unlock()
	if lost {
		http.Error(w, "history lost", http.StatusGone)
		return
	}
	s.reply(w, http.StatusOK, map[string]any{"events": events, "revision": revision})
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		return
	}
	if len(value) > maxValue {
		http.Error(w, "value over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	expected, ok := condition(r.Header)
	if !ok {
		http.Error(w, "If-Match or If-None-Match is needed", http.StatusPreconditionRequired)
		return
	}
	s.mu.Lock()
	s.counts.WriteIn += int64(len(value))
	s.mu.Unlock()
	key := usher.ObjectKey(r.PathValue("key"))
	apply := func() (usher.Version, bool) {
		return s.memory.Write(key, expected, value, r.Method == http.MethodDelete)
	}
	if s.holdBack(key, apply) {
		panic(http.ErrAbortHandler)
	}
	version, done := apply()
	if s.takeFault(key, &s.faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !done {
		status = http.StatusPreconditionFailed
	}
	s.reply(w, status, map[string]any{"version": version})
}

// holdBack lets a write take effect late, if that fault is set.
func (s *Server) holdBack(key usher.ObjectKey, apply func() (usher.Version, bool)) bool {
	if !s.takeFault(key, &s.faults.LateWrites) {
		return false
	}
	s.mu.Lock()
	delay := time.Duration(s.faults.LateBy)
	s.mu.Unlock()
	time.AfterFunc(delay, func() { apply() })
	return true
}

func (s *Server) takeFault(key usher.ObjectKey, left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *left <= 0 || !strings.HasPrefix(string(key), string(s.faults.Key)) {
		return false
	}
	*left--
	return true
}

func condition(header http.Header) (usher.Version, bool) {
	if header.Get("If-None-Match") == "*" {
		return 0, true
	}
	tag := strings.Trim(header.Get("If-Match"), `"`)
	version, err := strconv.ParseUint(tag, 10, 64)
	return usher.Version(version), err == nil
}

func (s *Server) reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	s.counts.ReadOut += int64(len(encoded))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	s.mu.Lock()
	shown := []Instance{}
	for _, list := range s.instances {
		if !list.from.After(time.Now()) {
			shown = list.instances
		}
	}
	s.mu.Unlock()
	s.reply(w, http.StatusOK, shown)
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var instances []Instance
	if !readControl(w, r, &instances) {
		return
	}
	s.mu.Lock()
	s.instances = append(s.instances, listed{from: time.Now().Add(s.lag), instances: instances})
	s.mu.Unlock()
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readControl(w, r, &faults) {
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
}

func (s *Server) forget(_ http.ResponseWriter, r *http.Request) {
	s.memory.Reset(r.URL.Query().Get("everything") == "true")
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(counts)
}

func readControl(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
