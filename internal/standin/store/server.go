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
	// maxBodyBytes is the maximum size of the body of a write, in bytes: a value of
	// 1 MiB in base64, a third larger, and 1 KiB for the rest of the JSON object.
	maxBodyBytes = 1<<20*4/3 + 1<<10
	// kindServers is the object kind of the platform's list of instances.
	kindServers = "servers"
)

// Faults are the faults that the store injects. A PUT to /control/faults
// replaces all of them.
type Faults struct {
	// Down rejects every call before it has an effect.
	Down bool `json:"down"`
	// Silent leaves every call without a response, and SilentWatches every watch, until the
	// caller gives it up. That also holds, after the fault has ended, for calls that were
	// waiting when it began.
	Silent        bool `json:"silent"`
	SilentWatches bool `json:"silentWatches"`
	// Delay is added to every call.
	Delay usher.Duration `json:"delay"`
	// LostResponses is how many of the following writes take effect, but have their
	// connection closed without a response.
	LostResponses int `json:"loseAnswers"`
	// DelayedWrites is how many of the following writes have their connection closed
	// without a response and take effect only after WriteDelay.
	DelayedWrites int            `json:"lateWrites"`
	WriteDelay    usher.Duration `json:"lateBy"`
	// Key restricts LostResponses and DelayedWrites to keys with this prefix.
	Key usher.ObjectKey `json:"key"`
}

// Instance is one entry of the platform's list of instances. Leaving instances
// are listed with the state "draining".
type Instance struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// RateLimits is the platform's rate limit on calls.
type RateLimits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Counts holds the counters that /control/counts returns. Reads, Writes and
// Watches include rejected calls; RateLimited counts calls above the rate limits,
// Refused those rejected by Faults.Down, and Waiting the watches that wait now.
// ReadBytesOut and WriteBytesIn count the bytes of the bodies sent and received.
type Counts struct {
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	Watches      int64 `json:"watches"`
	RateLimited  int64 `json:"overRate"`
	Refused      int64 `json:"refused"`
	ReadBytesOut int64 `json:"readBytesOut"`
	WriteBytesIn int64 `json:"writeBytesIn"`
	Waiting      int64 `json:"watchesWaiting"`
}

// Server serves the object API over HTTP.
type Server struct {
	memory *Memory
	reads  *rate.Limiter
	writes *rate.Limiter
	// lag is the delay after which a change to the list of instances is visible.
	lag time.Duration

	mu     sync.Mutex
	faults Faults
	// silences counts how often Faults.Silent or Faults.SilentWatches began.
	silences  int
	counts    Counts
	instances []instanceList
}

// instanceList is a list of instances with the time from which it is visible.
type instanceList struct {
	visibleAt time.Time
	instances []Instance
}

// New returns a server for the objects in memory. lag is the delay of the list of
// instances.
func New(memory *Memory, limits RateLimits, lag time.Duration) *Server {
	return &Server{
		memory: memory,
		reads:  rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), int(limits.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(limits.WritesPerSecond), int(limits.WritesPerSecond)),
		lag:    lag,
	}
}

// Handler returns the HTTP handler of the object API, with the URLs below
// /control/ that tests use.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.listOrWatch)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.replaceStatus)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	mux.HandleFunc("PUT /control/faults", s.setFaults)
	mux.HandleFunc("PUT /control/instances", s.setInstances)
	mux.HandleFunc("POST /control/forget", s.reset)
	mux.HandleFunc("POST /control/backup", func(http.ResponseWriter, *http.Request) { s.memory.Backup() })
	mux.HandleFunc("POST /control/restore", func(http.ResponseWriter, *http.Request) { s.memory.Restore() })
	mux.HandleFunc("GET /control/counts", s.writeCounts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerEra, strconv.Itoa(int(s.memory.Era())))
		if s.isSilent(r) {
			awaitGivenUp(r)
		}
		mux.ServeHTTP(w, r)
	})
}

// headerEra is in every response.
const headerEra = "Store-Era"

// isSilent reports whether a call gets no response, and counts it then.
func (s *Server) isSilent(r *http.Request) bool {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		return false
	}
	isWatch := r.URL.Query().Has("watch")
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.faults.Silent || s.faults.SilentWatches && isWatch
	if silent && isWatch {
		s.counts.Watches++
	}
	return silent
}

func (s *Server) silenceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences
}

// awaitGivenUp waits until the caller has closed the connection, and ends the call.
func awaitGivenUp(r *http.Request) {
	// The server notices that only once the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// admit counts a call and applies Faults.Delay, Faults.Down and the rate limit. It
// returns false if it rejected the call.
func (s *Server) admit(w http.ResponseWriter, limiter *rate.Limiter, count *int64) bool {
	s.mu.Lock()
	faults := s.faults
	*count++
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(time.Duration(faults.Delay))
	}
	if faults.Down {
		s.increment(&s.counts.Refused)
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !limiter.Allow() {
		s.increment(&s.counts.RateLimited)
		http.Error(w, "over the call budget", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) increment(count *int64) {
	s.mu.Lock()
	*count++
	s.mu.Unlock()
}

func objectKey(r *http.Request) usher.ObjectKey {
	return usher.ObjectKey(r.PathValue("kind") + "/" + r.PathValue("name"))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	object, ok := s.memory.Get(objectKey(r))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, s.toWire(object))
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.list(w, r)
}

// pageSize is the maximum number of objects in one response to a list call.
const pageSize = 500

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	kind := r.PathValue("kind")
	objects, revision := s.memory.List(usher.ObjectKey(kind + "/"))
	if kind == kindServers {
		objects = append(objects, s.visibleInstances()...)
	}
	after := usher.ObjectKey(kind + "/" + r.URL.Query().Get("after"))
	page := listResponse{Entries: []wireObject{}, Revision: revision}
	for _, object := range objects {
		if object.Key <= after {
			continue
		}
		if len(page.Entries) == pageSize {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, s.toWire(object))
	}
	s.reply(w, http.StatusOK, page)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Watches) {
		return
	}
	query := r.URL.Query()
	since, sinceErr := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if sinceErr != nil || waitErr != nil {
		http.Error(w, "watch and wait_ms are needed", http.StatusBadRequest)
		return
	}
	silences := s.silenceCount()
	s.increment(&s.counts.Waiting)
	events, revision, expired := s.memory.Watch(r.Context().Done(), usher.ObjectKey(r.PathValue("kind")+"/"), usher.Version(since), time.Duration(wait)*time.Millisecond)
	s.mu.Lock()
	s.counts.Waiting--
	s.mu.Unlock()
	if s.silenceCount() != silences {
		awaitGivenUp(r)
	}
	// The store may have been restored while the watch waited.
	w.Header().Set(headerEra, strconv.Itoa(int(s.memory.Era())))
	if expired {
		http.Error(w, "history lost", http.StatusGone)
		return
	}
	response := watchResponse{Events: []wireEvent{}, Revision: revision}
	for _, event := range events {
		response.Events = append(response.Events, wireEvent{Object: s.toWire(event.Object), Deleted: event.Deleted})
	}
	s.reply(w, http.StatusOK, response)
}

// create writes an object that must not exist yet.
func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readObject(w, r)
	if !ok {
		return
	}
	s.commit(w, usher.ObjectKey(r.PathValue("kind")+"/"+body.Metadata.Name), 0, body.Spec, false)
}

// replace writes an existing object. If the body has a revision, the object must
// be at that revision.
func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readObject(w, r)
	if !ok {
		return
	}
	key := objectKey(r)
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
	key := objectKey(r)
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

// readObject admits a write and decodes its body.
func (s *Server) readObject(w http.ResponseWriter, r *http.Request) (wireObject, bool) {
	var body wireObject
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return body, false
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return body, false
	}
	if len(text) > maxBodyBytes {
		http.Error(w, "value over a megabyte", http.StatusRequestEntityTooLarge)
		return body, false
	}
	if err := json.Unmarshal(text, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	s.mu.Lock()
	s.counts.WriteBytesIn += int64(len(text))
	s.mu.Unlock()
	return body, true
}

// commit applies a conditional change and writes the response, subject to the
// faults that are set. Aborting the handler closes the connection without a
// response.
func (s *Server) commit(w http.ResponseWriter, key usher.ObjectKey, expected usher.Version, spec []byte, deleted bool) {
	s.apply(w, key, spec, func() (usher.Version, bool) { return s.memory.Write(key, expected, spec, deleted) })
}

// replaceStatus writes the status of an existing object, on the same conditions as replace.
func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readObject(w, r)
	if !ok {
		return
	}
	key := objectKey(r)
	current, exists := s.memory.Get(key)
	if !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	expected := body.Metadata.Revision
	if expected == 0 {
		expected = current.Version
	}
	s.apply(w, key, current.Value, func() (usher.Version, bool) { return s.memory.WriteStatus(key, expected, body.Status) })
}

func (s *Server) toWire(object usher.Object) wireObject {
	return toWire(object, s.memory.Status(object.Version))
}

// apply makes a change after which the object has a spec, as commit does.
func (s *Server) apply(w http.ResponseWriter, key usher.ObjectKey, spec []byte, apply func() (usher.Version, bool)) {
	if s.delayWrite(key, apply) {
		panic(http.ErrAbortHandler)
	}
	version, applied := apply()
	if s.consumeFault(key, &s.faults.LostResponses) {
		panic(http.ErrAbortHandler)
	}
	if applied {
		s.reply(w, http.StatusOK, s.toWire(usher.Object{Key: key, Version: version, Value: spec}))
		return
	}
	current, exists := s.memory.Get(key)
	if !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusConflict, s.toWire(current))
}

// delayWrite schedules a write for later and returns true if DelayedWrites applies
// to it.
func (s *Server) delayWrite(key usher.ObjectKey, apply func() (usher.Version, bool)) bool {
	if !s.consumeFault(key, &s.faults.DelayedWrites) {
		return false
	}
	s.mu.Lock()
	delay := time.Duration(s.faults.WriteDelay)
	s.mu.Unlock()
	time.AfterFunc(delay, func() { apply() })
	return true
}

func (s *Server) consumeFault(key usher.ObjectKey, remaining *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *remaining <= 0 || !strings.HasPrefix(string(key), string(s.faults.Key)) {
		return false
	}
	*remaining--
	return true
}

func (s *Server) reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	s.counts.ReadBytesOut += int64(len(encoded))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// visibleInstances returns the newest visible list of instances as objects.
func (s *Server) visibleInstances() []usher.Object {
	s.mu.Lock()
	visible := []Instance{}
	for _, list := range s.instances {
		if !list.visibleAt.After(time.Now()) {
			visible = list.instances
		}
	}
	s.mu.Unlock()
	objects := make([]usher.Object, 0, len(visible))
	for _, instance := range visible {
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
	if !decodeControl(w, r, &instances) {
		return
	}
	s.mu.Lock()
	s.instances = append(s.instances, instanceList{visibleAt: time.Now().Add(s.lag), instances: instances})
	s.mu.Unlock()
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decodeControl(w, r, &faults) {
		return
	}
	s.mu.Lock()
	if (faults.Silent || faults.SilentWatches) && !s.faults.Silent && !s.faults.SilentWatches {
		s.silences++
	}
	s.faults = faults
	s.mu.Unlock()
}

func (s *Server) reset(_ http.ResponseWriter, r *http.Request) {
	s.memory.Reset(r.URL.Query().Get("everything") == "true")
}

func (s *Server) writeCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(counts)
}

func decodeControl(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
