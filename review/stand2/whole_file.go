package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["whole-file"] = wholeFile }

// wholeFile: under load the configuration is replaced by a whole one, in which a class is added
// that is safe to repeat, and the scope of the keyed class is narrower. From 1.2 s after SIGHUP on
// clients and endpoints go by it. Some requests end with an error after they have run, before and
// after.
func wholeFile(p *play) error {
	const window = 2 * time.Second
	shared := &cells{window: window, seen: map[string]time.Time{}, ran: map[string][]string{}, one: true}
	serve := func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte) {
		key := r.Header.Get("Idempotency-Key")
		fails := strings.HasSuffix(key, "e")
		if key != "" && shared.runs(e, key) && fails { // it has run and fails to tell
			p.note("endpoint %s of cell %d runs key %s and answers 500", e.ID, e.Cell, key)
			http.Error(w, "failed after the work was done", http.StatusInternalServerError)
			return
		}
		if fails {
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
	report := func(scope string) map[string]any {
		return map[string]any{"name": "report", "effect": "idempotency_key", "key_scope": scope, "dedup_window_ms": float64(window.Milliseconds()), "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.3, "worth": 3.0, "stream": false}
	}
	tile := map[string]any{"name": "tile", "effect": "read_like", "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.5, "worth": 1.0, "stream": false}
	c := &config{Name: "n0", Listen: addr, Discovery: d.addr, Seed: "8d1f", Limits: machine, Known: d.whole(), Settings: settings(report("all"))}
	path, err := p.writeConfig(c.Name, c)
	if err != nil {
		return err
	}
	q, err := p.startSidecar(c, path)
	if err != nil {
		return err
	}
	defer p.copyLog(c.Name, 4000)

	if err := reports(p, addr, 3*time.Second, shared, false); err != nil {
		return err
	}
	if n := len(p.brokenRules()); n > 0 {
		return fmt.Errorf("%d keys ran twice before the file was replaced", n)
	}
	if p.trouble {
		c.Settings = settings(report("cell"), tile)
	}
	if _, err := p.writeConfig(c.Name, c); err != nil {
		return err
	}
	if err := q.signal(syscall.SIGHUP); err != nil {
		return err
	}
	p.note("the file is replaced, another one: %v; SIGHUP", p.trouble)
	time.Sleep(3 * time.Second)
	shared.mu.Lock()
	shared.one = !p.trouble
	shared.mu.Unlock()
	return reports(p, addr, 15*time.Second, shared, p.trouble)
}
