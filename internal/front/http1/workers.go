package http1

import (
	"sync"

	"spokegw/internal/core"
)

// maxIdleWorkers limits the goroutines that wait for requests.
const maxIdleWorkers = 32

// workers serve requests, each on one goroutine for as long as it lasts. A goroutine
// that is done waits for the next request, unless too many do: its stack has grown to
// what a request needs, which a new goroutine would copy twice.
type workers struct {
	mu     sync.Mutex
	idle   []chan job // the last one was used last
	closed bool
}

// job is a request to be served.
type job struct {
	p    *plain
	x    *core.Exchange
	body []byte // of the request
	last bool   // the connection closes after it
}

// serve hands a job to a goroutine.
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
		j.p.answer(j.x, j.body, j.last)
		if !w.park(c) {
			return
		}
	}
}

// park makes a goroutine wait for more; it reports false if enough do already.
func (w *workers) park(c chan job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, c)
	return true
}

// close ends the waiting goroutines, and the others once they are done.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, c := range w.idle {
		close(c)
	}
	w.idle = nil
}
