package management

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second

// start runs a server until the test ends.
func start(t *testing.T, limit int, c Commands) string {
	t.Helper()
	s, err := Listen("127.0.0.1:0", limit, c)
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
	return s.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func ask(t *testing.T, addr, text string) string {
	t.Helper()
	c := dial(t, addr)
	io.WriteString(c, text) // a failed write shows in the read
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%.20q: %v", text, err)
	}
	return string(answer)
}

func testCommands() Commands {
	return Commands{
		"ready":          {Help: "says yes", Run: func([]string) (string, error) { return Yes, nil }},
		"disable-server": {Args: "ID", Help: "takes one out", Run: func(args []string) (string, error) { return "", errors.New("no server " + args[0]) }},
		"breaks":         {Run: func([]string) (string, error) { panic("on purpose") }},
	}
}

// The caller and the answer of a command that changes something are logged; those of other
// commands are not.
func TestChangesAreLogged(t *testing.T) {
	var b bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&b, nil)))
	defer slog.SetDefault(before)
	c := testCommands()
	d := c["disable-server"]
	d.Changes = true
	c["disable-server"] = d
	c.answer("ready", "127.0.0.1:1")
	c.answer("disable-server maps-0\n", "127.0.0.1:2")
	if got := b.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, `call="disable-server maps-0" from=127.0.0.1:2 answer="NO no server maps-0"`) {
		t.Error(got)
	}
}

func TestCalls(t *testing.T) {
	addr := start(t, 4, testCommands())
	for call, want := range map[string]string{
		"ready\n":              "YES\n",
		"  ready \r\n":         "YES\n",
		"ready\nready\n":       "YES\n",
		"\n":                   "NO a command is expected",
		"reboot\n":             `NO there is no command "reboot"`,
		"disable-server\n":     "NO disable-server expects 1 words after it: ID",
		"disable-server s-1\n": "NO no server s-1\n",
		"breaks\n":             "NO the call failed\n",
		"disable-server " + strings.Repeat("x", 10<<10) + "\n": "NO the line is longer than",
		strings.Repeat("y", 1<<20):                             "NO the line is longer than",
		"help\n":                                               "disable-server ID",
	} {
		if got := ask(t, addr, call); !strings.Contains(got, want) {
			t.Errorf("%.30q is answered %.100q, want %q", call, got, want)
		}
	}
}

// A line without a newline that ends with the caller's half-close is a complete call.
func TestHalfClosed(t *testing.T) {
	c := dial(t, start(t, 4, testCommands()))
	io.WriteString(c, "ready")
	c.(*net.TCPConn).CloseWrite()
	if answer, err := io.ReadAll(c); string(answer) != Yes {
		t.Errorf("%q, %v", answer, err)
	}
}

// Callers that connect and send nothing, or half a line, block nobody: each further one
// replaces the oldest idle one.
func TestIdleCallersEvicted(t *testing.T) {
	const limit = 3
	addr := start(t, limit, testCommands())
	var silent []net.Conn
	for i := range 5 * limit {
		c := dial(t, addr)
		if i%2 == 0 {
			io.WriteString(c, "rea")
		}
		silent = append(silent, c)
	}
	if got := ask(t, addr, "ready\n"); got != Yes {
		t.Errorf("%q beside %d silent callers", got, len(silent))
	}
	if _, err := bufio.NewReader(silent[0]).ReadByte(); err == nil {
		t.Error("the first silent caller was answered instead of closed")
	}
}

// A caller's slot is released before its connection is closed: the next call by the same caller
// finds it, and is not closed without an answer.
func TestSlotReleasedBeforeClose(t *testing.T) {
	addr := start(t, 1, testCommands())
	for i := range 3000 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, "no-such-call\n")
		text, err := io.ReadAll(c)
		c.Close()
		if err != nil || len(text) == 0 {
			t.Fatalf("call %d: %q, %v", i, text, err)
		}
	}
}

// The time that a caller takes to send its line must not be taken from its answer's.
func TestSlowCallerIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer client.Close()
		s := &Server{commands: testCommands()}
		s.serving.Go(func() {
			s.serve(&caller{Conn: server})
			server.Close()
		})
		time.Sleep(callTimeout - time.Millisecond) // in the bubble
		io.WriteString(client, "ready\n")
		time.Sleep(2 * time.Millisecond)
		if answer, err := io.ReadAll(client); err != nil || !strings.HasPrefix(string(answer), Yes) {
			t.Errorf("%q, %v", answer, err)
		}
		s.serving.Wait()
	})
}
