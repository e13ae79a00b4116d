package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// During an upgrade two processes share the listener, and connections wait in its accept queue while
// the new process is stopped. Whichever process then exits or is killed, the remaining one must
// answer every client.
func TestQueueAcrossUpgrade(t *testing.T) {
	const clients = 20
	resume := func(t *testing.T, p *sidecarProcess) {
		t.Helper()
		if err := p.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	kill := func(t *testing.T, p *sidecarProcess) {
		t.Helper()
		p.Kill()
		await(t, "the process to end", p.Ended)
	}
	for name, order := range map[string]struct {
		duringHandover bool                                          // the new process is stopped during the handover, not once it serves
		beforeConnect  func(t *testing.T, old, next *sidecarProcess) // run before clients connect
		afterConnect   func(t *testing.T, old, next *sidecarProcess)
	}{
		"the new process is killed": {afterConnect: func(t *testing.T, _, next *sidecarProcess) { kill(t, next) }},
		"the new process gets SIGTERM": {afterConnect: func(t *testing.T, _, next *sidecarProcess) {
			next.Signal(syscall.SIGTERM)
			resume(t, next)
		}},
		"the old process exits first": {afterConnect: func(t *testing.T, old, next *sidecarProcess) {
			old.Signal(syscall.SIGTERM)
			await(t, "the old process to end", old.Ended)
			resume(t, next)
		}},
		"the old process has exited": {beforeConnect: func(t *testing.T, old, _ *sidecarProcess) {
			old.Signal(syscall.SIGTERM)
			await(t, "the old process to end", old.Ended)
		}, afterConnect: func(t *testing.T, _, next *sidecarProcess) { resume(t, next) }},
		"the old process is killed first": {afterConnect: func(t *testing.T, old, next *sidecarProcess) {
			kill(t, old)
			resume(t, next)
		}},
		"the old process gets SIGTERM as the new one is killed": {afterConnect: func(t *testing.T, old, next *sidecarProcess) {
			stopProcess(t, old.Process.Process)
			old.Signal(syscall.SIGTERM)
			kill(t, next)
			resume(t, old)
		}},
		"during the handover, the new process is killed": {duringHandover: true, beforeConnect: func(t *testing.T, old, _ *sidecarProcess) {
			stopProcess(t, old.Process.Process)
		}, afterConnect: func(t *testing.T, old, next *sidecarProcess) {
			kill(t, next)
			resume(t, old)
		}},
		"during the handover, the old process has exited": {duringHandover: true, beforeConnect: func(t *testing.T, old, _ *sidecarProcess) {
			old.Signal(syscall.SIGTERM)
			await(t, "the old process to end", old.Ended)
		}, afterConnect: func(t *testing.T, _, next *sidecarProcess) { resume(t, next) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSidecarFixture(t)
			handoverLog := &logWatcher{text: "another process takes over", seen: make(chan struct{})}
			s.log = handoverLog
			old := s.start()
			s.log = os.Stderr
			old.ready(t)
			next := s.start()
			await(t, "the old process to get the handover request", handoverLog.seen)
			if !order.duringHandover {
				next.ready(t)
			}
			stopProcess(t, next.Process.Process)
			if order.beforeConnect != nil {
				order.beforeConnect(t, old, next)
			}
			var queue []net.Conn
			for i := range clients {
				c := s.dial()
				io.WriteString(c, requestHead(fmt.Sprint("queued-", i))+"\r\n")
				queue = append(queue, c)
			}
			order.afterConnect(t, old, next)
			for i, c := range queue {
				if status, err := readStatus(c); status != 200 {
					t.Errorf("client %d: answered %d, %v", i, status, err)
				}
			}
		})
	}
}
