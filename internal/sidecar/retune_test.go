package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

func readLike(name string, deadline time.Duration) scene.Class {
	return scene.Class{"name": name, "effect": "read_like", "worth": 1, "late_worth": 0.5, "aim_ms": 400, "hard_limit_ms": deadline.Milliseconds()}
}

func keyedClass(name string) scene.Class {
	return scene.Class{"name": name, "effect": "idempotency_key", "key_scope": "cell", "dedup_window_ms": 600, "worth": 1, "late_worth": 0.5, "aim_ms": 400, "hard_limit_ms": 5000}
}

// answered reads the status of the answer that comes on a connection.
func answered(t *testing.T, c net.Conn) int {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

var retuned atomic.Int64

// send sends a request of a class, with a key or without.
func send(t *testing.T, addr, class, key string) net.Conn {
	t.Helper()
	c := connect(t, addr)
	method, more := "GET", ""
	if key != "" {
		method, more = "POST", "Idempotency-Key: "+key+"\r\nContent-Length: 0\r\n"
	}
	if _, err := fmt.Fprintf(c, "%s /%s?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: t-%d\r\nReq-Deadline: 9000m\r\n%s\r\n", method, class, retuned.Add(1), more); err != nil {
		t.Fatal(err)
	}
	return c
}

// A class is dropped, and comes again with another effect, while 100 requests of
// it are open: they end by the rules that they came under, new ones come under the
// new ones.
func TestClassDroppedWhileOpen(t *testing.T) {
	const open = 100
	came := make(chan struct{}, 4*open)
	s := startReady(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 2 * open, Seen: func(*http.Request) { came <- struct{}{} }}}})
	first := readLike("closure", 9*time.Second)
	if err := s.Retune(readLike("map-tile", time.Second), first); err != nil {
		t.Fatal(err)
	}
	s.Maps[0].Silence()
	var waiting []net.Conn
	for range open {
		waiting = append(waiting, send(t, s.Addr(), "closure", ""))
	}
	for range open {
		<-came
	}
	if err := s.Retune(readLike("map-tile", time.Second)); err != nil {
		t.Fatal(err)
	}
	if status := answered(t, send(t, s.Addr(), "closure", "")); status != 400 {
		t.Errorf("a class that is dropped is answered %d", status)
	}
	if err := s.Retune(readLike("map-tile", time.Second), keyedClass("closure")); err != nil {
		t.Fatal(err)
	}
	if status := answered(t, send(t, s.Addr(), "closure", "")); status != 400 {
		t.Errorf("by its old rules the class that came again is answered %d", status)
	}
	again := send(t, s.Addr(), "closure", "a-key")
	<-came
	if text := must(t, s, "show-stat"); !strings.Contains(text, fmt.Sprintf("node.pending:%d|g", open+1)) {
		t.Errorf("%d are open:\n%s", open+1, text)
	}
	s.Maps[0].Speak()
	for _, c := range append(waiting, again) {
		if status := answered(t, c); status != 200 {
			t.Errorf("one that was open is answered %d", status)
		}
	}
	// The last one may be counted after its client has read the answer.
	want := fmt.Sprintf("node.downstream_requests.closure.completed:%d|c", open+1)
	for until := time.Now().Add(patience); !strings.Contains(must(t, s, "show-stat"), want); <-time.After(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s is expected in\n%s", want, must(t, s, "show-stat"))
		}
	}
}

// 200 changes under load lose nothing and leave nothing behind.
func TestManyChanges(t *testing.T) {
	s := startReady(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 64}, {Workers: 64}}})
	changing := readLike("map-tile", 9*time.Second)
	change := func(i int) {
		t.Helper()
		changing["worth"] = 1 + i%3 // the class that is asked for changes too
		classes := []scene.Class{changing, readLike(fmt.Sprint("other-", i%5), time.Duration(i%7+1)*time.Second)}
		if i%2 == 0 {
			classes = append(classes, keyedClass(fmt.Sprint("other-", i%5, "-keyed")))
		}
		if err := s.Retune(classes...); err != nil {
			t.Fatal(err)
		}
		for before := s.Maps[0].Served(); s.Maps[0].Served() < before+3; { // it is in force under load
			<-time.After(time.Millisecond)
		}
	}
	changes := func(n int) {
		t.Helper()
		load := tile("")
		load.Give, load.Rate = 8*time.Second, func(time.Duration) float64 { return 500 } // an open loop: with no processor for more, it would hold more connections than there are
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			load.Run(ctx, s.Addr(), 1)
			close(ended)
		}()
		for i := range n {
			change(i)
		}
		stop()
		<-ended
		for _, r := range load.Results() {
			if r.Status != 200 {
				t.Errorf("a request is answered %d after %v", r.Status, r.Took)
			}
		}
	}
	changes(20)
	before := heapAtRest()
	changes(200)
	// The ids of some 2,000 requests are remembered meanwhile, and what they grow by.
	if grown := int64(heapAtRest()) - int64(before); grown > 600<<10 {
		t.Errorf("200 changes leave %d bytes", grown)
	}
	if places := s.Sidecar.Places(); places > 12 {
		t.Errorf("%d places for 3 classes", places)
	}
}
