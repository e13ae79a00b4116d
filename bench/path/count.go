package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/metrics"
	"strconv"
	"syscall"
	"time"
)

// counts is the cost of one request; CPU is in microseconds.
type counts struct {
	Allocations float64 `json:"allocations"`
	Bytes       float64 `json:"bytes"`
	Reads       float64 `json:"reads"`
	Writes      float64 `json:"writes"`
	Goroutines  float64 `json:"goroutines"`
	CPU         float64 `json:"cpu_us"`
}

// minus subtracts the cost that the sidecar does not cause; a difference below 0 is noise
// and becomes 0.
func (c counts) minus(other counts) counts {
	return counts{
		max(c.Allocations-other.Allocations, 0), max(c.Bytes-other.Bytes, 0), max(c.Reads-other.Reads, 0),
		max(c.Writes-other.Writes, 0), max(c.Goroutines-other.Goroutines, 0), max(c.CPU-other.CPU, 0),
	}
}

// readCounts returns the totals of this process.
func readCounts() (c counts, err error) {
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}, {Name: "/gc/heap/allocs:bytes"}, {Name: "/sched/goroutines-created:goroutines"}}
	metrics.Read(samples)
	for i, field := range []*float64{&c.Allocations, &c.Bytes, &c.Goroutines} {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return c, fmt.Errorf("this runtime has no metric %s", samples[i].Name)
		}
		*field = float64(samples[i].Value.Uint64())
	}
	file, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return c, fmt.Errorf("read system call counts: %w", err)
	}
	for line := range bytes.Lines(file) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte(": "))
		n, _ := strconv.ParseFloat(string(value), 64)
		switch string(name) {
		case "syscr":
			c.Reads = n
		case "syscw":
			c.Writes = n
		}
	}
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return c, fmt.Errorf("read CPU time: %w", err)
	}
	c.CPU = float64(used.Utime.Nano()+used.Stime.Nano()) / 1e3
	return c, nil
}

// driveTimeout bounds a whole series of requests, in case an answer is never completed.
const driveTimeout = 2 * time.Minute

// drive sends the requests of one exchange in sequence over one persistent connection and
// returns the cost of one in the whole process.
func drive(x exchange, addr string, requests int) (counts, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return counts{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(driveTimeout)); err != nil {
		return counts{}, err
	}
	c := client{conn: conn, buf: make([]byte, 64<<10)}
	c.buildRequest(x)
	warmUp := max(requests/10, 1)
	var before counts
	for i := range warmUp + requests {
		if i == warmUp {
			if before, err = readCounts(); err != nil {
				return counts{}, err
			}
		}
		if err := c.send(x.responseBytes); err != nil {
			return counts{}, fmt.Errorf("request %d: %w", i, err)
		}
	}
	after, err := readCounts()
	if err != nil {
		return counts{}, err
	}
	n, total := float64(requests), after.minus(before)
	return counts{total.Allocations / n, total.Bytes / n, total.Reads / n, total.Writes / n, total.Goroutines / n, total.CPU / n}, nil
}

// client sends requests over one connection without allocating per request.
type client struct {
	conn    net.Conn
	request []byte
	ids     [][]byte // parts of request that differ each time: the request id and the idempotency key
	sent    uint64
	buf     []byte
}

// idPlaceholder has the width of the ids that overwrite it.
const idPlaceholder = "0000000000000000"

func (c *client) buildRequest(x exchange) {
	class := x.path[1:]
	if i := bytes.IndexByte([]byte(class), '/'); i > 0 {
		class = class[:i]
	}
	text := fmt.Sprintf("%s %s?user=k HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: patrols\r\nReq-Deadline: 1000m\r\n", x.method, x.path, idPlaceholder, class)
	if x.method == "POST" {
		text += fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n", idPlaceholder, x.requestBytes)
	}
	c.request = append([]byte(text+"\r\n"), bytes.Repeat([]byte("r"), x.requestBytes)...)
	for at := 0; ; {
		i := bytes.Index(c.request[at:], []byte(idPlaceholder))
		if i < 0 {
			return
		}
		c.ids = append(c.ids, c.request[at+i:at+i+len(idPlaceholder)])
		at += i + len(idPlaceholder)
	}
}

var errNotServed = errors.New("answer is not a 200 with a body of the expected length")

func (c *client) send(responseBytes int) error {
	c.sent++
	for _, field := range c.ids {
		for n, i := c.sent, len(field)-1; i >= 0; i-- {
			field[i] = "0123456789abcdef"[n&15]
			n >>= 4
		}
	}
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	return c.readResponse(responseBytes)
}

// readResponse reads one complete answer.
func (c *client) readResponse(responseBytes int) error {
	n, want := 0, -1
	for want < 0 || n < want {
		got, err := c.conn.Read(c.buf[min(n, len(c.buf)-4096):])
		if err != nil {
			return err
		}
		n += got
		if want < 0 {
			end := bytes.Index(c.buf[:min(n, len(c.buf))], []byte("\r\n\r\n"))
			if end < 0 && n > len(c.buf)/2 {
				return errNotServed
			}
			if end >= 0 {
				want = end + 4 + responseBytes
				if !bytes.HasPrefix(c.buf, []byte("HTTP/1.1 200")) {
					return errNotServed
				}
			}
		}
	}
	if n != want {
		return errNotServed
	}
	return nil
}

// startEndpoint starts an endpoint that answers every request with a body of responseBytes
// bytes, without allocating per request.
func startEndpoint(responseBytes int) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	response := append([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", responseBytes)), bytes.Repeat([]byte("a"), responseBytes)...)
	go acceptLoop(l, func(conn net.Conn) { serve(conn, response) })
	return l, nil
}

// serve reads requests in sequence; the length of a body is taken from Content-Length.
func serve(conn net.Conn, response []byte) {
	buf, n := make([]byte, 16<<10), 0
	length := []byte("Content-Length: ")
	for {
		got, err := conn.Read(buf[n:])
		if n += got; err != nil {
			return
		}
		end := bytes.Index(buf[:n], []byte("\r\n\r\n"))
		if end < 0 {
			continue
		}
		body := 0
		if i := bytes.Index(buf[:end], length); i >= 0 {
			for _, d := range buf[i+len(length) : end] {
				if d < '0' || d > '9' {
					break
				}
				body = body*10 + int(d-'0')
			}
		}
		if n < end+4+body {
			continue
		}
		n = 0
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// acceptLoop serves every connection until the listener is closed.
func acceptLoop(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn)
		}()
	}
}

// budgetEntry is the agreed cost of an exchange in the sidecar.
type budgetEntry struct {
	Allocations float64 `json:"allocations"`
	Reads       float64 `json:"reads"`
	Writes      float64 `json:"writes"`
	Goroutines  float64 `json:"goroutines"`
}

// Margins over the budget: a tenth, plus the allocations caused by sync.Pools that the
// garbage collector empties and the calls caused by reads that find no data yet.
const marginFraction, allocationSlack, callSlack = 0.1, 2, 0.5

// checkBudget compares the sidecar's counts with a budget file. Times and bytes are not
// checked.
func checkBudget(file string, all []row) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var budget map[string]budgetEntry
	if err := json.Unmarshal(text, &budget); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var exceeded []error
	for _, r := range all {
		entry, known := budget[r.Exchange]
		if r.Via != "sidecar" {
			continue
		}
		if !known {
			exceeded = append(exceeded, fmt.Errorf("%s: has no %q", file, r.Exchange))
			continue
		}
		for _, c := range []struct {
			name                    string
			measured, budget, slack float64
		}{
			{"allocations", r.Allocations, entry.Allocations, allocationSlack}, {"reads", r.Reads, entry.Reads, callSlack},
			{"writes", r.Writes, entry.Writes, callSlack}, {"goroutines", r.Goroutines, entry.Goroutines, callSlack},
		} {
			if limit := c.budget*(1+marginFraction) + c.slack; c.measured > limit {
				exceeded = append(exceeded, fmt.Errorf("%s: %.2f %s per request, budget %.2f, limit %.2f", r.Exchange, c.measured, c.name, c.budget, limit))
			}
		}
	}
	return errors.Join(exceeded...)
}

// writeBudget writes the sidecar's counts as the new budget file.
func writeBudget(file string, all []row) error {
	budget := map[string]budgetEntry{}
	round := func(x float64) float64 { return float64(int(x*10+0.5)) / 10 }
	for _, r := range all {
		if r.Via == "sidecar" {
			budget[r.Exchange] = budgetEntry{round(r.Allocations), round(r.Reads), round(r.Writes), round(r.Goroutines)}
		}
	}
	text, err := json.MarshalIndent(budget, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
