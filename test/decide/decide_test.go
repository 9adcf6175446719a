// Package decide_test runs decisions under overload with real processes. The
// engines are full or idle by the script's own hand, so that every decision is
// the only right one and no verdict depends on time.
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

const (
	// testTimeout ends a test that hangs; no verdict depends on it otherwise.
	testTimeout = 2 * time.Minute
	pollDelay   = 10 * time.Millisecond
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, asked: make(map[string]*asked)}
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

type script struct {
	ctx   context.Context
	whole *fleet.Whole
	asked map[string]*asked
}

// asked is one question on its way.
type asked struct {
	cancel context.CancelFunc
	done   chan struct{}
	result string
}

func (s *script) close() {
	for _, a := range s.asked {
		a.cancel()
		<-a.done
	}
	if s.whole != nil {
		s.whole.Close()
	}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) (string, error) {
	switch d.Cmd {
	case "start":
		return "", s.start(t, d)
	case "preset":
		return "", s.preset(t, d)
	case "ask":
		return "", s.ask(t, d)
	case "await":
		return "", s.await(t, d)
	case "result":
		a := s.asked[d.CmdArgs[0].Key]
		select {
		case <-a.done:
			return a.result + "\n", nil
		case <-s.ctx.Done():
			return "", s.ctx.Err()
		}
	case "hangup":
		s.asked[d.CmdArgs[0].Key].cancel()
		return "", nil
	case "pending":
		// What has its result already is printed; it should be nothing.
		var out string
		for _, arg := range d.CmdArgs {
			select {
			case <-s.asked[arg.Key].done:
				out += arg.Key + ": " + s.asked[arg.Key].result + "\n"
			default:
			}
		}
		return out, nil
	case "executions":
		return s.executions()
	}
	t.Fatalf("directive %q is unknown", d.Cmd)
	return "", nil
}

// start: "start engines=N waiting=N": one request runs in each engine at once.
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
	whole, err := fleet.NewWhole(s.ctx, binaries, plan)
	s.whole = whole
	return err
}

// preset: "preset [preemption] [concurrency=N]" changes the preset in force.
func (s *script) preset(t *testing.T, d *datadriven.TestData) error {
	limits := usher.TierLimits{Tier: fleet.TierNormal}
	d.MaybeScanArgs(t, "concurrency", &limits.Concurrency)
	preset := usher.Preset{
		Name: fleet.PresetDay, Preemption: d.HasArg("preemption"),
		Tiers: []usher.TierLimits{{Tier: fleet.TierUrgent}, limits, {Tier: fleet.TierBatch}},
	}
	version, err := s.whole.Put(s.ctx, config.KindPreset, string(preset.Name), preset)
	if err != nil {
		return err
	}
	for _, member := range append(append([]*fleet.Member(nil), s.whole.Entries...), s.whole.Companions...) {
		if _, err := member.Await(s.ctx, "configInForce", fmt.Sprintf("version=%d", version)); err != nil {
			return err
		}
	}
	return nil
}

// ask: "ask NAME tier=T tokens=N [stream] [long]".
func (s *script) ask(t *testing.T, d *datadriven.TestData) error {
	name := d.CmdArgs[0].Key
	var tier string
	var tokens int
	d.ScanArgs(t, "tier", &tier)
	d.ScanArgs(t, "tokens", &tokens)
	question := "question " + name
	if d.HasArg("long") {
		question += strings.Repeat(" shelf", 1000)
	}
	chat := engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: d.HasArg("stream"),
		Messages: []engine.Message{{Role: "user", Content: question}},
	}
	body, err := json.Marshal(chat)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.whole.Entries[0].Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	request.Header.Set("Filbertusher-Tier", tier)
	request.Header.Set("Filbertusher-Timeout", "100s")
	a := &asked{cancel: cancel, done: make(chan struct{})}
	s.asked[name] = a
	go a.run(request, engine.Text(chat.Prompt(), tokens))
	return nil
}

func (a *asked) run(request *http.Request, want string) {
	defer close(a.done)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		a.result = "no answer"
		return
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	var refused struct{ Error *usher.Refusal }
	if json.Unmarshal(body, &refused) == nil && refused.Error != nil {
		a.result = fmt.Sprintf("%d %s, %s", response.StatusCode, refused.Error.Kind, refused.Error.Outcome)
		return
	}
	var answer struct {
		Choices []struct{ Message engine.Message }
	}
	a.result = fmt.Sprint(response.StatusCode, " whole")
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != want {
		a.result = fmt.Sprint(response.StatusCode, " damaged: ", string(body))
	}
}

// await: "await running=N waiting=N [reservations=N]" waits until the
// companions together report this.
func (s *script) await(t *testing.T, d *datadriven.TestData) error {
	want := counts{}
	d.MaybeScanArgs(t, "running", &want.running)
	d.MaybeScanArgs(t, "waiting", &want.waiting)
	d.MaybeScanArgs(t, "reservations", &want.reservations)
	for {
		now, err := s.counts()
		if err != nil || now == want {
			return err
		}
		select {
		case <-time.After(pollDelay):
		case <-s.ctx.Done():
			return &fleet.AwaitError{Name: "companions", Event: fmt.Sprintf("%+v, last %+v", want, now)}
		}
	}
}

type counts struct{ running, waiting, reservations int }

func (s *script) counts() (counts, error) {
	var sum counts
	for _, member := range s.whole.Companions {
		response, err := http.Get("http://" + member.Admin + "/dump")
		if err != nil {
			return sum, err
		}
		var dump struct {
			Companion struct{ Reservations int }
			Admission struct{ Running, Waiting int }
		}
		err = json.NewDecoder(response.Body).Decode(&dump)
		_ = response.Body.Close()
		if err != nil {
			return sum, err
		}
		sum.running += dump.Admission.Running
		sum.waiting += dump.Admission.Waiting
		sum.reservations += dump.Companion.Reservations
	}
	return sum, nil
}

// executions prints how many requests the engines have begun to run.
func (s *script) executions() (string, error) {
	sum := int64(0)
	for _, member := range s.whole.Engines {
		var totals engine.Totals
		if err := member.Inspect(s.ctx, "totals", &totals); err != nil {
			return "", err
		}
		sum += totals.Executions
	}
	return fmt.Sprintln(sum), nil
}
