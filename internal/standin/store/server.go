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

const (
	// maxBody is the largest body of a write, in bytes: a value of a megabyte, as
	// it is encoded in JSON, and what the platform writes around it.
	maxBody = 1<<20*4/3 + 1<<10
	// kindServers is the kind of the platform's list of instances.
	kindServers = "servers"
)

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
	mux.HandleFunc("GET /v1/objects/{kind}", s.listOrWatch)
	mux.HandleFunc("GET /v1/objects/{kind}/{name...}", s.get)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name...}", s.replace)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name...}", s.remove)
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

func keyOf(r *http.Request) usher.ObjectKey {
	return usher.ObjectKey(r.PathValue("kind") + "/" + r.PathValue("name"))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	found, ok := s.memory.Get(keyOf(r))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, toWire(found))
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.list(w, r)
}

// pageSize is how many objects one answer to a list holds.
const pageSize = 500

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	kind := r.PathValue("kind")
	found, revision := s.memory.List(usher.ObjectKey(kind + "/"))
	if kind == kindServers {
		found = append(found, s.shownInstances()...)
	}
	after := usher.ObjectKey(kind + "/" + r.URL.Query().Get("after"))
	page := listReply{Entries: []wireObject{}, Revision: revision}
	for _, one := range found {
		if one.Key <= after {
			continue
		}
		if len(page.Entries) == pageSize {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, toWire(one))
	}
	s.reply(w, http.StatusOK, page)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Watches) {
		return
	}
	query := r.URL.Query()
	since, errSince := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait_ms"))
	if errSince != nil || errWait != nil {
		http.Error(w, "watch and wait_ms are needed", http.StatusBadRequest)
		return
	}
	s.tally(&s.counts.Waiting)
	events, revision, lost := s.memory.Watch(r.Context().Done(), usher.ObjectKey(r.PathValue("kind")+"/"), usher.Version(since), time.Duration(wait)*time.Millisecond)
	s.mu.Lock()
	s.counts.Waiting--
	s.mu.Unlock()
	if lost {
		http.Error(w, "history lost", http.StatusGone)
		return
	}
	changes := watchReply{Events: []wireEvent{}, Revision: revision}
	for _, event := range events {
		changes.Events = append(changes.Events, wireEvent{Object: toWire(event.Object), Deleted: event.Deleted})
	}
	s.reply(w, http.StatusOK, changes)
}

// create writes an object that must not exist yet.
func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readObject(w, r)
	if !ok {
		return
	}
	s.commit(w, usher.ObjectKey(r.PathValue("kind")+"/"+body.Metadata.Name), 0, body.Spec, false)
}

// replace writes an object, on the condition of its revision if one is given.
func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readObject(w, r)
	if !ok {
		return
	}
	key := keyOf(r)
	current, exists := s.memory.Get(key)
	if !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	expected := body.Metadata.Revision
	if expected == 0 {
		expected = current.Version
	}
	s.commit(w, key, expected, body.Spec, false)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return
	}
	key := keyOf(r)
	current, exists := s.memory.Get(key)
	if !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	expected := current.Version
	if text := r.URL.Query().Get("revision"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "revision is no number", http.StatusBadRequest)
			return
		}
		expected = usher.Version(number)
	}
	s.commit(w, key, expected, nil, true)
}

// readObject counts a write and reads its body.
func (s *Server) readObject(w http.ResponseWriter, r *http.Request) (wireObject, bool) {
	var body wireObject
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return body, false
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return body, false
	}
	if len(text) > maxBody {
		http.Error(w, "value over a megabyte", http.StatusRequestEntityTooLarge)
		return body, false
	}
	if err := json.Unmarshal(text, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	s.mu.Lock()
	s.counts.WriteIn += int64(len(text))
	s.mu.Unlock()
	return body, true
}

// commit makes the change and answers, or does what the faults say.
func (s *Server) commit(w http.ResponseWriter, key usher.ObjectKey, expected usher.Version, spec []byte, deleted bool) {
	apply := func() (usher.Version, bool) { return s.memory.Write(key, expected, spec, deleted) }
	if s.holdBack(key, apply) {
		panic(http.ErrAbortHandler)
	}
	version, done := apply()
	if s.takeFault(key, &s.faults.LoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if done {
		s.reply(w, http.StatusOK, toWire(usher.Object{Key: key, Version: version, Value: spec}))
		return
	}
	current, exists := s.memory.Get(key)
	if !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusConflict, toWire(current))
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

// shownInstances returns the lagging list of instances as objects.
func (s *Server) shownInstances() []usher.Object {
	s.mu.Lock()
	shown := []Instance{}
	for _, list := range s.instances {
		if !list.from.After(time.Now()) {
			shown = list.instances
		}
	}
	s.mu.Unlock()
	objects := make([]usher.Object, 0, len(shown))
	for _, instance := range shown {
		state := "ready"
		if instance.Leaving {
			state = "draining"
		}
		spec, err := json.Marshal(map[string]any{
			"service": "unnamed", "address": instance.Address, "zone": "", "slots": 1, "state": state, "sequence": 1,
		})
		if err == nil {
			objects = append(objects, usher.Object{Key: usher.ObjectKey(kindServers + "/" + instance.Address), Value: spec})
		}
	}
	return objects
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
