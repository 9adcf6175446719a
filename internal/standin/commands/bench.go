package commands

import (
	"context"
	"io"
	"os"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/bench"
)

func newBench() *command.Command {
	c := command.New("bench", "measure what the path costs next to bare forwarders")
	var options bench.Options
	c.Settings.String(&options.Binaries.Product, "binary", "bin/filbertusher", true, "the product's program")
	c.Settings.Int(&options.Samples, "samples", 2000, 4, 1000000, "requests each way whose times are measured")
	c.Settings.Int(&options.Requests, "requests", 10000, 32, 10000000, "short requests whose processor time is measured")
	c.Settings.Int(&options.Streams, "streams", 1000, 1, 10000, "concurrent streams")
	c.Settings.Int(&options.StreamTokens, "stream-tokens", 200, 2, 100000, "tokens of each stream")
	c.Settings.Int(&options.Waiting, "waiting", 10000, 1, 15000, "requests that wait for one endpoint")
	c.Settings.String(&options.Profiles, "profiles", "", false, "a folder for processor profiles of the path, or empty")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		options.Binaries.Standin = self
		return bench.Run(ctx, options, out)
	}
	return c
}

func newForward() *command.Command {
	c := command.New("forward", "a bare HTTP forwarder, for comparison")
	var listen, to string
	c.Settings.Address(&listen, "listen", "127.0.1.3:0", true, "where the forwarder is reached")
	c.Settings.Address(&to, "to", "", true, "where requests are sent on to")
	c.Run = func(ctx context.Context, _, errOut io.Writer) error {
		return serve(ctx, errOut, listen, bench.Forwarder(to))
	}
	return c
}
