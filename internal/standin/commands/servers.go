// Package commands is the command line of the stand-ins.
package commands

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/desk"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/store"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// All lists the subcommands.
func All() []*command.Command {
	return []*command.Command{
		newStore(), newEngine(), newDesk(), newForward(),
		newDemo(), newBench(), newExperiment(), newSoak(), newScale(), newReport(),
	}
}

// crashStatus is the exit status of an engine that crashed.
const crashStatus = 70

func newStore() *command.Command {
	c := command.New("store", "the platform's object API")
	var listen string
	var reads, writes int
	var lag time.Duration
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "where the store is reached")
	c.Settings.Int(&reads, "reads", 2000, 1, 1000000, "reads a second that are served")
	c.Settings.Int(&writes, "writes", 400, 1, 1000000, "writes a second that are served")
	c.Settings.Duration(&lag, "list-lag", 30*time.Second, 0, time.Hour, "how late the list of instances is")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		budget := store.Budget{ReadsPerSecond: float64(reads), WritesPerSecond: float64(writes)}
		return serve(ctx, errOut, listen, store.New(store.NewMemory(), budget, lag).Handler())
	}
	return c
}

func newEngine() *command.Command {
	c := command.New("engine", "a model engine")
	var listen, model string
	var options engine.Options
	var chunk int
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "where the engine is reached")
	c.Settings.String(&model, "model", "advice-1", true, "the model that is loaded")
	c.Settings.Duration(&options.PrefillPerToken, "prefill-per-token", 20*time.Microsecond, 0, time.Second, "time to compute one prompt token")
	c.Settings.Duration(&options.DecodeStep, "decode-step", 5*time.Millisecond, 0, time.Second, "time of one decoding step")
	c.Settings.Duration(&options.DecodePerRequest, "decode-per-request", 100*time.Microsecond, 0, time.Second, "time a step takes longer for each request in it")
	c.Settings.Int(&chunk, "prefill-chunk", 512, 1, 1000000, "prompt tokens computed in one step at most")
	c.Settings.Int(&options.MaxBatch, "max-batch", 32, 1, 10000, "requests that run at once")
	c.Settings.Int(&options.CacheBlocks, "cache-blocks", 4096, 0, 10000000, "blocks in the prefix cache")
	c.Settings.Duration(&options.ReportLag, "report-lag", time.Second, 0, time.Hour, "how old load reports and cache events are")
	c.Settings.Float(&options.EventLoss, "event-loss", 0.05, 0, 1, "the share of cache events that is lost")
	c.Settings.Bool(&options.FencingChecked, "fencing-checked", false, "refuse orders with an old fencing number")
	c.Settings.Duration(&options.Retention, "retention", time.Minute, 0, time.Hour, "how long a finished stream can be resumed")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		options.Models = []string{model}
		options.PrefillChunk = usher.Tokens(chunk)
		simulated := engine.New(options, func() { os.Exit(crashStatus) })
		go simulated.Run(ctx.Done())
		return serve(ctx, errOut, listen, simulated.Handler())
	}
	return c
}

func newDesk() *command.Command {
	c := command.New("desk", "a plain ordering service")
	var listen string
	var delay time.Duration
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "where the desk is reached")
	c.Settings.Duration(&delay, "delay", 2*time.Millisecond, 0, time.Hour, "how long a call takes")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		return serve(ctx, errOut, listen, desk.New(delay).Handler())
	}
	return c
}

// serve runs a stand-in until ctx ends. Open connections are cut then.
func serve(ctx context.Context, errOut io.Writer, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	log := telemetry.NewLogger(errOut, zerolog.InfoLevel)
	log.Info().Str("listen", listener.Addr().String()).Msg("listening")
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
