package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"filbertusher/internal/admin"
	"filbertusher/internal/rollout"
	"filbertusher/pkg/usher"
)

// newRolloutsCommand returns the command that shows rollouts as one gateway sees them.
func newRolloutsCommand() *Command {
	command := New("rollouts", "print the rollout orders that a gateway knows, how far they are and why")
	var address string
	command.Subcommand.AddPositionalValue(&address, "ADDRESS", 1, true, "the operators' address of a gateway")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		body, err := callAdmin(ctx, http.MethodGet, address, admin.PathDump, http.StatusOK)
		if err != nil {
			return err
		}
		defer body.Close()
		var dump struct {
			Rollouts *rolloutDump `json:"rollouts"`
		}
		if err := json.NewDecoder(body).Decode(&dump); err != nil {
			return err
		}
		if dump.Rollouts == nil {
			return &NoRolloutsError{}
		}
		return printRollouts(out, dump.Rollouts)
	}
	return command
}

// NoRolloutsError is returned for a process that carries out no rollouts.
type NoRolloutsError struct{}

// Error implements error.
func (*NoRolloutsError) Error() string {
	return "the process carries out no rollouts: it is no gateway, or its settings lack the contract"
}

// rolloutDump is the rollouts' section of a dump as it is read.
type rolloutDump struct {
	Orders  []rolloutOrderState                        `json:"orders"`
	Version usher.Version                              `json:"version"`
	Table   map[usher.ServiceName]rollout.ServiceState `json:"decisions"`
}

// printRollouts prints a table with one line for each order, and the answers by route below.
func printRollouts(out io.Writer, dump *rolloutDump) error {
	if dump.Version == 0 {
		if _, err := fmt.Fprintln(out, "the orders are not known yet"); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tTARGET\tIN FORCE\tRECORDED\tSTAGE\tAGE\tOF\tCANDIDATES\tWHY")
	for i := range dump.Orders {
		listed := &dump.Orders[i]
		known := dump.Table[listed.Service]
		order := known.Order
		if order == nil || order.Target != listed.Target {
			order = &rollout.OrderState{}
		}
		why := order.Why
		if why == "" {
			why = order.BlockedBy
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%v\t%v\t%d of %d\t%s\n", listed.Service, listed.Target, known.InForce,
			recordedState(listed), order.Stage, wholeSeconds(order.AgeMS), time.Duration(listed.DurationS*float64(time.Second)),
			order.Charged, order.Sent, why)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return printRolloutAnswers(out, dump)
}

// recordedState returns the state that is recorded for the target of an order, or "-".
func recordedState(order *rolloutOrderState) string {
	if order.State == usher.RolloutNew || order.StateTarget != order.Target {
		return "-"
	}
	return string(order.State)
}

func wholeSeconds(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}

// printRolloutAnswers prints what all gateways saw of the answers during each order.
func printRolloutAnswers(out io.Writer, dump *rolloutDump) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nSERVICE\tROUTE\tCURRENT\tFAILED\tSLOW\tCANDIDATES\tFAILED\tSLOW")
	for i := range dump.Orders {
		service := dump.Orders[i].Service
		order := dump.Table[service].Order
		if order == nil {
			continue
		}
		var routes []usher.RouteName
		for route := range order.Current {
			routes = append(routes, route)
		}
		for route := range order.Candidates {
			if _, both := order.Current[route]; !both {
				routes = append(routes, route)
			}
		}
		slices.Sort(routes)
		for _, route := range routes {
			current, candidates := order.Current[route], order.Candidates[route]
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", service, route,
				current.Answers, current.Failed, current.Slow, candidates.Answers, candidates.Failed, candidates.Slow)
		}
	}
	return table.Flush()
}
