package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["short-file"] = shortFile }

// cells are what endpoints of a cell share: the keys that they have seen in their window.
type cells struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time // by cell and key
	ran    map[string][]string  // by key: the endpoints that ran it
	one    bool                 // all endpoints share them, whatever their cell
}

// runs reports whether an endpoint runs a key: it discards one that its cell has seen.
func (c *cells) runs(e *endpoint, key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	place := fmt.Sprintf("%d/%s", e.Cell, key)
	if c.one {
		place = key
	}
	if at, known := c.seen[place]; known && time.Since(at) < c.window {
		return false
	}
	c.seen[place] = time.Now()
	c.ran[key] = append(c.ran[key], fmt.Sprintf("%s of cell %d", e.ID, e.Cell))
	return true
}

// shortFile: under load the configuration is replaced by one that is short of a key, and the
// sidecar gets SIGHUP. Some requests end with an error after they have run, before and after.
func shortFile(p *play) error {
	const window = 2 * time.Second
	shared := &cells{window: window, seen: map[string]time.Time{}, ran: map[string][]string{}}
	serve := func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte) {
		key := r.Header.Get("Idempotency-Key")
		if key == "" {
			io.WriteString(w, answerFor(e, r))
			return
		}
		ran := shared.runs(e, key)
		if ran && strings.HasSuffix(key, "e") { // it has run and fails to tell
			p.note("endpoint %s of cell %d runs key %s and answers 500", e.ID, e.Cell, key)
			http.Error(w, "failed after the work was done", http.StatusInternalServerError)
			return
		}
		if strings.HasSuffix(key, "e") {
			p.note("endpoint %s of cell %d drops the repeat of key %s", e.ID, e.Cell, key)
		}
		io.WriteString(w, answerFor(e, r))
	}
	var entries []entry
	for i := range 6 {
		e, err := newEndpoint(fmt.Sprintf("m-%d", i), "hall", i/2, serve)
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
	tile := map[string]any{"name": "tile", "effect": "read_like", "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.5, "worth": 1.0, "stream": false}
	report := map[string]any{"name": "report", "effect": "idempotency_key", "key_scope": "cell", "dedup_window_ms": float64(window.Milliseconds()), "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.3, "worth": 3.0, "stream": false}
	c := &config{Name: "n0", Listen: addr, Discovery: d.addr, Seed: "8d1f", Limits: machine, Known: d.whole(), Settings: settings(tile, report)}
	path, err := p.writeConfig(c.Name, c)
	if err != nil {
		return err
	}
	q, err := p.startSidecar(c, path)
	if err != nil {
		return err
	}
	defer p.copyLog(c.Name, 4000)

	if err := reports(p, addr, 3*time.Second, shared, true); err != nil {
		return err
	}
	if n := len(p.brokenRules()); n > 0 {
		return fmt.Errorf("%d keys ran in two cells before the file was replaced", n)
	}
	next := report
	if p.trouble {
		next = maps.Clone(report)
		delete(next, "key_scope")
	}
	c.Settings = settings(tile, next)
	if _, err := p.writeConfig(c.Name, c); err != nil {
		return err
	}
	if err := q.signal(syscall.SIGHUP); err != nil {
		return err
	}
	p.note("the file is replaced, key_scope of report there: %v; SIGHUP", next["key_scope"] != nil)
	time.Sleep(1200 * time.Millisecond)
	return reports(p, addr, 15*time.Second, shared, true)
}

// reports sends requests of class report, and of class tile if there is one, for a time, and judges
// where the keys ran.
func reports(p *play, addr string, lasts time.Duration, shared *cells, tiles bool) error {
	var usual sync.WaitGroup
	var mu sync.Mutex
	count := map[string]int{}
	stop := time.Now().Add(lasts)
	for i := range 10 {
		usual.Go(func() {
			var c *conn
			for n := 0; time.Now().Before(stop); n++ {
				r := &request{method: "GET", class: "tile", id: newID(), user: "u1", deadline: 1200 * time.Millisecond}
				if n%2 == 0 || !tiles {
					r = &request{method: "POST", class: "report", id: newID(), key: fmt.Sprintf("%s%s%x", newID(), newID(), i), user: "u1", deadline: 1200 * time.Millisecond, body: "piste 7 closed"}
					if n%16 == 0 {
						r.key += "e"
					} else {
						r.key += "0"
					}
				}
				var a answer
				c, a = ask(c, addr, r)
				mu.Lock()
				count[fmt.Sprintf("%s %d", r.class, a.status)]++
				mu.Unlock()
				if strings.HasSuffix(r.key, "e") {
					p.note("a client's POST %s with key %s: %v", r.id, r.key, a)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	usual.Wait()
	p.note("answers by class and status: %v", count)
	shared.mu.Lock()
	defer shared.mu.Unlock()
	for key, places := range shared.ran {
		if len(places) > 1 {
			p.breaks("key %s ran %d times: at %s", key, len(places), strings.Join(places, ", then "))
		}
	}
	if count["report 200"] == 0 {
		return fmt.Errorf("nothing was served: %v", count)
	}
	return nil
}
