// Package decide_test tests scheduling decisions under overload with real
// processes. The scripts themselves determine which engines are full or idle, so
// that only one decision is correct at each step and no result depends on timing.
package decide_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/config"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(&binaries, m.Run)) }

// Limits and intervals of waits. pollDelay is the pause between two polls of the
// companions' counts.
const (
	// testTimeout bounds a script, so that a hanging test ends. No result depends on
	// its value otherwise.
	testTimeout = 2 * time.Minute
	pollDelay   = 10 * time.Millisecond
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, requests: make(map[string]*callerRequest)}
		defer s.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out, err := s.run(t, d)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			return out
		})
	})
}

// script is the state of a running script. requests holds the requests by the
// names that the script gives them.
type script struct {
	ctx      context.Context
	cluster  *fleet.Deployment
	requests map[string]*callerRequest
}

// callerRequest is a chat completions request that runs concurrently with the
// script. result is set when done is closed.
type callerRequest struct {
	cancel context.CancelFunc
	done   chan struct{}
	result string
}

func (s *script) close() {
	for _, r := range s.requests {
		r.cancel()
		<-r.done
	}
	if s.cluster != nil {
		s.cluster.Close()
	}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) (string, error) {
	switch d.Cmd {
	case "start":
		return "", s.start(t, d)
	case "preset":
		return "", s.setPreset(t, d)
	case "chat":
		return "", s.chat(t, d)
	case "await":
		return "", s.awaitCounts(t, d)
	case "result":
		r := s.requests[d.CmdArgs[0].Key]
		select {
		case <-r.done:
			return r.result + "\n", nil
		case <-s.ctx.Done():
			return "", s.ctx.Err()
		}
	case "disconnect":
		s.requests[d.CmdArgs[0].Key].cancel()
		return "", nil
	case "pending":
		// Prints the results of the requests that have ended. None should have.
		var out string
		for _, arg := range d.CmdArgs {
			select {
			case <-s.requests[arg.Key].done:
				out += arg.Key + ": " + s.requests[arg.Key].result + "\n"
			default:
			}
		}
		return out, nil
	case "executions":
		return s.countExecutions()
	}
	t.Fatalf("unknown directive %q", d.Cmd)
	return "", nil
}

// start implements "start engines=N waiting=N". Each engine runs one request at a
// time and up to waiting more are queued for it.
func (s *script) start(t *testing.T, d *datadriven.TestData) error {
	engines, waiting := 1, 1
	d.MaybeScanArgs(t, "engines", &engines)
	d.MaybeScanArgs(t, "waiting", &waiting)
	plan := fleet.Plan{
		Entries:       1,
		CompanionArgs: []string{"--max-running", "1", "--max-waiting", fmt.Sprint(waiting)},
	}
	for range engines {
		plan.Engines = append(plan.Engines, []string{"--decode-step", "2ms"})
	}
	cluster, err := fleet.Deploy(s.ctx, binaries, plan)
	s.cluster = cluster
	return err
}

// setPreset implements "preset [preemption] [concurrency=N]", which changes the
// active preset. concurrency limits the requests of tier normal.
func (s *script) setPreset(t *testing.T, d *datadriven.TestData) error {
	limits := usher.TierLimits{Tier: fleet.TierNormal}
	d.MaybeScanArgs(t, "concurrency", &limits.Concurrency)
	preset := usher.Preset{
		Name: fleet.PresetOrdinary, Preemption: d.HasArg("preemption"),
		Tiers: []usher.TierLimits{{Tier: fleet.TierUrgent}, limits, {Tier: fleet.TierBatch}},
	}
	version, err := s.cluster.Put(s.ctx, config.KindPreset, string(preset.Name), preset)
	if err != nil {
		return err
	}
	for _, member := range append(append([]*fleet.Member(nil), s.cluster.Entries...), s.cluster.Companions...) {
		if _, err := member.Await(s.ctx, "configInForce", fmt.Sprintf("version=%d", version)); err != nil {
			return err
		}
	}
	return nil
}

// chat implements "chat NAME tier=T tokens=N [stream] [long]", which sends a chat
// completions request without waiting for the response. long makes the prompt long.
func (s *script) chat(t *testing.T, d *datadriven.TestData) error {
	name := d.CmdArgs[0].Key
	var tier string
	var tokens int
	d.ScanArgs(t, "tier", &tier)
	d.ScanArgs(t, "tokens", &tokens)
	prompt := "question " + name
	if d.HasArg("long") {
		prompt += strings.Repeat(" shelf", 1000)
	}
	chat := engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: d.HasArg("stream"),
		Messages: []engine.Message{{Role: "user", Content: prompt}},
	}
	body, err := json.Marshal(chat)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cluster.Entries[0].Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	request.Header.Set("Filbertusher-Tier", tier)
	request.Header.Set("Filbertusher-Timeout", "100s")
	r := &callerRequest{cancel: cancel, done: make(chan struct{})}
	s.requests[name] = r
	go r.send(request, engine.AnswerText(chat.Prompt(), tokens))
	return nil
}

func (r *callerRequest) send(request *http.Request, wantText string) {
	defer close(r.done)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.result = "no response"
		return
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	var errorBody struct{ Error *usher.Refusal }
	if json.Unmarshal(body, &errorBody) == nil && errorBody.Error != nil {
		r.result = fmt.Sprintf("%d %s, %s", response.StatusCode, errorBody.Error.Kind, errorBody.Error.Outcome)
		return
	}
	var completion struct {
		Choices []struct{ Message engine.Message }
	}
	r.result = fmt.Sprint(response.StatusCode, " whole")
	if json.Unmarshal(body, &completion) != nil || len(completion.Choices) != 1 || completion.Choices[0].Message.Content != wantText {
		r.result = fmt.Sprint(response.StatusCode, " corrupted: ", string(body))
	}
}

// awaitCounts implements "await [running=N] [waiting=N] [reservations=N] [limited=N]",
// which waits until the counts reported by all companions together, and that of the
// entry, have these values. A count that is not given must be 0.
func (s *script) awaitCounts(t *testing.T, d *datadriven.TestData) error {
	want := counts{}
	d.MaybeScanArgs(t, "running", &want.running)
	d.MaybeScanArgs(t, "waiting", &want.waiting)
	d.MaybeScanArgs(t, "reservations", &want.reservations)
	d.MaybeScanArgs(t, "limited", &want.limited)
	for {
		got, err := s.readCounts()
		if err != nil || got == want {
			return err
		}
		select {
		case <-time.After(pollDelay):
		case <-s.ctx.Done():
			return &fleet.AwaitError{Name: "companions", Event: fmt.Sprintf("%+v, last %+v", want, got)}
		}
	}
}

// counts are numbers of requests, summed over all companions. limited is the number of
// requests in flight at the entry that count against a limit of the preset. The entry
// releases them a moment after the companion has.
type counts struct{ running, waiting, reservations, limited int }

func (s *script) readCounts() (counts, error) {
	var sum counts
	for _, member := range s.cluster.Entries {
		var dump struct {
			Entry struct{ Limits struct{ InFlight int } }
		}
		if err := member.Dump(s.ctx, &dump); err != nil {
			return sum, err
		}
		sum.limited += dump.Entry.Limits.InFlight
	}
	for _, member := range s.cluster.Companions {
		var dump struct {
			Companion struct{ Reservations int }
			Admission struct{ Running, Waiting int }
		}
		if err := member.Dump(s.ctx, &dump); err != nil {
			return sum, err
		}
		sum.running += dump.Admission.Running
		sum.waiting += dump.Admission.Waiting
		sum.reservations += dump.Companion.Reservations
	}
	return sum, nil
}

// countExecutions implements "executions", which prints how many requests all
// engines together have begun to run.
func (s *script) countExecutions() (string, error) {
	sum := int64(0)
	for _, member := range s.cluster.Engines {
		var totals engine.Totals
		if err := member.GetControl(s.ctx, "totals", &totals); err != nil {
			return "", err
		}
		sum += totals.Executions
	}
	return fmt.Sprintln(sum), nil
}
