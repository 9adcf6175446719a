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
	// maxAttempts is how often a caller sends one key.
	maxAttempts = 4
	// callTimeout is the timeout that callers give a request, in seconds.
	callTimeout = "6"
	// callGrace is how long after it a caller hangs up.
	callGrace = 14 * time.Second
)

// caller sends one order after the other.
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
		client: &http.Client{Timeout: callGrace},
	}
}

// work sends orders until ctx ends. An order that was begun is finished.
func (c *caller) work(ctx context.Context) {
	for ctx.Err() == nil {
		c.sent++
		key := fmt.Sprintf("s%d-c%d-%d", c.run.options.Seed, c.number, c.sent)
		ticketed := c.random.IntN(10) == 0
		if ticketed {
			ticket, ok := c.ticket()
			if !ok {
				continue
			}
			key = ticket
		}
		c.order(ctx, key, ticketed)
	}
}

// order sends a key until its caller is content: with an answer, sometimes
// with less.
func (c *caller) order(ctx context.Context, key string, ticketed bool) {
	body := "order of " + key
	for attempt := range maxAttempts {
		if attempt > 0 && ctx.Err() != nil {
			return
		}
		got := c.send(key, body, ticketed)
		switch {
		case got == toldBooked && c.random.IntN(20) == 0:
			c.conflict(key)
		case got == toldBooked && c.random.IntN(10) > 0, got == toldNotRun && c.random.IntN(2) == 0:
			return
		}
	}
}

// send sends a key through one entry, or through two at once.
func (c *caller) send(key, body string, ticketed bool) told {
	first := c.random.IntN(c.run.options.Entries)
	if c.random.IntN(8) > 0 {
		return c.call(first, key, body, ticketed)
	}
	second := c.random.IntN(c.run.options.Entries)
	var group sync.WaitGroup
	group.Go(func() { c.call(second, key, body, ticketed) })
	got := c.call(first, key, body, ticketed)
	group.Wait()
	return got
}

// conflict sends another order with the same key, which must never run.
func (c *caller) conflict(key string) {
	body := "another order with " + key
	status, answer, err := c.exchange(c.random.IntN(c.run.options.Entries), "/v1/services/orders/orders", key, body)
	if err == nil && status < http.StatusBadRequest {
		c.run.traces.violate("key %s was answered to another order: %s", key, answer)
	}
}

// call sends one request and notes what came of it.
func (c *caller) call(entry int, key, body string, ticketed bool) told {
	o := operation{key: key, call: int64(time.Since(c.run.started)), ticketed: ticketed}
	status, answer, err := c.exchange(entry, "/v1/services/orders/orders", key, body)
	o.end = int64(time.Since(c.run.started))
	o.told, o.verdict = toldUnknown, "connection lost"
	if err == nil {
		c.read(&o, status, answer, body)
	}
	c.run.traces.add(o)
	return o.told
}

func (c *caller) read(o *operation, status int, answer []byte, body string) {
	if status >= http.StatusBadRequest {
		var parsed struct{ Error *usher.Refusal }
		if json.Unmarshal(answer, &parsed) != nil || parsed.Error == nil {
			c.run.traces.violate("key %s got a damaged refusal: %s", o.key, answer)
			return
		}
		o.told = conclude(parsed.Error)
		o.verdict = strconv.Itoa(status) + " " + string(parsed.Error.Kind) + ", " + string(parsed.Error.Outcome)
		if parsed.Error.Attempt != "" {
			o.verdict += ", attempt " + string(parsed.Error.Attempt)
		}
		if o.ticketed {
			o.verdict += " (ticket)"
		}
		return
	}
	var booking struct{ Key, Order string }
	if json.Unmarshal(answer, &booking) != nil || booking.Key != o.key || booking.Order != body {
		c.run.traces.violate("key %s got a part or another's answer: %s", o.key, answer)
	}
	o.told, o.verdict, o.body = toldBooked, "booked", string(answer)
}

func (c *caller) exchange(entry int, path, key, body string) (int, []byte, error) {
	c.run.mu.Lock()
	address := c.run.entries[entry].Address
	c.run.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// The body can't be sent again by the library, so one call is one request.
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

// ticket asks any entry for a ticket.
func (c *caller) ticket() (string, bool) {
	_, answer, err := c.exchange(c.random.IntN(c.run.options.Entries), "/v1/tickets", "", `{"service":"orders"}`)
	var issued struct{ Ticket string }
	if err != nil || json.Unmarshal(answer, &issued) != nil || issued.Ticket == "" {
		time.Sleep(retryPause)
		return "", false
	}
	return issued.Ticket, true
}

// retryPause is the pause after an entry issued no ticket.
const retryPause = 50 * time.Millisecond
