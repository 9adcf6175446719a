package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"filbertusher/internal/command"
	"filbertusher/internal/config"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

func newDemo() *command.Command {
	c := command.New("demo", "bring up the whole path on loopback and send requests")
	var binary string
	c.Settings.String(&binary, "binary", "bin/filbertusher", true, "the product's program")
	var stay bool
	c.Settings.Bool(&stay, "stay", false, "send nothing and keep the processes until interrupted, for callers to try")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		return runDemo(ctx, out, fleet.Binaries{Product: binary, Standin: self}, stay)
	}
	return c
}

// DemoPlan is the path that the demo brings up.
func DemoPlan() fleet.Plan {
	return fleet.Plan{
		Entries:   2,
		Engines:   [][]string{{"--decode-step", "5ms"}, {"--decode-step", "15ms"}},
		Desks:     1,
		EntryArgs: []string{"--body-timeout", "2s"},
	}
}

func runDemo(ctx context.Context, out io.Writer, binaries fleet.Binaries, stay bool) error {
	whole, err := fleet.NewWhole(ctx, binaries, DemoPlan())
	if err != nil {
		return err
	}
	defer whole.Close()
	if stay {
		fmt.Fprintf(out, "export ENTRY=http://%s TOKEN=%s\n", whole.Entries[0].Address, fleet.TokenOf(fleet.Regenfass))
		<-ctx.Done()
		return nil
	}
	fmt.Fprintln(out, "started", len(whole.Members()), "processes; entries at", whole.Entries[0].Address, "and", whole.Entries[1].Address)
	d := &demo{whole: whole, out: out}
	steps := []func(context.Context) error{d.question, d.stream, d.order, d.switchPreset, d.record}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "done; every process is stopped")
	return nil
}

type demo struct {
	whole *fleet.Whole
	out   io.Writer
}

// question asks for a whole answer from each entry.
func (d *demo) question(ctx context.Context) error {
	for i, entry := range d.whole.Entries {
		body := chat("Which pump fits a cistern of 5000 litres?", false)
		if err := d.send(ctx, fmt.Sprintf("question to entry %d", i), entry, "/v1/chat/completions", body, nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) stream(ctx context.Context) error {
	return d.send(ctx, "streamed question", d.whole.Entries[0], "/v1/chat/completions", chat("Which slots are free?", true), nil)
}

func (d *demo) order(ctx context.Context) error {
	headers := map[string]string{"Idempotency-Key": "order-1"}
	return d.send(ctx, "order", d.whole.Entries[1], "/v1/services/orders/orders", []byte(`{"pump":"RP-7","pieces":1}`), headers)
}

// switchPreset shows that the batch tier is refused once the peak preset is in
// force.
func (d *demo) switchPreset(ctx context.Context) error {
	version, err := d.whole.Put(ctx, config.KindActivePreset, config.ActivePresetName, usher.ActivePreset{Preset: fleet.PresetPeak})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\n== preset %s accepted as version %d\n", fleet.PresetPeak, version)
	for _, entry := range d.whole.Entries {
		if _, err := entry.Await(ctx, "configInForce", fmt.Sprintf("version=%d", version)); err != nil {
			return err
		}
	}
	headers := map[string]string{"Filbertusher-Tier": string(fleet.TierBatch)}
	return d.send(ctx, "batch question under the peak preset", d.whole.Entries[0], "/v1/chat/completions", chat("Summarise the shelves.", false), headers)
}

func chat(prompt string, stream bool) []byte {
	encoded, _ := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), Messages: []engine.Message{{Role: "user", Content: prompt}}, MaxTokens: 8, Stream: stream,
	})
	return encoded
}

func (d *demo) send(ctx context.Context, title string, entry *fleet.Member, path string, body []byte, headers map[string]string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	fmt.Fprintf(d.out, "\n== %s: %s after %s\n%s\n", title, response.Status, time.Since(started).Round(time.Millisecond), bytes.TrimSpace(answer))
	return err
}
