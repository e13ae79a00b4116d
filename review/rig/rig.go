// Package rig holds the stand-ins of the review's cases: a registry, endpoints and clients in one
// process, and the sidecar as a process of its own, started by the command of the deploy file.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case couldn't run
)

// Rig is one run of a case.
type Rig struct {
	Folder  string // temporary, removed at the end
	Trouble bool   // false: the same without the disruption
	Root    string // of the repository
	started time.Time

	mu       sync.Mutex
	record   *os.File
	sidecars []*Sidecar
}

// New opens the record of a case. The case's folder is the working directory.
func New() (*Rig, error) {
	here, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", Root: filepath.Dir(here), started: time.Now()}
	for r.Root != "/" {
		if _, err := os.Stat(filepath.Join(r.Root, "deploy", "balancer.toml")); err == nil {
			break
		}
		r.Root = filepath.Dir(r.Root)
	}
	if r.record, err = os.Create("record.txt"); err != nil {
		return nil, err
	}
	if r.Folder, err = os.MkdirTemp("", "case"); err != nil {
		return nil, err
	}
	r.Printf("trouble: %v", r.Trouble)
	return r, nil
}

// Printf writes a line to the record.
func (r *Rig) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// End kills what the rig has started, and ends the process with a code.
func (r *Rig) End(code int, format string, args ...any) {
	r.Printf("verdict %d: "+format, append([]any{code}, args...)...)
	fmt.Printf("verdict %d: "+format+"\n", append([]any{code}, args...)...)
	for _, s := range r.sidecars {
		s.Kill()
	}
	os.RemoveAll(r.Folder)
	r.record.Close()
	os.Exit(code)
}

// Settings are those of a small deployment of piste-maps-zg: one class that is safe to repeat and one
// that is keyed by cell.
func Settings() map[string]any {
	var s map[string]any
	if err := json.Unmarshal([]byte(exampleSettings), &s); err != nil {
		panic(err)
	}
	return s
}

const exampleSettings = `{
 "azs": ["zagreb-dc1"],
 "classes": [
  {"name": "map-tile", "effect": "read_like", "aim_ms": 400.0, "hard_limit_ms": 1200.0, "dedup_window_ms": 5000.0, "key_scope": "all", "late_worth": 0.5, "stream": false, "worth": 1.0},
  {"name": "status-report", "effect": "idempotency_key", "aim_ms": 100.0, "hard_limit_ms": 300.0, "dedup_window_ms": 600.0, "key_scope": "cell", "late_worth": 0.3, "stream": false, "worth": 3.0}],
 "clients": {"marks_retry": true},
 "discovery": "on_request",
 "domain": {"warm_keys": true},
 "fleet_size": 1, "index": 0, "kind_of_service": "mesh", "kinds": ["fast-1core", "std-1core"], "layers": ["map-servers"],
 "limits": {"cancelling": true, "conn_idle_ms": 10000.0, "connect_timeout_ms": 50.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 1461459, "max_retry_after_ms": 600.0, "may_probe": false, "most_held": 292291, "peer_messages": false, "retry_after": true, "second_copies": true, "send_cap": 3, "streams_per_conn": 1},
 "over_share_worth": 0.05,
 "penalties": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.03, "late_fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.04},
 "report": {"fields": [], "how": "silent"},
 "rules": {"answer_slack_ms": 5.0, "ask_within_ms": 10000.0, "cold_ms": 23000.0, "drain_grace_ms": 1000.0, "fall_ms": 1000.0, "fall_multiple": 3.0, "start_capacity": 0.13},
 "score_parts": {"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.1},
 "tenants": [{"name": "bijela-kosa", "quota_per_s": 159.0, "share": 0.6}, {"name": "javorov-vrh", "quota_per_s": 72.0, "share": 0.27}, {"name": "lisina", "quota_per_s": 35.0, "share": 0.13}],
 "tick_ms": 1.0, "tier": 0, "weights": "rough", "worth_by": "work", "zone": 0}`

// FreeAddress is a loopback address with a port that is free now.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Config is the configuration of a sidecar.
type Config struct {
	Listen, Discovery string
	Known             List // as the sidecar last had it
	Settings          map[string]any
}

// Write writes the configuration to a file.
func (c *Config) Write(path string) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": "n0", "listen": c.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": c.Known, "settings": c.Settings,
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// Sidecar is a sidecar's process.
type Sidecar struct {
	Cmd   *exec.Cmd
	ended chan struct{}
}

// runCommand is the command run of the deploy file.
func (r *Rig) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", errors.New("deploy/balancer.toml has no run command")
}

// Start starts a sidecar with a configuration, whose TMPDIR and log are named by name.
func (r *Rig) Start(name string, c *Config) (*Sidecar, error) {
	run, err := r.runCommand()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(r.Folder, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	s, config := &Sidecar{ended: make(chan struct{})}, filepath.Join(r.Folder, name+".json")
	if err := c.Write(config); err != nil {
		return nil, err
	}
	log, err := os.Create(name + ".log")
	if err != nil {
		return nil, err
	}
	s.Cmd = exec.Command("/bin/sh", "-c", run)
	s.Cmd.Dir, s.Cmd.Stdout, s.Cmd.Stderr = r.Root, log, log
	s.Cmd.Env = append(os.Environ(), "NODE_CONFIG="+config, "NODE_NAME=n0", "NODE_LISTEN="+c.Listen, "NODE_DISCOVERY="+c.Discovery, "TMPDIR="+tmp)
	s.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := s.Cmd.Wait()
		r.Printf("sidecar %s has ended: %v", name, err)
		log.Close()
		close(s.ended)
	}()
	r.mu.Lock()
	r.sidecars = append(r.sidecars, s)
	r.mu.Unlock()
	r.Printf("sidecar %s started, process %d, listens at %s, discovery %s", name, s.Cmd.Process.Pid, c.Listen, c.Discovery)
	return s, nil
}

// Kill ends the process at once.
func (s *Sidecar) Kill() {
	s.Cmd.Process.Kill()
	<-s.ended
}

// Ended reports whether the process has ended.
func (s *Sidecar) Ended() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// WaitReady waits until GET /health/ready answers 200.
func WaitReady(addr string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the sidecar was not ready within 15 s")
}
