package console

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start serves calls until the test ends.
func start(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.sock")
	s, err := Listen(path, map[string]Call{
		"count": func(_ context.Context, raw json.RawMessage, send func(any) error) (err error) {
			var n int
			json.Unmarshal(raw, &n) // 0 if absent
			for i := 0; i < n && err == nil; i++ {
				err = send(i)
			}
			return err
		},
		"flood": func(ctx context.Context, _ json.RawMessage, send func(any) error) error {
			for text := strings.Repeat("x", 1<<16); ; {
				if err := send(text); err != nil {
					return err
				}
			}
		},
		"waits": func(ctx context.Context, _ json.RawMessage, _ func(any) error) error { <-ctx.Done(); return ctx.Err() },
		"long": func(_ context.Context, _ json.RawMessage, send func(any) error) error {
			return send(strings.Repeat("x", MaxRecord))
		},
		"who":    func(ctx context.Context, _ json.RawMessage, send func(any) error) error { return send(Caller(ctx)) },
		"breaks": func(context.Context, json.RawMessage, func(any) error) error { panic("on purpose") },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		s.Serve(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return path
}

func count(t *testing.T, path, call string, args any) (n int, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err = Ask(ctx, path, call, args, func(json.RawMessage) error { n++; return nil })
	return n, err
}

func TestCalls(t *testing.T) {
	path := start(t)
	if n, err := count(t, path, "count", 1000); n != 1000 || err != nil {
		t.Errorf("%d records, %v", n, err)
	}
	var who string
	err := Ask(t.Context(), path, "who", nil, func(raw json.RawMessage) error { return json.Unmarshal(raw, &who) })
	if want := fmt.Sprintf("uid=%d pid=%d", os.Getuid(), os.Getpid()); err != nil || who != want {
		t.Errorf("caller is %q (%v), want %q", who, err, want)
	}
	for call, want := range map[string]string{"reboot": `no call "reboot"`, "breaks": "the call failed", "long": "at most 4194304 are sent"} {
		if _, err := count(t, path, call, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", call, err)
		}
	}
	for text, want := range map[string]string{`{"v":2,"call":"count"}` + "\n": "version 2, this sidecar has 1", "GET / HTTP/1.1\r\n": "a call in JSON is expected", "{": "is incomplete"} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, text)
		c.(*net.UnixConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		answer := make([]byte, 400)
		n, _ := c.Read(answer) // the bytes read are checked
		if c.Close(); !strings.Contains(string(answer[:n]), want) {
			t.Errorf("%q is answered %q", text, answer[:n])
		}
	}
	if _, err := count(t, path+".not", "count", 1); !errors.Is(err, ErrUnreachable) {
		t.Errorf("no server: %v", err)
	}
}

// A hundred callers that send nothing, others that do not read a long answer, and others that
// disconnect during a call block nobody.
func TestBadCallers(t *testing.T) {
	path := start(t)
	for i := range 100 {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%10 == 0 {
			fmt.Fprintf(c, `{"v":1,"call":"flood"}`+"\n")
		}
	}
	for range maxCallers {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, `{"v":1,"call":"waits"}`+"\n")
		c.Close()
	}
	for until := time.Now().Add(20 * time.Second); ; { // callers that do not read hold slots for two seconds at most
		n, err := count(t, path, "count", 3)
		if n == 3 && err == nil {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d records, %v", n, err)
		}
	}
}
