package streamorigin

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// streamsPrefix is the prefix of the objects that list the unfinished streams of one
	// instance each.
	streamsPrefix usher.ObjectKey = "software-streams/"
	// minPersistInterval is the time between two writes of an instance while several
	// versions serve. It grows with the number of instances beyond unscaledInstances, up to
	// maxPersistInterval.
	minPersistInterval = 150 * time.Millisecond
	maxPersistInterval = 5 * time.Second
	unscaledInstances  = 8
	// unfinishedTTL is how long a stream that broke off is stored. Callers take it up
	// sooner or not at all.
	unfinishedTTL = 20 * time.Second
	// maxStoredStreams bounds the streams in one object.
	maxStoredStreams = 4096
	// abandonedAfter is the age at which the object of an instance that is gone is removed.
	abandonedAfter = time.Hour
	keyBytes       = 8
)

// storedStreams are the unfinished streams of one instance as they are stored.
type storedStreams struct {
	Written time.Time       `json:"written"`
	Groups  []storedOrigins `json:"groups"`
}

// storedOrigins are the streams that began at one version. Keys has keyBytes for each.
type storedOrigins struct {
	Service  usher.ServiceName     `json:"service"`
	Software usher.SoftwareVersion `json:"software"`
	Keys     []byte                `json:"keys"`
}

// Finished records that the caller has received all of a stream.
func (t *Table) Finished(id usher.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unfinished, keyOf(id))
}

// SetInstanceCount sets the number of instances that write to the store.
func (t *Table) SetInstanceCount(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = count
}

// Persist stores the unfinished streams of the instance with this name regularly while
// several versions serve, until ctx ends. It begins once Sync has read what was stored
// before.
func (t *Table) Persist(ctx context.Context, store usher.Store, name string, log zerolog.Logger) {
	select {
	case <-t.streamsLoaded:
	case <-ctx.Done():
		return
	}
	writer := streamsWriter{table: t, store: store, key: streamsPrefix + usher.ObjectKey(name)}
	failing := false
	for ctx.Err() == nil {
		pause.For(ctx, t.persistInterval())
		err := writer.write(ctx)
		if failed := err != nil && ctx.Err() == nil; failed != failing {
			failing = failed
			log.Info().Bool("failing", failing).AnErr("cause", err).Msg("streamOriginsStore")
		}
	}
}

func (t *Table) persistInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(maxPersistInterval, minPersistInterval*time.Duration(max(t.instances, unscaledInstances))/unscaledInstances)
}

// streamsWriter writes the object of one instance.
type streamsWriter struct {
	table   *Table
	store   usher.Store
	key     usher.ObjectKey
	version usher.Version
	// written is what the object holds, without the time.
	written string
}

func (w *streamsWriter) write(ctx context.Context) error {
	groups := w.table.unfinishedStreams()
	if groups == nil {
		return nil
	}
	encoded, err := json.Marshal(groups)
	if err != nil {
		return &MalformedError{Cause: err}
	}
	if string(encoded) == w.written && w.version.Era() == w.store.Era() {
		return nil
	}
	value, err := json.Marshal(storedStreams{Written: w.table.now().UTC(), Groups: groups})
	if err != nil {
		return &MalformedError{Cause: err}
	}
	version, err := w.store.Put(ctx, w.key, w.version, value)
	if err == nil {
		w.version, w.written = version, string(encoded)
		return nil
	}
	// An earlier incarnation, or a write whose response was lost, has written the object.
	unreadable := new(usher.UnreadableError)
	if found, getErr := w.store.Get(ctx, w.key); getErr == nil {
		w.version = found.Version
	} else if errors.As(getErr, &unreadable) {
		w.version = unreadable.Version
	} else if missing := new(usher.NotFoundError); errors.As(getErr, &missing) {
		w.version = 0
	}
	if conflict := new(usher.ConflictError); errors.As(err, &conflict) {
		return nil
	}
	return err
}

// unfinishedStreams returns the streams to store, or nil while one version of each service
// serves.
func (t *Table) unfinishedStreams() []storedOrigins {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for key, began := range t.unfinished {
		if now.Sub(began) > unfinishedTTL {
			delete(t.unfinished, key)
		}
	}
	if !t.isMixed(unfinishedTTL) {
		return nil
	}
	keys := make(map[Origin][]Key)
	stored := 0
	for key := range t.unfinished {
		if stored++; stored > maxStoredStreams {
			break
		}
		keys[t.origins[key]] = append(keys[t.origins[key]], key)
	}
	groups := make([]storedOrigins, 0, len(keys))
	for origin, unfinished := range keys {
		slices.Sort(unfinished)
		group := storedOrigins{Service: origin.Service, Software: origin.Software}
		for _, key := range unfinished {
			group.Keys = binary.BigEndian.AppendUint64(group.Keys, uint64(key))
		}
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b storedOrigins) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return groups
}

// load reads the unfinished streams that instances have stored. Those of this instance,
// which has the given name, are its own again.
func (t *Table) load(ctx context.Context, store usher.Store, name string) error {
	objects, _, err := store.List(ctx, streamsPrefix)
	if missing := new(usher.NotFoundError); err != nil && !errors.As(err, &missing) {
		return err
	}
	for _, object := range objects {
		var stored storedStreams
		if json.Unmarshal(object.Value, &stored) != nil {
			continue
		}
		age := t.now().Sub(stored.Written)
		if age > abandonedAfter {
			// Another instance may remove it at the same time.
			if err := store.Delete(ctx, object.Key, object.Version); err != nil && ctx.Err() != nil {
				return err
			}
			continue
		}
		if age <= originTTL {
			t.adopt(&stored, strings.TrimPrefix(string(object.Key), string(streamsPrefix)) == name)
		}
	}
	return nil
}

// adopt learns the stored streams of an instance.
func (t *Table) adopt(stored *storedStreams, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	adopted := 0
	for _, group := range stored.Groups {
		origin := Origin{Service: group.Service, Software: group.Software}
		for keys := group.Keys; len(keys) >= keyBytes && adopted < maxStoredStreams; keys = keys[keyBytes:] {
			key := Key(binary.BigEndian.Uint64(keys))
			t.learn(key, origin, own)
			if own {
				t.unfinished[key] = t.now()
			}
			adopted++
		}
	}
}
