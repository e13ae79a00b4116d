package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["operator-reload"] = operatorReload }

// operatorFile is the operator's file: one service with four endpoints, each a pod of its own.
const operatorFile = `[[service]]
name = "maps"

[[service]]
name = "closures"
paths = ["/closures"]
endpoints = [%s]
attempts = %d
second-copies = false

[[service.class]]
name = "closures"
effect = "keyed"
scope = "pod"
window = "5s"
aim = "300ms"
deadline = "1s"
worth = 3.0

[[team]]
name = "north"
share = 0.5

[[team.allow]]
service = "maps"
classes = ["tile"]
rate = 200.0
burst = 400

[[team.allow]]
service = "closures"
classes = ["closures"]
rate = 200.0
burst = 400
`

// operatorReload: reports are sent, and the answer to one in three gets lost behind its endpoint, so that it
// may have run. The operator's file is replaced, with another number of attempts, and the sidecar gets
// SIGHUP. Then the clients send those reports again, with the same keys and in the window.
func operatorReload(p *play) error {
	pods := &cells{window: 5 * time.Second, seen: map[string]time.Time{}, ran: map[string][]string{}}
	serve := func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte) {
		key := r.Header.Get("Idempotency-Key")
		if key != "" && pods.runs(e, key) && strings.HasSuffix(key, "e") {
			p.note("endpoint %s runs key %s, and its answer gets lost", e.ID, key)
			select { // the sidecar closes the connection when its time is over
			case <-r.Context().Done():
			case <-time.After(3 * time.Second):
			}
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, answerFor(e, r))
	}
	var addrs []string
	for i := range 4 {
		e, err := newEndpoint(fmt.Sprintf("c-%d", i), "hall", i, serve)
		if err != nil {
			return err
		}
		addrs = append(addrs, fmt.Sprintf("%q", e.Addr))
	}
	tiles, err := newEndpoint("m-0", "hall", 9, serve)
	if err != nil {
		return err
	}
	d, err := newDiscovery(5, []entry{tiles.entry})
	if err != nil {
		return err
	}
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(p.folder, "operator.toml")
	write := func(attempts int) error {
		if err := os.WriteFile(file+".new", fmt.Appendf(nil, operatorFile, strings.Join(addrs, ", "), attempts), 0o600); err != nil {
			return err
		}
		return os.Rename(file+".new", file)
	}
	if err := write(3); err != nil {
		return err
	}
	p.operator = file
	c := &config{Name: "n0", Listen: addr, Discovery: d.addr, Seed: "8d1f", Limits: machine, Known: d.whole(), Settings: settings(
		map[string]any{"name": "tile", "effect": "read_like", "key_scope": "all", "dedup_window_ms": 5000.0, "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.5, "worth": 1.0, "stream": false},
	)}
	path, err := p.writeConfig(c.Name, c)
	if err != nil {
		return err
	}
	q, err := p.startSidecar(c, path)
	if err != nil {
		return err
	}
	defer p.copyLog(c.Name, 6000)

	const reports, lostOneIn = 90, 3
	for round := range 2 { // the first without a reload, for comparison
		var keys, lost []string
		for i := range reports {
			key := newID() + newID() + "0"
			if i%lostOneIn == 0 {
				key = key[:len(key)-1] + "e"
				lost = append(lost, key)
			}
			keys = append(keys, key)
		}
		if err := p.sendReports(addr, "first", keys); err != nil {
			return err
		}
		if round == 1 && p.trouble {
			if err := write(2); err != nil {
				return err
			}
			if err := q.signal(syscall.SIGHUP); err != nil {
				return err
			}
			p.note("the operator's file is replaced: attempts = 2 instead of 3; SIGHUP")
		}
		time.Sleep(1200 * time.Millisecond)
		if err := p.sendReports(addr, "again", lost); err != nil {
			return err
		}
		pods.mu.Lock()
		for _, key := range keys {
			if places := pods.ran[key]; len(places) > 1 {
				p.breaks("round %d: key %s ran %d times: at %s", round+1, key, len(places), strings.Join(places, ", then "))
			}
		}
		pods.mu.Unlock()
		if round == 0 && len(p.brokenRules()) > 0 {
			return fmt.Errorf("keys ran twice without a reload")
		}
	}
	return nil
}

// sendReports sends a request for each key, all at about the same time.
func (p *play) sendReports(addr, what string, keys []string) error {
	var all sync.WaitGroup
	var mu sync.Mutex
	count := map[int]int{}
	for i, key := range keys {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			r := &request{method: "POST", class: "closures", id: newID(), key: key, user: "u1", deadline: time.Second, body: "lift 3 closed"}
			_, a := ask(nil, addr, r)
			p.note("a client's POST %s (%s) with key %s: %v", r.id, what, key, a)
			mu.Lock()
			defer mu.Unlock()
			count[a.status]++
		})
	}
	all.Wait()
	p.note("%s: answers by status: %v", what, count)
	if count[0] > 0 || count[400] > 0 || count[404] > 0 {
		return fmt.Errorf("answers by status: %v", count)
	}
	return nil
}
