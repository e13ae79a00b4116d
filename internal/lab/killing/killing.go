// Package killing kills a sidecar's process under load, again and again at any instant,
// has its clients ask again with their keys, and looks whether any key ran where a
// repeat of it was not dropped, whether a team had more than its rate over all of the
// processes together, and whether anybody was served by a file that is faulty.
package killing

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/process"
	"spokegw/internal/lab/scene"
)

// Config is what is played.
type Config struct {
	Program string   // the sidecar's command
	Env     []string // further variables of its environment
	Dir     string   // a folder of its own
	Kills   int
	Keys    string // [state] keys: before, soon or image
	Seed    uint64
	Log     io.Writer // of the sidecars; nil: nowhere
	Clean   bool      // processes are asked to end, and not killed
}

// Report is what came of it.
type Report struct {
	Kills, Starts  int
	Keys           int // that were sent
	Asked, Again   int // requests in all, and those of a key that had no answer
	Answered       int // with 200
	Refused        int // with 429 or 503
	Doubled        int // keys that ran in both groups
	Lost           int // that came to an endpoint and were closed on with no answer, by a process that went on
	Metered        int // requests that ran of the team with a rate
	OverRate       int // most of them beyond its burst and rate since the beginning
	Faulty         int // starts and reloads with a file that is faulty
	Ghosts         int // requests that only a faulty file would have served
	Kept           int // keys that starts found kept
	Damaged        int // starts that found something of it damaged
	LongestToReady time.Duration
}

const (
	clients = 6
	pods    = 2
	ofPod   = 4  // endpoints
	rate    = 50 // of the metered team, requests a second
	burst   = 20
	window  = 30 * time.Second
	// refusedPause is what a client waits for after a refusal: at once it would keep the
	// machine busy with refusals alone.
	refusedPause = 2 * time.Millisecond
	deadline     = 700 * time.Millisecond
	patience     = 20 * time.Second
	// mostUnanswered bounds the keys that are asked for again after a kill.
	mostUnanswered = 64
)

// play is a run.
type play struct {
	Config
	file     string // the operator's, without a fault
	listen   string
	registry *lab.Registry
	tally    tally // of the sidecars' logs

	mu         sync.Mutex
	ran        map[string]int // pod by key
	doubled    map[string]bool
	unanswered []string
	metered    int // that ran
	overRate   int
	begun      time.Time // the metered team's first request

	done process.Disturbances // to the processes

	keys, ghosts, ids, asked, again, answered, refused, lost atomic.Int64
}

// Run plays it.
func Run(ctx context.Context, c Config) (Report, error) {
	p := &play{Config: c, ran: map[string]int{}, doubled: map[string]bool{}, tally: tally{found: foundKeys}}
	if c.Keys == "image" {
		p.tally.found = foundImage
	}
	var endpoints []*lab.Endpoint
	for i := range pods * ofPod {
		e, err := lab.StartEndpoint(lab.EndpointConfig{Workers: 64, Body: 20, Answer: func(w http.ResponseWriter, r *http.Request) bool { return p.arrive(i/ofPod, r) }})
		if err != nil {
			return Report{}, err
		}
		defer e.Close()
		endpoints = append(endpoints, e)
	}
	var err error
	if p.registry, err = lab.StartRegistry(scene.Entries(endpoints...), nil); err != nil {
		return Report{}, err
	}
	defer p.registry.Close()
	if p.listen, err = process.TakeAddr(); err != nil {
		return Report{}, err
	}
	defer process.GiveBack(p.listen)
	if err := p.configure(endpoints); err != nil {
		return Report{}, err
	}
	return p.rounds(ctx)
}

func (p *play) configure(endpoints []*lab.Endpoint) error {
	config := scene.Configuration(scene.Platform{
		Name: "n0", Listen: p.listen, Registry: p.registry.Addr(), Endpoints: endpoints, SecondCopies: true,
		Classes: []scene.Class{{"name": "status-report", "effect": "idempotency_key", "key_scope": "cell", "dedup_window_ms": window.Milliseconds(),
			"hard_limit_ms": deadline.Milliseconds(), "aim_ms": 200, "worth": 1},
			{"name": "map-tile", "effect": "read_like", "hard_limit_ms": deadline.Milliseconds(), "aim_ms": 200, "worth": 1}},
	})
	p.file = fmt.Sprintf("[[service]]\nname = 'maps'\n"+
		"[[team]]\nname = 'reporters'\nshare = 0.5\n[[team.allow]]\nservice = 'maps'\nclasses = ['status-report']\n"+
		"[[team]]\nname = 'metered'\nshare = 0.4\n[[team.allow]]\nservice = 'maps'\nclasses = ['map-tile']\nrate = %d\nburst = %d\n"+
		"[state]\ndirectory = %q\nkeys = %q\n", rate, burst, p.Dir, p.Keys)
	for name, text := range map[string]string{"config.json": string(config), "operator.toml": p.file} {
		if err := os.WriteFile(filepath.Join(p.Dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// arrive notes that a key's request has come whole at a pod, where it has its effect.
// Half of the keys get no answer at first, so that their clients can't know.
func (p *play) arrive(pod int, r *http.Request) (silent bool) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		p.meter()
		return false
	}
	p.mu.Lock()
	at, before := p.ran[key]
	if p.ran[key] = pod; before && at != pod {
		p.doubled[key] = true
	}
	p.mu.Unlock()
	if n, _ := strconv.Atoi(strings.TrimPrefix(key, "k")); before || n%2 == 0 {
		return false
	}
	<-r.Context().Done()
	return true
}

// meter counts a request of the metered team that has come whole.
func (p *play) meter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.metered++
	p.overRate = max(p.overRate, p.metered-burst-int(rate*time.Since(p.begun).Seconds()))
}

// spoil puts a file in the operator's place that is faulty in one of three ways, each
// with a contract for the ghost team, or the one without a fault.
func (p *play) spoil(how int) error {
	ghost := "[[team]]\nname = 'ghost'\nshare = 0.1\n[[team.allow]]\nservice = 'maps'\n"
	text := p.file
	switch how {
	case 1:
		text = ghost + p.file + "no-such = 1\n"
	case 2:
		text = p.file + ghost + "classes = ['"
	case 3:
		text = p.file[:len(p.file)/2]
	}
	return os.WriteFile(filepath.Join(p.Dir, "operator.toml"), []byte(text), 0o600)
}

// faults are the ways that spoil knows, with the one without a fault.
const faults = 4

func (p *play) start(ctx context.Context) (*process.Process, time.Duration, error) {
	log := p.Log
	if log == nil {
		log = io.Discard
	}
	proc, err := process.Start(p.Program, "", append([]string{
		"NODE_CONFIG=" + filepath.Join(p.Dir, "config.json"), "SPOKEGW_OPERATOR=" + filepath.Join(p.Dir, "operator.toml"), "TMPDIR=", "SPOKEGW_STATE=" + p.Dir,
	}, p.Env...), io.MultiWriter(log, &p.tally))
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	took, err := proc.Ready(ctx)
	if err != nil {
		proc.Kill()
		<-proc.Ended
	}
	return proc, took, err
}

func (p *play) rounds(ctx context.Context) (r Report, err error) {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	p.begun = time.Now()
	for round := 0; round <= p.Kills && ctx.Err() == nil; round++ {
		how := rng.IntN(faults) * min(round, 1) // one has to be taken over first
		if err := p.spoil(how); err != nil {
			return r, err
		}
		r.Faulty += min(how, 1)
		proc, took, err := p.start(ctx)
		if err != nil {
			return r, fmt.Errorf("start %d: %w", round, err)
		}
		r.Starts++
		r.LongestToReady = max(r.LongestToReady, took)
		asking, stop := context.WithCancel(ctx)
		var going sync.WaitGroup
		p.mu.Lock()
		again := p.unanswered
		p.unanswered = nil
		p.mu.Unlock()
		for i := range clients {
			going.Go(func() { p.client(asking, i, again) })
		}
		going.Go(func() { p.others(asking) })
		var spoilt error
		if round%2 == 1 { // a file is put in place while it serves
			spoilt = p.spoil(1 + rng.IntN(faults-1))
			proc.Signal(syscall.SIGHUP)
			r.Faulty++
		}
		if round < p.Kills {
			wait(ctx, time.Duration(5+rng.IntN(80))*time.Millisecond)
			if p.Clean {
				p.done.Begins(process.Told)
				proc.Signal(syscall.SIGTERM)
			} else {
				p.done.Begins(process.Killed)
				proc.Kill()
			}
			r.Kills++
		} else {
			wait(ctx, 2*deadline) // what was open at the last kill is asked for again
			p.done.Begins(process.Killed)
			proc.Kill()
		}
		<-proc.Ended
		p.done.HasEnded()
		stop()
		going.Wait()
		if spoilt != nil {
			return r, spoilt
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Keys, r.Asked, r.Again = int(p.keys.Load()), int(p.asked.Load()), int(p.again.Load())
	r.Answered, r.Refused, r.Doubled = int(p.answered.Load()), int(p.refused.Load()), len(p.doubled)
	r.Lost = int(p.lost.Load())
	r.Metered, r.OverRate, r.Ghosts = p.metered, p.overRate, int(p.ghosts.Load())
	r.Kept, r.Damaged = p.tally.kept, p.tally.damaged
	return r, ctx.Err()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// client asks for its part of the keys that had no answer, and then for new ones, until
// ctx ends.
func (p *play) client(ctx context.Context, n int, again []string) {
	c := &http.Client{Transport: &http.Transport{}, Timeout: 2 * deadline}
	defer c.CloseIdleConnections()
	for i := n; i < len(again) && ctx.Err() == nil; i += clients {
		p.again.Add(1)
		p.ask(ctx, c, again[i])
	}
	for ctx.Err() == nil {
		p.ask(ctx, c, fmt.Sprint("k", p.keys.Add(1)))
	}
}

// ask asks once with a key. Without an answer it is asked for again after the kill.
func (p *play) ask(ctx context.Context, c *http.Client, key string) {
	p.asked.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.listen+"/status-report", strings.NewReader("{}"))
	if err != nil {
		panic(err) // a mistake of this package's
	}
	req.Header = p.fields("reporters")
	req.Header.Set("Idempotency-Key", key)
	req.GetBody = nil // the client library would send it again by itself
	begun := time.Now()
	status, ending := send(c, req)
	if ending == lab.Broken && p.came(key) && !p.done.Cut(begun, time.Now()) {
		p.lost.Add(1)
	}
	switch status {
	case http.StatusOK:
		p.answered.Add(1)
		return
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		p.refused.Add(1)
		wait(ctx, refusedPause)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unanswered) < mostUnanswered {
		p.unanswered = append(p.unanswered, key)
	}
}

func (p *play) fields(team string) http.Header {
	return http.Header{"Req-Id": {fmt.Sprint(p.Seed, "-", p.ids.Add(1))}, "Req-Owner": {team}, "Req-Deadline": {fmt.Sprintf("%dm", deadline.Milliseconds())}}
}

// came reports whether a key's request has come to an endpoint.
func (p *play) came(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, came := p.ran[key]
	return came
}

// send sends a request; an answer is known by its status, 0 is none.
func send(c *http.Client, req *http.Request) (int, lab.Ending) {
	resp, err := c.Do(req)
	if err != nil {
		return 0, lab.EndingOf(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, lab.EndingOf(err)
	}
	return resp.StatusCode, lab.Answered
}

// others ask without end until ctx ends: the team with a rate, and one that no file
// without a fault knows.
func (p *play) others(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{}, Timeout: 2 * deadline}
	defer c.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		team := "metered"
		if i%8 == 0 {
			team = "ghost"
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/map-tile", nil)
		if err != nil {
			panic(err) // a mistake of this package's
		}
		req.Header = p.fields(team)
		if status, _ := send(c, req); team == "ghost" && status == http.StatusOK {
			p.ghosts.Add(1)
		}
	}
}

// tally reads from logs how many keys were found kept, and whether all was whole. It is
// for one process at a time.
type tally struct {
	found         *regexp.Regexp // the line that tells of the keys
	line          []byte
	kept, damaged int
}

var (
	foundKeys    = regexp.MustCompile(`msg="starting from what was kept" what=keys keys=(\d+)`)
	foundImage   = regexp.MustCompile(`msg="starting from what was kept" services=\d+ keys=(\d+)`)
	foundDamaged = regexp.MustCompile(`msg="what was kept (is damaged|of keys can't)`)
)

// maxLine bounds what is held of a line.
const maxLine = 4096

func (t *tally) Write(b []byte) (int, error) {
	for part := range bytes.Lines(b) {
		t.line = append(t.line, part...)
		if whole := bytes.HasSuffix(t.line, []byte("\n")); !whole && len(t.line) <= maxLine {
			continue
		}
		if m := t.found.FindSubmatch(t.line); m != nil {
			n, _ := strconv.Atoi(string(m[1])) // digits
			t.kept += n
		} else if foundDamaged.Match(t.line) {
			t.damaged++
		}
		t.line = t.line[:0]
	}
	return len(b), nil
}
