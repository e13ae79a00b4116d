package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load is a team's traffic: requests at random, whether or not the earlier ones
// have been answered.
type Load struct {
	Team    string
	Method  string // GET where empty
	Path    string
	Kind    string
	Rate    func(since time.Duration) float64 // requests a second; read ten times a second at least
	Cost    time.Duration                     // hinted; 0: none
	Wanted  time.Duration                     // an answer up to here is in time
	Give    time.Duration                     // the client gives up after this
	Wait    time.Duration                     // and still looks so long whether an answer comes; 0: 50 ms
	Keyed   bool
	Headers http.Header // more of them, or others
	Idle    int         // connections that may rest; 0: 64
	// Again tells of a keyed request, by its id and when it was sent, whose resting connection ended with
	// no answer, whether its gateway had not read it: then it is sent once more. nil: none is.
	Again  func(id string, sent time.Time) bool
	Traced bool // results tell of the sends

	mu    sync.Mutex
	stats []Result // the latest, keepResults at most and half of it at least
}

// keepResults bounds what a load remembers.
const keepResults = 1 << 19

// Ending is how a request ended.
type Ending int

// The endings. Unsent: too many were open. Unconnected: nobody took the connection that it
// was to go by. Broken: the connection ended before the answer was whole. TimedOut: the client
// gave up.
const (
	Answered Ending = iota
	Unsent
	Unconnected
	Broken
	TimedOut
	Spoilt // whatever came was no answer
)

func (e Ending) String() string {
	return [...]string{"answered", "not sent", "not connected", "broken", "timed out", "spoilt"}[e]
}

// Connection is one that a client has made to a sidecar.
type Connection struct {
	Begun time.Time // when the client began to connect
	Made  time.Time // when it was connected
}

// Send is one time that a request was given to a connection.
type Send struct {
	Connection
	At time.Time
}

// Result is what became of one request.
type Result struct {
	ID      string
	At      time.Time // when it was sent
	Took    time.Duration
	Status  int // 0: no answer
	Ending  Ending
	RetryIn string
	Cost    time.Duration
	// Sends are those that got a connection, where the load is traced. There is more than one where a kept connection ended with
	// no answer: the client library sends a request without a key again by itself, and Again may have a keyed one be sent again.
	Sends []Send
}

// End is when the client had the answer, or knew that there was none.
func (r *Result) End() time.Time { return r.At.Add(r.Took) }

// Refused reports whether the request was turned away with the promise that a
// retry is harmless.
func (r Result) Refused() bool { return r.Status == 429 || r.Status == 503 }

// usualWait is how long after its time a client still looks for an answer.
const usualWait = 50 * time.Millisecond

// maxOpen bounds the requests of a load that are open at once; beyond it none
// are sent, and those are told as without an answer.
const maxOpen = 4096

var lastID atomic.Uint64

// Run sends the load to the sidecar at addr until ctx ends, then waits for what
// is open.
func (l *Load) Run(ctx context.Context, addr string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(l.Team))))
	client := l.client()
	defer client.CloseIdleConnections()
	start := time.Now()
	var open sync.WaitGroup
	defer open.Wait()
	places := make(chan struct{}, maxOpen)
	due := start
	for {
		rate := l.Rate(time.Since(start))
		gap := 100 * time.Millisecond
		if rate > 0 {
			gap = time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		}
		if due = due.Add(gap); !sleepUntil(ctx, due) {
			return
		}
		if rate <= 0 {
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			l.add(Result{At: time.Now(), Ending: Unsent, Cost: l.Cost})
			continue
		}
		open.Add(1)
		go func() {
			defer open.Done()
			l.add(l.ask(client, addr))
			<-places
		}()
	}
}

// rests is how long a client's connection rests: gateways end theirs later, so that a request
// hardly ever crosses that.
const rests = 3 * time.Second

// client is that by which the load is sent.
func (l *Load) client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cmp.Or(l.Idle, 64), MaxConnsPerHost: 0, IdleConnTimeout: rests, DisableCompression: true, DialContext: dial}}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Load) add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.stats) >= keepResults {
		l.stats = append(l.stats[:0], l.stats[keepResults/2:]...)
	}
	l.stats = append(l.stats, r)
}

// Request makes a request of the load, as it is sent.
func (l *Load) Request(ctx context.Context, addr string) *http.Request {
	id := fmt.Sprintf("%016x", lastID.Add(1)+uint64(time.Now().UnixNano())<<16)
	method := l.Method
	if method == "" {
		method = http.MethodGet
	}
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("{}")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+l.Path, body)
	if err != nil {
		panic(err) // a mistake in the caller's scene
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Kind", l.Kind)
	r.Header.Set("Req-Owner", l.Team)
	r.Header.Set("Req-Deadline", fmt.Sprintf("%dm", l.Give.Milliseconds()))
	if l.Cost > 0 {
		r.Header.Set("Req-Cost", fmt.Sprint(l.Cost.Microseconds()))
	}
	if l.Keyed {
		// Spelt otherwise net/http's client would take the request for one that it may send
		// again by itself, when its connection ends with no answer: by a process that was killed
		// with it, and by the next.
		r.Header["idempotency-key"] = []string{id}
	}
	for name, values := range l.Headers {
		r.Header[name] = values
	}
	return r
}

func (l *Load) ask(client *http.Client, addr string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), l.Give+cmp.Or(l.Wait, usualWait))
	defer cancel()
	req := l.Request(ctx, addr)
	r := Result{ID: req.Header.Get("Req-Id"), At: time.Now(), Cost: l.Cost}
	var sends sends
	if l.Traced || l.Again != nil {
		req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sends.got}))
	}
	begun := r.At
	resp, err := client.Do(req)
	// There may be several resting connections, which a gateway that ends closes all at once.
	for tries := 1; err != nil && ctx.Err() == nil && l.Keyed && l.Again != nil && sends.byResting(tries, begun) && l.Again(r.ID, r.At); tries++ {
		req.Body, _ = req.GetBody()
		begun = time.Now()
		resp, err = client.Do(req)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		r.RetryIn = resp.Header.Get("Retry-After")
	}
	r.Took = time.Since(r.At)
	r.Ending, r.Sends = EndingOf(err), sends.taken()
	if err == nil {
		r.Status = resp.StatusCode
	}
	return r
}

// Summary is what became of a team's requests in a span of time.
type Summary struct {
	Team                                string
	Asked, InTime, Late, Refused, Other int
	P50, P99                            time.Duration // of what was served
	RefusedP50                          time.Duration
	Work                                time.Duration // of what was served, as hinted
}

// Between sums up the requests sent from one time on and before another.
func (l *Load) Between(from, to time.Time) Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{Team: l.Team}
	var served, refused []time.Duration
	for _, r := range l.stats {
		if r.At.Before(from) || !r.At.Before(to) {
			continue
		}
		s.Asked++
		switch {
		case r.Status == 200:
			if r.Took <= l.Wanted {
				s.InTime++
			} else {
				s.Late++
			}
			served = append(served, r.Took)
			s.Work += r.Cost
		case r.Refused():
			s.Refused++
			refused = append(refused, r.Took)
		default:
			s.Other++
		}
	}
	s.P50, s.P99, s.RefusedP50 = quantile(served, 0.5), quantile(served, 0.99), quantile(refused, 0.5)
	return s
}

// Results are all of them, in the order in which they ended.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.stats)
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}
