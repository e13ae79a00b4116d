package http1

import (
	"sync"

	"spokegw/internal/core"
)

// mostIdle bounds the goroutines that wait for requests to serve.
const mostIdle = 32

// workers serve requests, each on a goroutine of its own for as long as it lasts. One that
// is done waits for the next, where not too many do: its stack has grown to what a request
// needs by then, which for a new one is copied twice.
type workers struct {
	mu     sync.Mutex
	idle   []chan job // the latest used last
	closed bool
}

// job is a request to be served.
type job struct {
	p    *plain
	x    *core.Exchange
	held []byte // its body
	last bool   // its connection ends with it
}

// serve has a job done.
func (w *workers) serve(j job) {
	w.mu.Lock()
	var c chan job
	if n := len(w.idle) - 1; n >= 0 {
		c, w.idle = w.idle[n], w.idle[:n]
	}
	w.mu.Unlock()
	if c == nil {
		c = make(chan job, 1)
		go w.work(c)
	}
	c <- j
}

func (w *workers) work(c chan job) {
	for j := range c {
		j.p.serveOne(j.x, j.held, j.last)
		if !w.rest(c) {
			return
		}
	}
}

// rest has a goroutine wait for more; it reports false where enough do.
func (w *workers) rest(c chan job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= mostIdle {
		return false
	}
	w.idle = append(w.idle, c)
	return true
}

// close ends those that wait, and the others once they are done.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, c := range w.idle {
		close(c)
	}
	w.idle = nil
}
