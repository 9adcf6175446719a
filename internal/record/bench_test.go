package record

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"encoding/hex"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/standin/store"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// countingStore counts all writes without keeping them, or fails them while down.
type countingStore struct {
	store.SingleEra
	down    bool
	writes  atomic.Int64
	bytes   atomic.Int64
	largest atomic.Int64
}

var _ usher.Store = (*countingStore)(nil)

func (c *countingStore) Get(context.Context, usher.ObjectKey) (usher.Object, error) {
	return usher.Object{}, &usher.NotFoundError{}
}

func (c *countingStore) List(context.Context, usher.ObjectKey) ([]usher.Object, usher.Version, error) {
	return nil, 0, nil
}

func (c *countingStore) Put(_ context.Context, _ usher.ObjectKey, _ usher.Version, value []byte) (usher.Version, error) {
	if c.down {
		return 0, &usher.UnavailableError{Operation: "put", Cause: context.DeadlineExceeded}
	}
	c.writes.Add(1)
	c.bytes.Add(int64(len(value)))
	c.largest.Store(max(c.largest.Load(), int64(len(value))))
	return 1, nil
}

func (c *countingStore) Delete(context.Context, usher.ObjectKey, usher.Version) error { return nil }

func (c *countingStore) Watch(context.Context, usher.ObjectKey, usher.Version, time.Duration) ([]usher.WatchEvent, usher.Version, error) {
	return nil, 0, nil
}

// sampleDecision returns a decision typical of a fleet of the target size: one of
// 34,000 workspaces, 15 services and 770 endpoints, four candidates, two
// incompressible digests, and an idempotency key on every tenth decision.
func sampleDecision(writer string, i int) usher.Decision {
	digest := func(salt uint64) string {
		var seed [16]byte
		binary.LittleEndian.PutUint64(seed[:], uint64(i))
		binary.LittleEndian.PutUint64(seed[8:], salt+uint64(len(writer)))
		sum := sha256.Sum256(append(seed[:], writer...))
		return hex.EncodeToString(sum[:])
	}
	random, _ := strconv.ParseUint(digest(0)[:15], 16, 64)
	endpoint := func(n uint64) usher.EndpointName {
		return usher.EndpointName("advice-ch-mittelland-a-" + strconv.FormatUint((random/7+n)%770, 10))
	}
	decision := usher.Decision{
		Time: time.Now().UTC().Truncate(time.Millisecond), ID: usher.RequestID(writer + "-" + strconv.FormatInt(int64(i), 36)), View: usher.ViewEntry,
		Workspace: usher.WorkspaceName("workspace-" + strconv.FormatUint(random%34000, 10)), TokenName: "main",
		Service: usher.ServiceName("advice-" + strconv.FormatUint(random%15, 10)), Tier: "normal", ConfigVersion: 123456,
		Preset: "ordinary", Endpoint: endpoint(0), Attempts: 1, Outcome: usher.OutcomeRan, Status: 200,
		RequestSHA256: digest(1), AnswerSHA256: digest(2), AnswerBytes: int64(random % 4000), Duration: usher.Duration(time.Duration(random % 5e9).Round(time.Millisecond)),
	}
	for n := range uint64(4) {
		decision.Candidates = append(decision.Candidates, usher.Candidate{Endpoint: endpoint(n), Finish: time.Duration(random / (n + 1) % 1e9).Round(time.Millisecond), Reused: usher.Tokens(random % 2048)})
	}
	if i%10 == 0 {
		decision.Key = "order-" + digest(3)[:16]
	}
	return decision
}

// BenchmarkEntry measures the CPU time per request in the entry: encoding its line,
// its share of sealing and compressing a batch of 200, and its release.
func BenchmarkEntry(b *testing.B) {
	store := &countingStore{}
	r := NewRecorder(RecorderOptions{BatchInterval: time.Second, WritesPerSecond: 1e9, MaxBacklogBytes: 1 << 30}, store, "0b0f1f9e-6a7b-4c1d-9e51-3f8f3c1d2a10", zerolog.Nop())
	decisions := make([]usher.Decision, 2000)
	for i := range decisions {
		decisions[i] = sampleDecision(r.chain.writer, i)
	}
	copies := usher.DecisionCopies{Holders: []usher.EndpointName{"advice-1"}, LastConfirmed: true}
	b.ReportAllocs()
	b.ResetTimer()
	cpuStart := cpuTime()
	for i := range b.N {
		r.Record(b.Context(), decisions[i%len(decisions)], copies)
		if i%200 == 199 {
			r.chain.Seal(nil, false)
			_ = r.chain.Drain(b.Context(), 0, time.Hour, r.onStored)
			r.takeReleases()
		}
	}
	b.ReportMetric(float64((cpuTime()-cpuStart).Nanoseconds())/1000/float64(b.N), "cpu-µs/request")
	b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "storedB/request")
}

// cpuTime returns the CPU time that this process has used, which depends less than
// elapsed time on other load on the machine.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCompanion measures the time per request in the companion: holding the copy
// and releasing it, without the message.
func BenchmarkCompanion(b *testing.B) {
	replica := NewReplica(ReplicaOptions{Incarnation: "replica", SilenceTimeout: time.Hour, MaxCopyBytes: 1 << 30}, &countingStore{}, zerolog.Nop())
	const writer = "0b0f1f9e-6a7b-4c1d-9e51-3f8f3c1d2a10"
	decisions := make([]usher.Decision, 200)
	released := make([]string, 200)
	for i := range decisions {
		decisions[i] = sampleDecision(writer, i)
		_, released[i] = SplitID(decisions[i].ID)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		replica.Hold(decisions[i%200])
		if i%200 == 199 {
			replica.exchange(&wire.RecordArgs{Prefix: writer + "-", Released: released})
		}
	}
}

// BenchmarkMessage measures what the record adds to the message that carries a
// request, in time and in bytes, on a connection over which gob has already sent
// the types.
func BenchmarkMessage(b *testing.B) {
	decision := sampleDecision("0b0f1f9e-6a7b-4c1d-9e51-3f8f3c1d2a10", 7)
	withRecord := wire.SubmitArgs{Record: usher.RecordContext{
		Time: decision.Time, TokenName: decision.TokenName, ConfigVersion: decision.ConfigVersion, Preset: decision.Preset, Candidates: decision.Candidates,
	}}
	for name, args := range map[string]*wire.SubmitArgs{"without": {}, "with": &withRecord} {
		b.Run(name, func(b *testing.B) {
			var connection bytes.Buffer
			sender, receiver := gob.NewEncoder(&connection), gob.NewDecoder(&connection)
			_ = sender.Encode(&withRecord)
			_ = receiver.Decode(&wire.SubmitArgs{})
			size := 0
			b.ResetTimer()
			for range b.N {
				_ = sender.Encode(args)
				size = connection.Len()
				_ = receiver.Decode(&wire.SubmitArgs{})
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkExchange measures the size of the recorder's messages: one that asks a
// companion to hold decisions, and one that releases the decisions of one interval
// at one of 24 companions.
func BenchmarkExchange(b *testing.B) {
	const writer = "0b0f1f9e-6a7b-4c1d-9e51-3f8f3c1d2a10"
	hold := func(n int) *wire.RecordArgs {
		args := &wire.RecordArgs{Prefix: writer + "-"}
		for i := range n {
			args.Hold = append(args.Hold, sampleDecision(writer, i))
		}
		return args
	}
	released := &wire.RecordArgs{Prefix: writer + "-", Released: []string{"1a", "1b", "1c", "1d", "1e", "1f", "1g", "1h"}}
	released.Head = wire.RecordHead{Writer: writer, Sequence: 7, Digest: GenesisDigest(writer)}
	for name, args := range map[string]*wire.RecordArgs{"hold=1": hold(1), "hold=16": hold(16), "release=8": released} {
		b.Run(name, func(b *testing.B) {
			var connection bytes.Buffer
			sender, receiver := gob.NewEncoder(&connection), gob.NewDecoder(&connection)
			_ = sender.Encode(args)
			_ = receiver.Decode(&wire.RecordArgs{})
			size := 0
			b.ResetTimer()
			for range b.N {
				_ = sender.Encode(args)
				size = connection.Len()
				_ = receiver.Decode(&wire.RecordArgs{})
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkOutage measures the memory that an entry needs per minute of a store
// outage at different request rates per second. It seals one batch a minute, as the
// recorder does.
func BenchmarkOutage(b *testing.B) {
	for _, rate := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("requests=%d", rate), func(b *testing.B) {
			const minutes = 30
			before := heapBytes()
			chain := newChainWriter(&countingStore{down: true}, "0b0f1f9e-6a7b-4c1d-9e51-3f8f3c1d2a10", RoleEntry)
			for minute := range minutes {
				for i := range rate * 60 {
					decision := sampleDecision(chain.writer, minute*rate*60+i)
					chain.add(&decision, []usher.EndpointName{decision.Endpoint})
				}
				chain.Seal(nil, false)
				// Companions hold the sealed batches, so the line references are dropped.
				for _, batch := range chain.unstored {
					chain.dropLineRefs(batch)
				}
			}
			b.ReportMetric(float64(chain.bytes.Load())/minutes, "countedB/minute")
			b.ReportMetric(float64(heapBytes()-before)/minutes, "heapB/minute")
			runtime.KeepAlive(chain)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// directPeers calls replicas in the same process and counts the messages.
type directPeers struct {
	names    []usher.EndpointName
	replicas map[usher.EndpointName]*Replica
	messages *atomic.Int64
}

func (d *directPeers) Names() []usher.EndpointName {
	return append([]usher.EndpointName(nil), d.names...)
}

func (d *directPeers) Exchange(_ context.Context, endpoint usher.EndpointName, args *wire.RecordArgs) (*wire.RecordReply, error) {
	d.messages.Add(1)
	reply := d.replicas[endpoint].exchange(args)
	return &reply, nil
}

const (
	// fleetWarmUp is the time at the start of a run that is not measured. After it
	// every writer has announced its chain and stored its first batch.
	fleetWarmUp = 13 * time.Second
	// fleetRun is the measured time of one run of BenchmarkFleet.
	fleetRun = 20 * time.Second
)

// BenchmarkFleet runs many recorders with the default interval and measures the
// load on the store. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ writers, companions, requests int }{
		{110, 257, 2133}, {220, 513, 4267}, {330, 770, 6400}, {330, 770, 3200},
	} {
		b.Run(fmt.Sprintf("writers=%d/requests=%d", size.writers, size.requests), func(b *testing.B) {
			runFleet(b, size.writers, size.companions, size.requests)
		})
	}
}

func runFleet(b *testing.B, writers, companions, requests int) {
	const peersPerWriter = 24
	store := &countingStore{}
	var messages atomic.Int64
	replicas := make(map[usher.EndpointName]*Replica, companions)
	names := make([]usher.EndpointName, companions)
	for i := range companions {
		names[i] = usher.EndpointName("advice-" + strconv.Itoa(i))
		replicas[names[i]] = NewReplica(ReplicaOptions{Incarnation: usher.Incarnation(names[i]), SilenceTimeout: 30 * time.Second, MaxCopyBytes: 16 << 20}, store, zerolog.Nop())
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetWarmUp+fleetRun)
	defer cancel()
	var sent atomic.Int64
	time.AfterFunc(fleetWarmUp, func() {
		for _, counter := range []*atomic.Int64{&store.writes, &store.bytes, &messages, &sent} {
			counter.Store(0)
		}
	})
	var group sync.WaitGroup
	for writer := range writers {
		r := NewRecorder(RecorderOptions{BatchInterval: 10 * time.Second, WritesPerSecond: 100, MaxBacklogBytes: 16 << 20}, store, usher.Incarnation(fmt.Sprintf("0b0f1f9e-6a7b-4c1d-9e51-%012d", writer)), zerolog.Nop())
		peers := &directPeers{replicas: replicas, messages: &messages}
		for n := range peersPerWriter {
			peers.names = append(peers.names, names[(writer*companions/writers+n)%companions])
		}
		go func() { _ = r.Run(ctx, peers) }()
		group.Go(func() {
			ticker := time.NewTicker(time.Second * time.Duration(writers) / time.Duration(requests))
			defer ticker.Stop()
			for i := 0; ctx.Err() == nil; i++ {
				<-ticker.C
				decision := sampleDecision(r.chain.writer, i)
				endpoint := peers.names[i%peersPerWriter]
				replicas[endpoint].Hold(decision)
				r.Record(ctx, decision, usher.DecisionCopies{Holders: []usher.EndpointName{endpoint}, LastConfirmed: true})
				sent.Add(1)
			}
		})
	}
	group.Wait()
	seconds := fleetRun.Seconds()
	b.ReportMetric(float64(store.writes.Load())/seconds, "writes/s")
	b.ReportMetric(float64(sent.Load())/seconds, "requests/s")
	b.ReportMetric(float64(store.bytes.Load())/seconds/float64(writers), "storedB/s/entry")
	b.ReportMetric(float64(messages.Load())/seconds/float64(writers), "messages/s/entry")
	b.ReportMetric(float64(store.largest.Load()), "largestB")
}
