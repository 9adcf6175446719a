package commands

import (
	"context"
	"io"
	"os"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/bench"
)

func newBench() *command.Command {
	c := command.New("bench", "measure the overhead of the product compared with plain HTTP forwarders")
	var options bench.Options
	c.Settings.String(&options.Binaries.Scheduler, "binary", "bin/filbertusher", true, "path of the product's executable")
	c.Settings.Int(&options.Samples, "samples", 2000, 4, 1000000, "requests per target in latency measurements")
	c.Settings.Int(&options.Requests, "requests", 10000, 32, 10000000, "short requests per target in CPU time measurements")
	c.Settings.Int(&options.Streams, "streams", 1000, 1, 10000, "concurrent streams")
	c.Settings.Int(&options.StreamTokens, "stream-tokens", 200, 2, 100000, "tokens of each stream")
	c.Settings.Int(&options.Waiting, "waiting", 10000, 1, 15000, "requests that wait for one endpoint")
	c.Settings.String(&options.ProfileDir, "profiles", "", false, "directory for CPU profiles of the product; empty for none")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		options.Binaries.Standin = executable
		return bench.Run(ctx, options, out)
	}
	return c
}

func newForward() *command.Command {
	c := command.New("forward", "run a plain HTTP forwarder, for comparison")
	var listen, to string
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "address to listen on")
	c.Settings.Address(&to, "to", "", true, "address to forward requests to")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		return serve(ctx, errOut, listen, bench.Forwarder(to))
	}
	return c
}
