package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

const (
	// maxAttempts is the maximum number of times a caller sends an order with one
	// key.
	maxAttempts = 4
	// callTimeout is the timeout that callers set in the request, in seconds.
	callTimeout = "6"
	// clientTimeout is the time after which a caller closes the connection
	// without a response.
	clientTimeout = 14 * time.Second
)

// caller sends orders sequentially. sent is the number of keys it has sent.
type caller struct {
	run    *run
	number int
	random *rand.Rand
	client *http.Client
	sent   int
}

func (r *run) newCaller(number int) *caller {
	return &caller{
		run: r, number: number, random: rand.New(rand.NewPCG(r.options.Seed, uint64(number))),
		client: &http.Client{Timeout: clientTimeout},
	}
}

// sendOrders sends orders until ctx is done. It completes the order in progress.
func (c *caller) sendOrders(ctx context.Context) {
	for ctx.Err() == nil {
		c.sent++
		key := fmt.Sprintf("s%d-c%d-%d", c.run.options.Seed, c.number, c.sent)
		hasTicket := c.random.IntN(10) == 0
		if hasTicket {
			ticket, ok := c.ticket()
			if !ok {
				continue
			}
			key = ticket
		}
		c.sendWithRetries(ctx, key, hasTicket)
	}
}

// sendWithRetries sends an order up to maxAttempts times. It usually stops after
// outcomeBooked, and half of the time after outcomeNotRun; otherwise it repeats the
// order, which tests a repeated key. At random it sends a different order with a
// booked key before that.
func (c *caller) sendWithRetries(ctx context.Context, key string, hasTicket bool) {
	body := "order of " + key
	for attempt := range maxAttempts {
		if attempt > 0 && ctx.Err() != nil {
			return
		}
		got := c.send(key, body, hasTicket)
		switch {
		case got == outcomeBooked && c.random.IntN(20) == 0:
			c.sendConflict(key)
		case got == outcomeBooked && c.random.IntN(10) > 0, got == outcomeNotRun && c.random.IntN(2) == 0:
			return
		}
	}
}

// send sends an order through one entry or, at random, through two concurrently.
// It returns the outcome of the first.
func (c *caller) send(key, body string, hasTicket bool) outcome {
	first := c.random.IntN(c.run.options.Entries)
	if c.random.IntN(8) > 0 {
		return c.call(first, key, body, hasTicket)
	}
	second := c.random.IntN(c.run.options.Entries)
	var group sync.WaitGroup
	group.Go(func() { c.call(second, key, body, hasTicket) })
	got := c.call(first, key, body, hasTicket)
	group.Wait()
	return got
}

// sendConflict sends another order with a booked key. It must be refused.
func (c *caller) sendConflict(key string) {
	body := "another order with " + key
	status, answer, err := c.exchange(c.random.IntN(c.run.options.Entries), "/v1/services/orders/orders", key, body)
	if err == nil && status < http.StatusBadRequest {
		c.run.histories.addViolation("key %s: a different order with the same key was accepted: %s", key, answer)
	}
}

// call sends one request and records the outcome.
func (c *caller) call(entry int, key, body string, hasTicket bool) outcome {
	o := operation{key: key, call: int64(time.Since(c.run.started)), hasTicket: hasTicket}
	status, answer, err := c.exchange(entry, "/v1/services/orders/orders", key, body)
	o.end = int64(time.Since(c.run.started))
	o.outcome, o.description = outcomeUnknown, "connection lost"
	if err == nil {
		c.parse(&o, status, answer, body)
	}
	c.run.histories.add(o)
	return o.outcome
}

func (c *caller) parse(o *operation, status int, answer []byte, body string) {
	if status >= http.StatusBadRequest {
		var parsed struct{ Error *usher.Refusal }
		if json.Unmarshal(answer, &parsed) != nil || parsed.Error == nil {
			c.run.histories.addViolation("key %s: malformed refusal: %s", o.key, answer)
			return
		}
		o.outcome = outcomeOf(parsed.Error)
		o.description = strconv.Itoa(status) + " " + string(parsed.Error.Kind) + ", " + string(parsed.Error.Outcome)
		if parsed.Error.Attempt != "" {
			o.description += ", attempt " + string(parsed.Error.Attempt)
		}
		if o.hasTicket {
			o.description += " (ticket)"
		}
		return
	}
	var booking struct{ Key, Order string }
	if json.Unmarshal(answer, &booking) != nil || booking.Key != o.key || booking.Order != body {
		c.run.histories.addViolation("key %s: response is truncated or belongs to another order: %s", o.key, answer)
	}
	o.outcome, o.description, o.body = outcomeBooked, "booked", string(answer)
}

func (c *caller) exchange(entry int, path, key, body string) (int, []byte, error) {
	c.run.mu.Lock()
	address := c.run.entries[entry].Address
	c.run.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// Without GetBody the HTTP client can't resend the request, so that one call
	// is one request.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	request.Header.Set("Filbertusher-Timeout", callTimeout)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// ticket requests a ticket from a random entry. A ticket is an idempotency key that
// the product has issued.
func (c *caller) ticket() (string, bool) {
	_, answer, err := c.exchange(c.random.IntN(c.run.options.Entries), "/v1/tickets", "", `{"service":"orders"}`)
	var issued struct{ Ticket string }
	if err != nil || json.Unmarshal(answer, &issued) != nil || issued.Ticket == "" {
		time.Sleep(retryPause)
		return "", false
	}
	return issued.Ticket, true
}

// retryPause is the pause after a failed request for a ticket.
const retryPause = 50 * time.Millisecond
