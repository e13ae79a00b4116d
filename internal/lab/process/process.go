// Package process runs sidecars as processes of their own, for tests and measures of
// what a process does: its start, its end, and what it holds.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is a sidecar that runs.
type Process struct {
	*os.Process
	Management string        // its second address
	Ended      chan struct{} // closed when it has ended
}

// Start starts a program with a second address, further variables of its
// environment, and the output of its log; nil: nowhere. A second address of "" is one
// that TakeAddr gives, up to the process's end.
func Start(program, management string, env []string, log io.Writer) (*Process, error) {
	taken := ""
	if management == "" {
		var err error
		if taken, err = TakeAddr(); err != nil {
			return nil, err
		}
		management = taken
	}
	cmd := exec.Command(program)
	cmd.Env = append(append(os.Environ(), "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_NAME=", "SPOKEGW_OPERATOR=", "NODE_MANAGEMENT="+management), env...)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		GiveBack(taken)
		return nil, fmt.Errorf("process: %w", err)
	}
	p := &Process{Process: cmd.Process, Management: management, Ended: make(chan struct{})}
	go func() { // it ends with the process
		cmd.Wait()
		GiveBack(taken)
		close(p.Ended)
	}()
	return p, nil
}

// ErrEnded tells that a process has ended.
var ErrEnded = errors.New("process: it has ended")

// Ask makes a call on the second address, and again until it is connected.
func (p *Process) Ask(ctx context.Context, call string) (string, error) {
	var d net.Dialer
	for {
		c, err := d.DialContext(ctx, "tcp", p.Management)
		if err == nil {
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			io.WriteString(c, call+"\n") // an end shows in what is read
			text, err := io.ReadAll(c)
			return string(text), err
		}
		select {
		case <-p.Ended:
			return "", ErrEnded
		case <-ctx.Done():
			return "", err
		case <-time.After(2 * time.Millisecond): // it is starting
		}
	}
}

// Ready waits until the process says that it serves, and returns how long that was.
func (p *Process) Ready(ctx context.Context) (time.Duration, error) {
	begun := time.Now()
	for {
		text, err := p.Ask(ctx, "ready")
		if strings.HasPrefix(text, "YES") {
			return time.Since(begun), nil
		}
		if err != nil {
			return 0, p.whetherEnded(err)
		}
	}
}

// endSeen is how long a process that resets its callers as it ends may take to be seen as ended.
const endSeen = 200 * time.Millisecond

// whetherEnded has an error of a call also tell whether the process has ended: a call that is
// reset looks the same.
func (p *Process) whetherEnded(err error) error {
	select {
	case <-p.Ended:
		return fmt.Errorf("%w; the process has ended", err)
	case <-time.After(endSeen):
		return fmt.Errorf("%w; the process goes on", err)
	}
}

// Stop asks the process to end, and kills it after the time that it is owed.
func (p *Process) Stop(owed time.Duration) {
	p.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(owed, func() { p.Kill() })
	defer kill.Stop()
	<-p.Ended
}

// Descriptors is how many the process holds; 0 if it has ended.
func (p *Process) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// ticks are clock ticks a second, in which proc(5) counts processor time.
const ticks = 100

// Processor is the processor time that the process has used; 0 if it has ended.
func (p *Process) Processor() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid)) // proc(5)
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // its name may hold anything
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticks
}

// Memory is what the process holds resident, and the most that it held, in bytes; 0
// if it has ended.
func (p *Process) Memory() (now, most int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid)) // proc(5)
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			now = kb << 10
		case "VmHWM":
			most = kb << 10
		}
	}
	return now, most
}
