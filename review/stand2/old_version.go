package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["old-version"] = oldVersion }

// oldVersion: a bad client sends requests of version 1.0 with a Transfer-Encoding, which that
// version doesn't have: their end can't be told. One has a chunked body, one hides another
// request behind its head. Beside it the usual clients send theirs.
func oldVersion(p *play) error {
	var mu sync.Mutex
	got := map[string][]string{} // bodies by id
	serve := func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte) {
		mu.Lock()
		id := r.Header.Get("Req-Id")
		got[id] = append(got[id], string(body))
		mu.Unlock()
		if r.Method == "POST" {
			p.note("endpoint %s runs POST %s with the body %q", e.ID, id, body)
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

	stop := make(chan struct{})
	var usual sync.WaitGroup
	wrong := 0
	for range 5 {
		usual.Go(func() {
			var c *conn
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				r := &request{method: "GET", class: "tile", id: newID(), user: "u1", deadline: 1200 * time.Millisecond}
				if n%2 == 0 {
					r = &request{method: "POST", class: "track", id: newID(), user: "u1", deadline: 1200 * time.Millisecond, body: "lift 3 open"}
				}
				var a answer
				if c, a = ask(c, addr, r); a.status != 200 || !strings.HasPrefix(a.body, r.id) {
					p.note("a usual client's %s %s: %v", r.method, r.id, a)
					mu.Lock()
					wrong++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := 0; n < 20 && p.trouble; n++ {
		first, hidden := newID(), newID()
		head := fmt.Sprintf("POST /track?user=u9 HTTP/1.0\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: track\r\nReq-Owner: north\r\nReq-Deadline: 1200m\r\nTransfer-Encoding: chunked\r\n", first)
		text, what := head+"\r\nb\r\nlift 4 open\r\n0\r\n\r\n", "a chunked body"
		if n%2 == 1 {
			inner := request{method: "POST", class: "track", id: hidden, user: "u9", deadline: 1200 * time.Millisecond, body: "hidden"}
			text, what = head+"Connection: keep-alive\r\n\r\n"+inner.head()+inner.body, "POST "+hidden+" where its body should stand"
		}
		statuses, err := exchange(addr, text)
		if err != nil {
			return err
		}
		p.note("a bad client sends POST %s in version 1.0 with Transfer-Encoding and %s: answered %v", first, what, statuses)
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		if bodies := got[first]; len(bodies) > 0 && (n%2 == 1 || bodies[0] != "lift 4 open") { // whole and unchanged it may go on
			p.breaks("an endpoint ran POST %s with the body %q, which nobody sent in this form", first, bodies)
			if len(statuses) > 0 && statuses[0] == "200" {
				p.breaks("a bad client was served with an answer: POST %s, version 1.0 with Transfer-Encoding", first)
			}
		}
		if bodies := got[hidden]; len(bodies) > 0 {
			p.breaks("an endpoint ran POST %s, which was hidden in the body of another request", hidden)
		}
		mu.Unlock()
	}
	if !p.trouble {
		time.Sleep(4 * time.Second)
	}
	close(stop)
	usual.Wait()
	if wrong > 0 {
		return fmt.Errorf("%d requests of the usual clients were not served", wrong)
	}
	return nil
}

// exchange sends a text at once, and returns the status of each answer that comes within 3 s.
func exchange(addr, text string) (statuses []string, err error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(time.Second))
	all, _ := io.ReadAll(c.r)
	for _, part := range strings.Split(string(all), "HTTP/1.")[1:] {
		if len(part) >= 5 {
			statuses = append(statuses, part[2:5])
		}
	}
	return statuses, nil
}
