package commands

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/report"
)

func newReport() *command.Command {
	c := command.New("report", "render the results of an experiment as one HTML file")
	var input, output string
	c.Settings.String(&input, "input", "out/experiment.jsonl", true, "file with the results, as JSON lines")
	c.Settings.String(&output, "output", "out/report.html", true, "file for the report")
	c.Run = func(_ context.Context, out, _ io.Writer) error {
		lines, err := os.Open(input)
		if err != nil {
			return err
		}
		defer lines.Close()
		runs, err := report.Read(lines)
		if err != nil {
			return err
		}
		if err := writeReport(output, runs); err != nil {
			return err
		}
		fmt.Fprintln(out, "wrote", output, "with", len(runs), "runs")
		return nil
	}
	return c
}

func writeReport(path string, runs []*report.Run) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	buffered := bufio.NewWriter(file)
	err = report.Write(buffered, runs)
	if flushErr := buffered.Flush(); err == nil {
		err = flushErr
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
