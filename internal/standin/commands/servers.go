// Package commands defines the subcommands of the stand-in program: simulated
// servers, and the tools that measure and test the product against them.
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
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/orderservice"
	"filbertusher/internal/standin/store"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// All returns all subcommands.
func All() []*command.Command {
	return []*command.Command{
		newStore(), newEngine(), newOrderService(), newForward(),
		newDemo(), newBench(), newExperiment(), newSoak(), newScale(), newReport(),
	}
}

// crashStatus is the exit status of a simulated engine that crashes.
const crashStatus = 70

func newStore() *command.Command {
	c := command.New("store", "run a simulated store with the platform's object API")
	var listen string
	var reads, writes int
	var lag time.Duration
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "address to listen on")
	c.Settings.Int(&reads, "reads", 2000, 1, 1000000, "maximum reads per second")
	c.Settings.Int(&writes, "writes", 400, 1, 1000000, "maximum writes per second")
	c.Settings.Duration(&lag, "list-lag", 30*time.Second, 0, time.Hour, "lag of the list of instances")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		limits := store.RateLimits{ReadsPerSecond: float64(reads), WritesPerSecond: float64(writes)}
		return serve(ctx, errOut, listen, store.New(store.NewMemory(), limits, lag).Handler())
	}
	return c
}

func newEngine() *command.Command {
	c := command.New("engine", "run a simulated model engine")
	var listen, model string
	var options engine.Options
	var chunk int
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "address to listen on")
	c.Settings.String(&model, "model", "advice-1", true, "the model that is loaded")
	c.Settings.Duration(&options.PrefillPerToken, "prefill-per-token", 20*time.Microsecond, 0, time.Second, "prefill time per prompt token")
	c.Settings.Duration(&options.DecodeStep, "decode-step", 5*time.Millisecond, 0, time.Second, "time per decode step")
	c.Settings.Duration(&options.DecodePerRequest, "decode-per-request", 100*time.Microsecond, 0, time.Second, "additional time per decode step for each request in the batch")
	c.Settings.Int(&chunk, "prefill-chunk", 512, 1, 1000000, "maximum prompt tokens per step")
	c.Settings.Int(&options.MaxBatch, "max-batch", 32, 1, 10000, "maximum concurrent requests")
	c.Settings.Int(&options.CacheBlocks, "cache-blocks", 4096, 0, 10000000, "size of the prefix cache in blocks")
	c.Settings.Duration(&options.ReportLag, "report-lag", time.Second, 0, time.Hour, "lag of load reports and cache events")
	c.Settings.Float(&options.EventLossProbability, "event-loss", 0.05, 0, 1, "fraction of cache events that are lost")
	c.Settings.Bool(&options.FencingChecked, "fencing-checked", false, "refuse orders with an old fencing token")
	c.Settings.Duration(&options.Retention, "retention", time.Minute, 0, time.Hour, "how long a finished stream can be resumed")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		options.Models = []string{model}
		options.PrefillChunk = usher.Tokens(chunk)
		simulatedEngine := engine.New(options, func() { os.Exit(crashStatus) })
		go simulatedEngine.Run(ctx.Done())
		return serve(ctx, errOut, listen, simulatedEngine.Handler())
	}
	return c
}

func newOrderService() *command.Command {
	c := command.New("desk", "run a simulated plain service for orders")
	var listen string
	var delay time.Duration
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "address to listen on")
	c.Settings.Duration(&delay, "delay", 2*time.Millisecond, 0, time.Hour, "processing time of a call")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		return serve(ctx, errOut, listen, orderservice.New(delay).Handler())
	}
	return c
}

// serve runs a simulated server until ctx ends. It then closes open connections
// immediately.
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
