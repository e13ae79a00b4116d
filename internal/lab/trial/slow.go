package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"spokegw/internal/discovery"
)

// slowFaults are played besides where there are clients that ask for slow answers.
var slowFaults = []fault{
	{"a crowd of slow clients", 2, (*play).slowCrowd},
	{"a process at the address of another", 3, (*play).replaceAtAddress},
}

const (
	slowCrowdSize   = 120
	slowCrowdFields = 1000
	// leftAfterAtMost is how long the list goes on naming an endpoint that another has replaced at its address.
	leftAfterAtMost = 1500 * time.Millisecond
)

// slowCrowd has many clients of one sidecar write slowly, stop half way, or send heads of very many fields.
func (p *play) slowCrowd(ctx context.Context, rng *rand.Rand) {
	s := p.sidecars[rng.IntN(len(p.sidecars))]
	s.crowds.Add(1)
	defer s.crowds.Add(-1)
	over, stop := context.WithTimeout(ctx, span(rng, time.Second, 4*time.Second))
	defer stop()
	var fields strings.Builder
	for i := range slowCrowdFields {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	texts := []string{
		"POST /order HTTP/1.1\r\nHost: b\r\nReq-Deadline: 800m\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("x", 250_000),
		"POST /order HTTP/1.1\r\nHost: b\r\nReq-Deadline: 800m\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + strings.Repeat("x", 0x8000),
		"GET /map-tile HTTP/1.1\r\nHost: b\r\nReq-Deadline: 800m\r\n" + fields.String() + "\r\n",
		"GET /map-tile HTTP/1.1\r\nHost: b\r\nReq-De",
	}
	for i := range slowCrowdSize {
		c, err := net.DialTimeout("tcp", s.listen, 200*time.Millisecond)
		if err != nil {
			continue
		}
		context.AfterFunc(over, func() { c.Close() })
		go io.WriteString(c, texts[i%len(texts)]) // it ends with the connection
	}
	<-over.Done()
	wait(ctx, 500*time.Millisecond)
}

func left(e discovery.Entry) discovery.Entry {
	e.State = "left"
	return e
}

// replaceAtAddress has an endpoint's process end and another one come up at its address, under an id of its own. The
// list may go on naming the old one for some time.
func (p *play) replaceAtAddress(ctx context.Context, rng *rand.Rand) {
	p.mu.Lock()
	old := p.endpoints[rng.IntN(len(p.endpoints))]
	entry := p.entries[old.name]
	if entry.State != "active" || len(p.endpoints) > 4*p.Config.Endpoints || p.Cold != nil {
		p.mu.Unlock()
		return
	}
	next := &endpoint{name: fmt.Sprint("s-", len(p.endpoints)), cell: old.cell, note: old.note, noteAnswer: old.noteAnswer, work: old.work, turns: old.turns, proxy: old.proxy, troubles: old.troubles, stop: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.mu.Unlock()
		return
	}
	next.server = &http.Server{Handler: next}
	go next.server.Serve(l) // it ends with close
	p.endpoints = append(p.endpoints, next)
	p.entries[old.name] = left(entry)
	replaced := entry
	replaced.ID = next.name
	p.entries[next.name] = replaced
	p.mu.Unlock()
	p.note("%s comes up at the address of %s", next.name, old.name)
	old.troubles.begin()
	old.proxy.Move(l.Addr().String())
	old.server.Close()
	old.troubles.end()
	p.shared.set(replaced)
	wait(ctx, span(rng, 0, leftAfterAtMost))
	p.judge.drains(old.name, "left")
	p.shared.set(left(entry))
}
