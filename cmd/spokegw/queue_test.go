package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// In an upgrade two processes hold the listener, and clients stand in its queue while neither
// accepts: the new one stands still. Whatever becomes of the two then, each client has its
// answer from the one that is left.
func TestQueueAcrossUpgrade(t *testing.T) {
	const clients = 20
	goOn := func(t *testing.T, p *running) {
		t.Helper()
		if err := p.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	kill := func(t *testing.T, p *running) {
		t.Helper()
		p.Kill()
		await(t, "the process to end", p.Ended)
	}
	for name, order := range map[string]struct {
		given  bool                                   // the new one stands still when it is given the listener, not when it serves
		before func(t *testing.T, old, next *running) // clients come
		after  func(t *testing.T, old, next *running)
	}{
		"the new one is killed": {after: func(t *testing.T, _, next *running) { kill(t, next) }},
		"the new one is told to end": {after: func(t *testing.T, _, next *running) {
			next.Signal(syscall.SIGTERM)
			goOn(t, next)
		}},
		"the old one ends first": {after: func(t *testing.T, old, next *running) {
			old.Signal(syscall.SIGTERM)
			await(t, "the old one to end", old.Ended)
			goOn(t, next)
		}},
		"the old one has ended": {before: func(t *testing.T, old, _ *running) {
			old.Signal(syscall.SIGTERM)
			await(t, "the old one to end", old.Ended)
		}, after: func(t *testing.T, _, next *running) { goOn(t, next) }},
		"the old one is killed first": {after: func(t *testing.T, old, next *running) {
			kill(t, old)
			goOn(t, next)
		}},
		"the old one is told to end as the new one is killed": {after: func(t *testing.T, old, next *running) {
			stopProcess(t, old.Process.Process)
			old.Signal(syscall.SIGTERM)
			kill(t, next)
			goOn(t, old)
		}},
		"given the listener, the new one is killed": {given: true, before: func(t *testing.T, old, _ *running) {
			stopProcess(t, old.Process.Process)
		}, after: func(t *testing.T, old, next *running) {
			kill(t, next)
			goOn(t, old)
		}},
		"given the listener, the old one has ended": {given: true, before: func(t *testing.T, old, _ *running) {
			old.Signal(syscall.SIGTERM)
			await(t, "the old one to end", old.Ended)
		}, after: func(t *testing.T, _, next *running) { goOn(t, next) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			asked := &told{text: "another process takes over", came: make(chan struct{})}
			s.log = asked
			old := s.start()
			s.log = os.Stderr
			old.ready(t)
			next := s.start()
			await(t, "the old one to be asked", asked.came)
			if !order.given {
				next.ready(t)
			}
			stopProcess(t, next.Process.Process)
			if order.before != nil {
				order.before(t, old, next)
			}
			var queue []net.Conn
			for i := range clients {
				c := s.connect()
				io.WriteString(c, tileHead(fmt.Sprint("queued-", i))+"\r\n")
				queue = append(queue, c)
			}
			order.after(t, old, next)
			for i, c := range queue {
				if status, err := readStatus(c); status != 200 {
					t.Errorf("client %d: answered %d, %v", i, status, err)
				}
			}
		})
	}
}
