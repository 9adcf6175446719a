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
	c := command.New("demo", "start a complete system on loopback and send requests to it")
	var binary string
	c.Settings.String(&binary, "binary", "bin/filbertusher", true, "path of the product's executable")
	var stay bool
	c.Settings.Bool(&stay, "stay", false, "send nothing and keep the processes running until interrupted")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		return runDemo(ctx, out, fleet.Binaries{Scheduler: binary, Standin: executable}, stay)
	}
	return c
}

// DemoPlan returns the system that the demo starts.
func DemoPlan() fleet.Plan {
	return fleet.Plan{
		Entries:       2,
		Engines:       [][]string{{"--decode-step", "5ms"}, {"--decode-step", "15ms"}},
		OrderServices: 1,
		EntryArgs:     []string{"--body-timeout", "2s"},
	}
}

func runDemo(ctx context.Context, out io.Writer, binaries fleet.Binaries, stay bool) error {
	system, err := fleet.Deploy(ctx, binaries, DemoPlan())
	if err != nil {
		return err
	}
	defer system.Close()
	if stay {
		fmt.Fprintf(out, "export ENTRY=http://%s TOKEN=%s\n", system.Entries[0].Address, fleet.TokenOf(fleet.Regenfass))
		<-ctx.Done()
		return nil
	}
	fmt.Fprintln(out, "started", len(system.Members()), "processes; entries at", system.Entries[0].Address, "and", system.Entries[1].Address)
	d := &demo{system: system, out: out}
	steps := []func(context.Context) error{d.sendQuestions, d.sendStream, d.sendOrder, d.activatePeakPreset, d.showRecord}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "done; stopping all processes")
	return nil
}

type demo struct {
	system *fleet.Deployment
	out    io.Writer
}

// sendQuestions sends a chat request without streaming to each entry.
func (d *demo) sendQuestions(ctx context.Context) error {
	for i, entry := range d.system.Entries {
		body := chatBody("Which pump fits a cistern of 5000 litres?", false)
		if err := d.send(ctx, fmt.Sprintf("question to entry %d", i), entry, "/v1/chat/completions", body, nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) sendStream(ctx context.Context) error {
	return d.send(ctx, "streamed question", d.system.Entries[0], "/v1/chat/completions", chatBody("Which slots are free?", true), nil)
}

func (d *demo) sendOrder(ctx context.Context) error {
	headers := map[string]string{"Idempotency-Key": "order-1"}
	return d.send(ctx, "order", d.system.Entries[1], "/v1/services/orders/orders", []byte(`{"pump":"RP-7","pieces":1}`), headers)
}

// activatePeakPreset activates the peak preset and shows that requests of the batch
// tier are refused under it.
func (d *demo) activatePeakPreset(ctx context.Context) error {
	version, err := d.system.Put(ctx, config.KindActivePreset, config.ActivePresetName, usher.ActivePreset{Preset: fleet.PresetPeak})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\n== preset %s accepted as version %d\n", fleet.PresetPeak, version)
	for _, entry := range d.system.Entries {
		if _, err := entry.Await(ctx, "configInForce", fmt.Sprintf("version=%d", version)); err != nil {
			return err
		}
	}
	headers := map[string]string{"Filbertusher-Tier": string(fleet.TierBatch)}
	return d.send(ctx, "batch question under the peak preset", d.system.Entries[0], "/v1/chat/completions", chatBody("Summarise the shelves.", false), headers)
}

func chatBody(prompt string, stream bool) []byte {
	body, _ := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), Messages: []engine.Message{{Role: "user", Content: prompt}}, MaxTokens: 8, Stream: stream,
	})
	return body
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
	responseBody, err := io.ReadAll(response.Body)
	fmt.Fprintf(d.out, "\n== %s: %s after %s\n%s\n", title, response.Status, time.Since(started).Round(time.Millisecond), bytes.TrimSpace(responseBody))
	return err
}
