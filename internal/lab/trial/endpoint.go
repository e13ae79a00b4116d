package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/lab"
)

// arrival is one attempt as its endpoint met it.
type arrival struct {
	endpoint string
	cell     int
	id       string
	first    time.Time     // of its first byte
	told     time.Duration // Req-Deadline
	ran      bool
}

// mood is how an endpoint treats requests.
type mood int

const (
	moodGood mood = iota
	moodHangs
	moodFails
	moodResets
	moodDeclines
	moodSlow
	moodOftenHangs // one in hangsOneIn attempts
	moods
)

// endpoint is a stand-in that notes when the first byte of each request came. A proxy
// stands before it, at the address that is listed.
type endpoint struct {
	name   string
	cell   int
	server *http.Server
	proxy  *lab.Proxy
	note   func(arrival)
	// noteAnswer is told what came of a slow answer.
	noteAnswer func(id string, a writtenAnswer)
	troubles   *troubles // of its connections; shared with others at its address
	stop       chan struct{}
	turns      chan struct{}  // held by the requests that are worked on
	work       time.Duration  // of a request, once it is warm
	cold       *lab.ColdStart // nil: it is warm
	since      time.Time      // it started

	mu     sync.Mutex
	mood   mood
	bodies bodyTreatment
}

// troubles are what is done to connections.
type troubles struct {
	active  atomic.Int64
	changes atomic.Int64 // counts what has begun, and what is over
}

func (t *troubles) begin() {
	t.active.Add(1)
	t.changes.Add(1)
}

func (t *troubles) end() {
	t.active.Add(-1)
	t.changes.Add(1)
}

// inTrouble reports whether something is done to the endpoint or its connections now.
func (e *endpoint) inTrouble() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mood != moodGood || e.troubles.active.Load() > 0
}

// start has an endpoint serve as it is described.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("trial: endpoint: %w", err)
	}
	e.stop = make(chan struct{})
	e.server = &http.Server{Handler: e}
	if e.proxy, err = lab.StartProxy(l.Addr().String()); err != nil {
		l.Close()
		return err
	}
	go e.server.Serve(l) // it ends with close
	return nil
}

func (e *endpoint) close() {
	close(e.stop)
	e.proxy.Close()
	e.server.Close()
}

func (e *endpoint) treat(m mood) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mood = m
	e.troubles.changes.Add(1)
}

const (
	usualWork = 5 * time.Millisecond
	slowWork  = 250 * time.Millisecond
	// hangsOneIn is how many attempts there are for one that hangs at an endpoint that often does.
	hangsOneIn = 4
)

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch e.readBody(r) {
	case bodyAnswered:
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusInternalServerError)
		return
	case bodyBroken:
		panic(http.ErrAbortHandler)
	}
	first := e.proxy.Asked(r.RemoteAddr)
	if first.IsZero() { // its connection has ended meanwhile
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	mood := e.mood
	e.mu.Unlock()
	if mood == moodOftenHangs && rand.IntN(hangsOneIn) == 0 {
		mood = moodHangs
	}
	told, _ := time.ParseDuration(strings.Replace(strings.Replace(r.Header.Get("Req-Deadline"), "u", "us", 1), "m", "ms", 1))
	e.note(arrival{endpoint: e.name, cell: e.cell, id: r.Header.Get("Req-Id"), first: first, told: told, ran: mood != moodDeclines})
	work := e.work
	switch mood {
	case moodDeclines:
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case moodFails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case moodResets:
		panic(http.ErrAbortHandler)
	case moodHangs:
		select {
		case <-r.Context().Done():
		case <-e.stop:
		}
		panic(http.ErrAbortHandler)
	case moodSlow:
		work = time.Duration(rand.Int64N(int64(slowWork)))
	}
	if !e.does(r.Context(), work) {
		panic(http.ErrAbortHandler)
	}
	if plan, ok := parseAnswerPlan(r.URL.Query().Get("user")); ok {
		e.writeSlowAnswer(w, r.Header.Get("Req-Id"), plan)
		return
	}
	io.WriteString(w, answerTo(r.Header.Get("Req-Id")))
}

// does works on a request in its turn, and longer where the endpoint is cold. It reports false for
// one that was called off.
func (e *endpoint) does(ctx context.Context, work time.Duration) bool {
	select {
	case e.turns <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.turns }()
	if e.cold != nil {
		work = time.Duration(float64(work) / e.cold.Warmth(time.Since(e.since)))
	}
	select {
	case <-time.After(work):
		return true
	case <-ctx.Done():
		return false
	}
}

// answerTo is the one answer that belongs to a request.
func answerTo(id string) string { return "answer to " + id }
