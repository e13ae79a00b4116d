package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["reused-id"] = reusedID }

const (
	uploadBytes = 2_900_000 // 45 s at uploadRate
	uploadRate  = 64_000    // bytes a second
	perSecond   = 310       // requests of the usual clients
	badAfter    = 36 * time.Second
)

// reusedID: a client sends a long body, as slowly as the pages allow, and meanwhile the usual
// clients send their requests. Then a bad client sends the id of that open request.
func reusedID(p *play) error {
	var mu sync.Mutex
	runs := map[string][]string{} // of unsafe requests, by id
	serve := func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte) {
		if r.Method == "POST" {
			mu.Lock()
			runs[r.Header.Get("Req-Id")] = append(runs[r.Header.Get("Req-Id")], fmt.Sprintf("%d bytes at %s", len(body), e.ID))
			mu.Unlock()
			p.note("endpoint %s runs %s %s with %d bytes", e.ID, r.Method, r.Header.Get("Req-Id"), len(body))
		}
		io.WriteString(w, answerFor(e, r))
	}
	var entries []entry
	for i := range 3 {
		e, err := newEndpoint(fmt.Sprintf("m-%d", i), "hall", i, serve)
		if err != nil {
			return err
		}
		entries = append(entries, e.entry)
	}
	d, err := newDiscovery(5, entries)
	if err != nil {
		return err
	}
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	c := &config{Name: "n0", Listen: addr, Discovery: d.addr, Seed: "8d1f", Limits: machine, Known: d.whole(), Settings: settings(
		map[string]any{"name": "tile", "effect": "read_like", "key_scope": "all", "dedup_window_ms": 5000.0, "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.5, "worth": 1.0, "stream": false},
		map[string]any{"name": "track", "effect": "non_idempotent", "key_scope": "all", "dedup_window_ms": 5000.0, "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.5, "worth": 3.0, "stream": false},
	)}
	path, err := p.writeConfig(c.Name, c)
	if err != nil {
		return err
	}
	if _, err := p.startSidecar(c, path); err != nil {
		return err
	}
	defer p.copyLog(c.Name, 4000)

	id := newID()
	uploaded := make(chan answer, 1)
	begun := time.Now()
	p.note("a client begins POST %s with %d bytes at %d bytes a second", id, uploadBytes, uploadRate)
	go func() { uploaded <- upload(addr, id) }()

	stop := make(chan struct{})
	var usual sync.WaitGroup
	var served, other atomic.Int64
	const clients = 31
	for range clients {
		usual.Go(func() {
			tick := time.NewTicker(time.Second * clients / perSecond)
			defer tick.Stop()
			var c *conn
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				r := &request{method: "GET", class: "tile", id: newID(), user: "u1", deadline: 1200 * time.Millisecond}
				var a answer
				if c, a = ask(c, addr, r); a.status == 200 && strings.HasPrefix(a.body, r.id) {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	// For comparison: the same at once is turned away.
	time.Sleep(2 * time.Second)
	bad := &request{method: "POST", class: "track", id: id, user: "u9", deadline: 1200 * time.Millisecond, body: "another client's body"}
	if p.trouble {
		_, a := ask(nil, addr, bad)
		p.note("a bad client sends POST %s after %.1f s: %v", id, time.Since(begun).Seconds(), a)
		if a.status == 200 {
			p.breaks("a bad client was served with the id of another client's open request, at once")
		}
	}
	time.Sleep(badAfter - time.Since(begun))
	if p.trouble {
		select {
		case a := <-uploaded:
			return fmt.Errorf("the long request ended early: %v", a)
		default:
		}
		_, a := ask(nil, addr, bad)
		p.note("a bad client sends POST %s after %.1f s, behind %d requests of the usual clients: %v", id, time.Since(begun).Seconds(), served.Load()+other.Load(), a)
		if a.status == 200 {
			p.breaks("a bad client was served with the id of another client's open request: %v", a)
		}
	}
	a := <-uploaded
	p.note("the long request is answered after %.1f s: %v", time.Since(begun).Seconds(), a)
	close(stop)
	usual.Wait()
	p.note("the usual clients: %d served, %d not", served.Load(), other.Load())
	if served.Load() < 9*other.Load() {
		return fmt.Errorf("%d of the usual requests were served, %d not", served.Load(), other.Load())
	}
	mu.Lock()
	defer mu.Unlock()
	if len(runs[id]) > 1 {
		p.breaks("POST %s of a class that is unsafe to repeat ran %d times: %s", id, len(runs[id]), strings.Join(runs[id], ", "))
	}
	if !p.trouble && a.status != 200 {
		p.breaks("the long request was not served: %v", a)
	}
	return nil
}

// upload sends a long body slowly.
func upload(addr, id string) answer {
	c, err := dial(addr)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	r := &request{method: "POST", class: "track", id: id, user: "u2", deadline: 1200 * time.Millisecond, length: uploadBytes}
	if _, err := io.WriteString(c, r.head()); err != nil {
		return answer{err: err}
	}
	piece := make([]byte, uploadRate/20)
	begun := time.Now()
	for sent := 0; sent < uploadBytes; {
		n := min(len(piece), uploadBytes-sent)
		if _, err := c.Write(piece[:n]); err != nil {
			a, _ := c.receive(time.Second, "POST")
			return a
		}
		sent += n
		time.Sleep(time.Until(begun.Add(time.Duration(sent) * time.Second / uploadRate)))
	}
	a, _ := c.receive(r.deadline+600*time.Millisecond, "POST")
	return a
}
