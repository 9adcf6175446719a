// Package platform speaks the platform's object API over HTTP and implements
// usher.Store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// callTimeout bounds every call that is not a watch.
	callTimeout = 2 * time.Second
	// maxReply bounds what is read of one reply, in bytes.
	maxReply = 256 << 20
)

// StatusError is the cause of a failure for which the store gave a status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) + ": " + e.Body }

// Client is a usher.Store over HTTP. It does not retry: whether a call may be
// repeated, and when, is decided by those who know what it means.
type Client struct {
	base string
	http *http.Client
}

var (
	_ usher.Store     = (*Client)(nil)
	_ usher.Instances = (*Client)(nil)
)

// New returns a client of the store at address, an IP address and port.
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Get implements usher.Store.
func (c *Client) Get(ctx context.Context, key usher.ObjectKey) (usher.Object, error) {
	var object usher.Object
	err := c.read(ctx, callTimeout, key, "/objects/"+escapeKey(key), &object)
	return object, err
}

// listReply is the reply to a list or a watch.
type listReply struct {
	Revision usher.Version  `json:"revision"`
	Objects  []usher.Object `json:"objects"`
	Events   []usher.Event  `json:"events"`
}

// List implements usher.Store.
func (c *Client) List(ctx context.Context, prefix usher.ObjectKey) ([]usher.Object, usher.Version, error) {
	var reply listReply
	err := c.read(ctx, callTimeout, prefix, "/objects?prefix="+url.QueryEscape(string(prefix)), &reply)
	return reply.Objects, reply.Revision, err
}

// Watch implements usher.Store.
func (c *Client) Watch(ctx context.Context, prefix usher.ObjectKey, since usher.Version, wait time.Duration) ([]usher.Event, usher.Version, error) {
	query := "?prefix=" + url.QueryEscape(string(prefix)) +
		"&since=" + strconv.FormatUint(uint64(since), 10) +
		"&wait=" + url.QueryEscape(wait.String())
	var reply listReply
	err := c.read(ctx, wait+callTimeout, prefix, "/watch"+query, &reply)
	return reply.Events, reply.Revision, err
}

// Instances implements usher.Instances.
func (c *Client) Instances(ctx context.Context) ([]usher.Instance, error) {
	var instances []usher.Instance
	err := c.read(ctx, callTimeout, "instances", "/instances", &instances)
	return instances, err
}

// Put implements usher.Store.
func (c *Client) Put(ctx context.Context, key usher.ObjectKey, expected usher.Version, value []byte) (usher.Version, error) {
	return c.write(ctx, http.MethodPut, key, expected, value)
}

// Delete implements usher.Store.
func (c *Client) Delete(ctx context.Context, key usher.ObjectKey, expected usher.Version) error {
	_, err := c.write(ctx, http.MethodDelete, key, expected, nil)
	return err
}

func (c *Client) read(ctx context.Context, timeout time.Duration, key usher.ObjectKey, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return &usher.UnavailableError{Operation: "get " + string(key), Cause: err}
	}
	status, body, err := c.do(request)
	switch {
	case err != nil:
	case status == http.StatusOK:
		err = json.Unmarshal(body, into)
	case status == http.StatusNotFound:
		return &usher.NotFoundError{Key: key}
	case status == http.StatusGone:
		return &usher.HistoryLostError{Prefix: key}
	default:
		err = &StatusError{Status: status, Body: string(body)}
	}
	if err != nil {
		return &usher.UnavailableError{Operation: "get " + string(key), Cause: err}
	}
	return nil
}

// writeReply is the reply to a write: the new version, or on a conflict the
// one that the object is at.
type writeReply struct {
	Version usher.Version `json:"version"`
}

func (c *Client) write(ctx context.Context, method string, key usher.ObjectKey, expected usher.Version, value []byte) (usher.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+"/objects/"+escapeKey(key), bytes.NewReader(value))
	if err != nil {
		return 0, &usher.UnavailableError{Operation: method + " " + string(key), Cause: err}
	}
	setCondition(request.Header, expected)
	status, body, err := c.do(request)
	if err != nil {
		return 0, &usher.AmbiguousError{Key: key, Cause: err}
	}
	return writeOutcome(key, expected, status, body)
}

func setCondition(header http.Header, expected usher.Version) {
	if expected == 0 {
		header.Set("If-None-Match", "*")
		return
	}
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(expected), 10)))
}

func writeOutcome(key usher.ObjectKey, expected usher.Version, status int, body []byte) (usher.Version, error) {
	var reply writeReply
	switch status {
	case http.StatusOK, http.StatusPreconditionFailed:
		if err := json.Unmarshal(body, &reply); err != nil {
			return 0, &usher.AmbiguousError{Key: key, Cause: err}
		}
	case http.StatusNotFound:
		return 0, &usher.NotFoundError{Key: key}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		// The API promises that these statuses are given before any effect.
		return 0, &usher.UnavailableError{Operation: "write " + string(key), Cause: &StatusError{Status: status, Body: string(body)}}
	default:
		return 0, &usher.AmbiguousError{Key: key, Cause: &StatusError{Status: status, Body: string(body)}}
	}
	if status == http.StatusPreconditionFailed {
		return 0, &usher.ConflictError{Key: key, Expected: expected, Current: reply.Version}
	}
	return reply.Version, nil
}

func (c *Client) do(request *http.Request) (int, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	return response.StatusCode, body, err
}

// escapeKey escapes each segment of a key and keeps the slashes between them.
func escapeKey(key usher.ObjectKey) string {
	segments := strings.Split(string(key), "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}
