// Package discovery gets the endpoints from the registry: the whole list, or a
// watch on changes.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// Entry is an endpoint as listed by the registry.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // "active", "leaving" or, among changes, "left"
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time; 0: long ago
	Labels    Labels  `json:"labels,omitempty"`
}

// Labels are additional properties of an endpoint from an installation's own registry.
type Labels map[string]string

const (
	maxLabels     = 16
	maxLabelBytes = 128
)

// UnmarshalJSON reads labels. Invalid, surplus or too long ones are dropped, as the
// list matters more.
func (l *Labels) UnmarshalJSON(text []byte) error {
	var raw map[string]any
	if json.Unmarshal(text, &raw) != nil {
		return nil // valid JSON, but not an object
	}
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		value, ok := raw[name].(string)
		if !ok || len(name)+len(value) > maxLabelBytes || len(*l) >= maxLabels {
			continue
		}
		if *l == nil {
			*l = Labels{}
		}
		(*l)[name] = value
	}
	return nil
}

// List is an answer of the registry: the whole list, or only changes.
type List struct {
	Version int64
	Full    bool
	Servers []Entry
}

const (
	// Limits on the memory that a faulty registry can make us use, of 32 MB in all.
	maxAnswerBytes    = 2 << 20
	maxHeadBytes      = 16 << 10
	maxEntries        = 1 << 12
	answerIdleTimeout = time.Second            // timeout for an answer that pauses
	entryFlushDelay   = 100 * time.Millisecond // delay after which whole entries are reported before the remaining list
)

// Decode reads a list. On an error it returns the entries before the error.
func Decode(r io.Reader) (List, error) {
	var list List
	err := decode(r, &list, func(e Entry) { list.Servers = append(list.Servers, e) })
	return list, err
}

// decode reads a list and emits each entry as soon as it is complete: an answer may
// be truncated at any byte, and the entries before that are valid.
func decode(r io.Reader, list *List, emit func(Entry)) error {
	dec := json.NewDecoder(r)
	if err := expect(dec, '{'); err != nil {
		return err
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return err
		}
		switch name {
		case "version":
			err = dec.Decode(&list.Version)
		case "full":
			err = dec.Decode(&list.Full)
		case "servers":
			err = decodeEntries(dec, emit)
		default:
			var skipped json.RawMessage
			err = dec.Decode(&skipped)
		}
		if err != nil {
			return fmt.Errorf("list: %v: %w", name, err)
		}
	}
	return expect(dec, '}')
}

func decodeEntries(dec *json.Decoder, emit func(Entry)) error {
	if err := expect(dec, '['); err != nil {
		return err
	}
	for n := 0; dec.More(); n++ {
		var e Entry
		if err := dec.Decode(&e); err != nil {
			return err
		}
		if n == maxEntries {
			return fmt.Errorf("more than %d entries", maxEntries)
		}
		if e.ID != "" {
			emit(e)
		}
	}
	return expect(dec, ']')
}

func expect(dec *json.Decoder, want json.Delim) error {
	got, err := dec.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err == nil && got != want {
		return fmt.Errorf("found %v, expected %v", got, want)
	}
	return err
}

// Client calls the registry.
type Client struct {
	http http.Client
	base string
}

// NewClient makes a client for the registry at addr. It holds at most
// maxCalls connections.
func NewClient(addr string) *Client {
	return &Client{
		base: "http://" + addr + "/registry/instances",
		http: http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxConnsPerHost: maxCalls,

			MaxResponseHeaderBytes: maxHeadBytes,
			DisableCompression:     true,
		}},
	}
}

// CloseIdle closes the connection kept for the next call. After a failure a new
// connection is needed: the old one may be dead.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// request is a call and its callbacks.
type request struct {
	full                bool          // ask for the whole list, regardless of since
	since               int64         // ask for what is newer than this version
	wait, answerTimeout time.Duration // long-poll time for something newer, and time for the answer to begin after that
	abandonAfter        time.Duration // silence after which an overdue call is abandoned
	onOverdue           func()        // called when the answer is overdue, maybe more than once
	onEntries           func([]Entry) // gets the entries of a slow answer; the returned list contains them again
}

func (r *request) url(base string) string {
	if r.full {
		return base
	}
	query := url.Values{"since": {strconv.FormatInt(r.since, 10)}, "timeout_ms": {strconv.FormatInt(r.wait.Milliseconds(), 10)}}
	return base + "?" + query.Encode()
}

// call asks for the list, or for what is newer. On an error the list holds the entries
// before the error.
func (c *Client) call(ctx context.Context, r request) (List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	overdueTimer := newIdleTimer(r.wait+r.answerTimeout, r.onOverdue)
	defer overdueTimer.stop()
	abandonTimer := newIdleTimer(r.wait+r.answerTimeout+r.abandonAfter, func() { cancel(errTimeout) })
	defer abandonTimer.stop()
	extend := func() {
		overdueTimer.extend(answerIdleTimeout)
		abandonTimer.extend(answerIdleTimeout + r.abandonAfter)
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url(c.base), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, preferCause(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("%w: %d", errStatus, resp.StatusCode)
	}
	extend()
	list, err := collect(progressReader{io.LimitReader(resp.Body, maxAnswerBytes), extend}, r.onEntries)
	return list, preferCause(ctx, err)
}

// collect reads an answer to its end, so that its connection can be reused. Entries are
// passed to onEntries once the first of them has waited for entryFlushDelay: they count as
// notified when they are written, however slowly the remaining list arrives. A delay
// from the latest entry would hold back a list that never pauses.
func collect(body io.Reader, onEntries func([]Entry)) (List, error) {
	var list List
	entries := make(chan Entry)
	done := make(chan error, 1)
	go func() { // ends with the body, which the caller closes or whose call times out
		err := decode(body, &list, func(e Entry) { entries <- e })
		if err == nil {
			_, err = io.Copy(io.Discard, body)
		}
		close(entries)
		done <- err
	}()
	var got []Entry
	reported := 0
	flush := time.NewTimer(entryFlushDelay)
	defer flush.Stop()
	for {
		select {
		case e, more := <-entries:
			if !more {
				err := <-done
				list.Servers = got
				return list, err
			}
			if reported == len(got) {
				flush.Reset(entryFlushDelay)
			}
			got = append(got, e)
		case <-flush.C:
			if reported < len(got) {
				onEntries(got[reported:])
				reported = len(got)
			}
		}
	}
}

// preferCause returns the cause of ctx's cancellation in place of the error it led to.
func preferCause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// progressReader calls onRead whenever it has read something.
type progressReader struct {
	io.Reader
	onRead func()
}

func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.onRead()
	}
	return n, err
}
