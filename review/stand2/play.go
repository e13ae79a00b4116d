package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	root     string // of the repository
	folder   string // temporary
	trouble  bool   // the case's disruption takes place
	operator string // path of the operator's file; "": none
	guard    *guard
	begun    time.Time

	mu        sync.Mutex
	record    *os.File
	broken    []string
	processes []*process
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (p *play) breaks(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

func (p *play) brokenRules() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken
}

// end kills what still runs.
func (p *play) end() {
	p.mu.Lock()
	all := p.processes
	p.mu.Unlock()
	for _, proc := range all {
		proc.kill()
	}
}

// process is a sidecar.
type process struct {
	name   string
	cmd    *exec.Cmd
	ended  chan struct{} // closed when it has ended
	status error         // once ended
}

func (q *process) signal(s syscall.Signal) error { return q.cmd.Process.Signal(s) }

func (q *process) hasEnded() bool {
	select {
	case <-q.ended:
		return true
	default:
		return false
	}
}

func (q *process) kill() {
	if !q.hasEnded() {
		q.cmd.Process.Kill()
		<-q.ended
	}
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// config is the file that a sidecar is told by.
type config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     list           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// writeConfig writes the file as the platform replaces it: all at once.
func (p *play) writeConfig(name string, c any) (string, error) {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.folder, name+".json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// plainEnv is the environment without settings of a sidecar.
func plainEnv() []string {
	return slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, "NODE_") || strings.HasPrefix(v, "SPOKEGW_")
	})
}

// startSidecar starts a sidecar by the command of the deploy file and waits until it is ready.
func (p *play) startSidecar(c *config, path string) (*process, error) {
	tmp, err := os.MkdirTemp(p.folder, "tmp-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(p.folder, c.Name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", "exec bin/spokegw")
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.root, log, log
	cmd.Env = append(plainEnv(), "TMPDIR="+tmp, "NODE_CONFIG="+path, "NODE_NAME="+c.Name, "NODE_LISTEN="+c.Listen, "NODE_DISCOVERY="+c.Discovery)
	if p.operator != "" {
		cmd.Env = append(cmd.Env, "SPOKEGW_OPERATOR="+p.operator)
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.guard.tell("started", cmd.Process.Pid)
	q := &process{name: c.Name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		q.status = cmd.Wait()
		p.guard.tell("ended", cmd.Process.Pid)
		close(q.ended)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, q)
	p.mu.Unlock()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if q.hasEnded() {
			return nil, fmt.Errorf("%s ended at its start: %v", c.Name, q.status)
		}
		if ready(c.Listen) {
			p.note("%s is ready at %s", c.Name, c.Listen)
			return q, nil
		}
	}
	return nil, errors.New("the sidecar is not ready after 30 s")
}

// copyLog adds the lines of a sidecar's log to the record.
func (p *play) copyLog(name string, most int) {
	text, err := os.ReadFile(filepath.Join(p.folder, name+".log"))
	if err != nil {
		return
	}
	if len(text) > most {
		text = text[len(text)-most:]
	}
	p.note("log of %s:\n%s", name, text)
}
