package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"filbertusher/internal/admin"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/gateway"
	"filbertusher/pkg/usher"
)

const (
	// maxExplainParts bounds the parts of a prompt in a question, and maxQuestionTokens each
	// number of tokens.
	maxExplainParts   = 64
	maxQuestionTokens = 1 << 30
	// defaultExplained is the number of endpoints in an answer.
	defaultExplained = 20
	maxExplained     = 1000
)

// Names of the parameters of a question.
const (
	paramRoute     = "route"
	paramWorkspace = "workspace"
	paramService   = "service"
	paramID        = "id"
	paramPrompt    = "prompt"
	paramAnswer    = "answer"
	paramHint      = "hint"
	paramPrefix    = "prefix"
	paramWait      = "wait"
	paramMost      = "most"
)

// MalformedParameterError is returned for a parameter of a question that can't be read.
type MalformedParameterError struct{ Name, Value, Allowed string }

// Error implements error.
func (e *MalformedParameterError) Error() string {
	return e.Name + " is " + strconv.Quote(e.Value) + ", want " + e.Allowed
}

// explainHandler answers where a request would go. It answers one question at a time, so that
// questions can't take more than a small part of the process's time.
type explainHandler struct {
	explain func(*gateway.Question) *gateway.Answer
	mu      sync.Mutex
}

// ServeHTTP implements http.Handler.
func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	question, err := parseQuestion(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.mu.TryLock() {
		http.Error(w, "another question is being answered", http.StatusServiceUnavailable)
		return
	}
	answer := h.explain(question)
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(answer)
}

func parseQuestion(values url.Values) (*gateway.Question, error) {
	question := &gateway.Question{
		Route: usher.RouteName(values.Get(paramRoute)), Workspace: usher.WorkspaceName(values.Get(paramWorkspace)),
		Service: usher.ServiceName(values.Get(paramService)),
	}
	var prompt, answer, hint, wait, most int
	for _, number := range []struct {
		name   string
		limit  int
		target *int
	}{
		{paramPrompt, maxQuestionTokens, &prompt},
		{paramAnswer, maxQuestionTokens, &answer},
		{paramHint, maxQuestionTokens, &hint},
		{paramWait, int(time.Hour.Milliseconds()), &wait},
		{paramMost, maxExplained, &most},
	} {
		text := values.Get(number.name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > number.limit {
			return nil, &MalformedParameterError{number.name, text, "a number from 0 to " + strconv.Itoa(number.limit)}
		}
		*number.target = n
	}
	prefix, err := parseParts(values.Get(paramPrefix))
	if err != nil {
		return nil, err
	}
	question.Most = most
	question.Metadata = usher.RequestMetadata{
		ID: usher.RequestID(values.Get(paramID)), Wait: time.Duration(wait) * time.Millisecond,
		Cost:       usher.RequestCost{PromptTokens: usher.Tokens(prompt), AnswerTokens: usher.Tokens(answer)},
		CostStated: prompt > 0 || answer > 0, ExpectedAnswerTokens: usher.Tokens(hint), Prefix: prefix,
	}
	return question, nil
}

// parseParts parses the parts of a prompt, written as ID:TOKENS and separated by commas.
func parseParts(text string) (parts []usher.PromptPart, err error) {
	if text == "" {
		return nil, nil
	}
	malformed := &MalformedParameterError{paramPrefix, text, "at most " + strconv.Itoa(maxExplainParts) + " parts ID:TOKENS separated by commas"}
	for _, part := range strings.Split(text, ",") {
		id, count, found := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(count)
		if !found || err != nil || tokens < 0 || tokens > maxQuestionTokens || len(parts) == maxExplainParts {
			return nil, malformed
		}
		parts = append(parts, usher.PromptPart{ID: id, Tokens: usher.Tokens(tokens)})
	}
	return parts, nil
}

func newExplainCommand() *Command {
	command := New("explain", "show where a gateway would send a request now, and why, without sending it")
	var address, route, workspace, service, id, prefix, format string
	var prompt, answer, hint, wait, most int
	command.Settings.String(&route, paramRoute, "", true, "the name of the request's route")
	command.Settings.String(&workspace, paramWorkspace, "", false, "the name of the caller's workspace")
	command.Settings.String(&service, paramService, "", false, "the service, if the route sends to several; empty lets the id pick one")
	command.Settings.String(&id, paramID, "", false, "the request's id, which picks between equal endpoints and services")
	command.Settings.Int(&prompt, paramPrompt, 0, 0, maxQuestionTokens, "the prompt tokens")
	command.Settings.Int(&answer, paramAnswer, 0, 0, maxQuestionTokens, "the most answer tokens")
	command.Settings.Int(&hint, paramHint, 0, 0, maxQuestionTokens, "the caller's estimate of the answer tokens; 0 if it has none")
	command.Settings.String(&prefix, paramPrefix, "", false, "the parts of the prompt as ID:TOKENS,ID:TOKENS")
	command.Settings.Int(&wait, paramWait, 0, 0, int(time.Hour.Milliseconds()), "how long the caller waits, in ms; 0 is the route's timeout")
	command.Settings.Int(&most, paramMost, defaultExplained, 1, maxExplained, "how many endpoints to show")
	command.Settings.Choice(&format, "format", "text", []string{"text", "json"}, "the format of the answer")
	command.Subcommand.AddPositionalValue(&address, "ADDRESS", 1, true, "the operators' address of the gateway")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		values := url.Values{}
		for name, value := range map[string]string{paramRoute: route, paramWorkspace: workspace, paramService: service, paramID: id, paramPrefix: prefix} {
			if value != "" {
				values.Set(name, value)
			}
		}
		for name, value := range map[string]int{paramPrompt: prompt, paramAnswer: answer, paramHint: hint, paramWait: wait, paramMost: most} {
			values.Set(name, strconv.Itoa(value))
		}
		body, err := callAdmin(ctx, http.MethodGet, address, admin.PathExplain+"?"+values.Encode(), http.StatusOK)
		if err != nil {
			return explainError(err)
		}
		defer body.Close()
		if format == "json" {
			_, err = io.Copy(out, body)
			return err
		}
		var explained gateway.Answer
		if err := json.NewDecoder(body).Decode(&explained); err != nil {
			return err
		}
		return printAnswer(out, &explained)
	}
	return command
}

// explainError says what the status of a gateway means that did not answer a question.
func explainError(err error) error {
	unexpected := new(UnexpectedStatusError)
	if errors.As(err, &unexpected) && unexpected.Status == http.StatusServiceUnavailable {
		return &GatewayBusyError{Cause: err}
	}
	return err
}

// GatewayBusyError is returned by a gateway that answers one question at a time and is
// answering another one.
type GatewayBusyError struct{ Cause error }

// Error implements error.
func (e *GatewayBusyError) Error() string {
	return "the gateway is answering another question: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *GatewayBusyError) Unwrap() error { return e.Cause }

// printAnswer prints the decision and a table of the endpoints.
func printAnswer(out io.Writer, a *gateway.Answer) error {
	switch a.Decision {
	case dispatch.DecisionSend:
		fmt.Fprintf(out, "send to %s\n", a.Endpoint)
	case dispatch.DecisionWait:
		fmt.Fprintf(out, "wait for at most %d ms, expected %d ms\n", a.WaitUntilMs, a.ExpectedWaitMs)
	case dispatch.DecisionRefuse:
		fmt.Fprintf(out, "refuse: %s, Retry-After %.2f s\n", a.Message, float64(a.RetryAfterMs)/1000)
	}
	fmt.Fprintf(out, "route %s, workspace %q, service %s, rank %d, version %d; %d wait, %d of them ahead; %.0f%% of the slots in use\n",
		a.Route, a.Workspace, a.Service, a.Rank, a.Version, a.Waiting, a.Ahead, 100*a.Load)
	if len(a.Candidates) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENDPOINT\tZONE\tCOST\tFIRST\tFINISH\tOWN\tOTHERS\tSHARE\tSLOTS\tRATIO\tAGE\tPACE\tAGE\tFAILING\tCACHED\tEXCLUDED")
	for i := range a.Candidates {
		c := &a.Candidates[i]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%s\t%.1f\t%s\t%.2f\t%d\t%s\n", c.Endpoint, c.Zone, c.CostMs, c.FirstEventMs, c.FinishMs,
			c.Own, c.Others, c.Share, c.Slots, c.Ratio, formatAge(c.RatioAgeMs), c.PaceMs, formatAge(c.PaceAgeMs), c.FailureRate, c.Cached, c.Excluded)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if a.Omitted > 0 {
		fmt.Fprintf(out, "and %d more\n", a.Omitted)
	}
	return nil
}

// formatAge formats the age of a measurement in ms, or "-" if there is none.
func formatAge(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return strconv.FormatInt(ms, 10)
}
