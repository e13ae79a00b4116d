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

// counts are what one request costs; CPU is in microseconds.
type counts struct {
	Allocations float64 `json:"allocations"`
	Bytes       float64 `json:"bytes"`
	Reads       float64 `json:"reads"`
	Writes      float64 `json:"writes"`
	Goroutines  float64 `json:"goroutines"`
	CPU         float64 `json:"cpu_us"`
}

// less takes off what is not the sidecar's; what can't be told apart from nothing is 0.
func (c counts) less(o counts) counts {
	return counts{
		max(c.Allocations-o.Allocations, 0), max(c.Bytes-o.Bytes, 0), max(c.Reads-o.Reads, 0),
		max(c.Writes-o.Writes, 0), max(c.Goroutines-o.Goroutines, 0), max(c.CPU-o.CPU, 0),
	}
}

// now are the process's own counts.
func now() (c counts, err error) {
	of := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}, {Name: "/gc/heap/allocs:bytes"}, {Name: "/sched/goroutines-created:goroutines"}}
	metrics.Read(of)
	for i, to := range []*float64{&c.Allocations, &c.Bytes, &c.Goroutines} {
		if of[i].Value.Kind() != metrics.KindUint64 {
			return c, fmt.Errorf("this runtime does not tell %s", of[i].Name)
		}
		*to = float64(of[i].Value.Uint64())
	}
	file, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return c, fmt.Errorf("system calls: %w", err)
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
		return c, fmt.Errorf("processor time: %w", err)
	}
	c.CPU = float64(used.Utime.Nano()+used.Stime.Nano()) / 1e3
	return c, nil
}

// patience bounds a whole series, against an answer that never becomes whole.
const patience = 2 * time.Minute

// drive sends requests of one kind over one kept connection, each once the last was
// answered, and returns what one cost in the whole process.
func drive(x exchange, addr string, requests int) (counts, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return counts{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return counts{}, err
	}
	c := client{conn: conn, buf: make([]byte, 64<<10)}
	c.head(x)
	warm := max(requests/10, 1)
	var before counts
	for i := range warm + requests {
		if i == warm {
			if before, err = now(); err != nil {
				return counts{}, err
			}
		}
		if err := c.ask(x.given); err != nil {
			return counts{}, fmt.Errorf("request %d: %w", i, err)
		}
	}
	after, err := now()
	if err != nil {
		return counts{}, err
	}
	n, all := float64(requests), after.less(before)
	return counts{all.Allocations / n, all.Bytes / n, all.Reads / n, all.Writes / n, all.Goroutines / n, all.CPU / n}, nil
}

// client asks over one connection; nothing is allocated for a request.
type client struct {
	conn    net.Conn
	request []byte
	numbers [][]byte // places in request that are new with each: its id, its key
	sent    uint64
	buf     []byte
}

// id is as wide as the numbers written over it.
const id = "0000000000000000"

func (c *client) head(x exchange) {
	class := x.path[1:]
	if i := bytes.IndexByte([]byte(class), '/'); i > 0 {
		class = class[:i]
	}
	text := fmt.Sprintf("%s %s?user=k HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: patrols\r\nReq-Deadline: 1000m\r\n", x.method, x.path, id, class)
	if x.method == "POST" {
		text += fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n", id, x.asked)
	}
	c.request = append([]byte(text+"\r\n"), bytes.Repeat([]byte("r"), x.asked)...)
	for at := 0; ; {
		i := bytes.Index(c.request[at:], []byte(id))
		if i < 0 {
			return
		}
		c.numbers = append(c.numbers, c.request[at+i:at+i+len(id)])
		at += i + len(id)
	}
}

var errNotServed = errors.New("not answered by 200 and a body of the length asked for")

func (c *client) ask(given int) error {
	c.sent++
	for _, place := range c.numbers {
		for n, i := c.sent, len(place)-1; i >= 0; i-- {
			place[i] = "0123456789abcdef"[n&15]
			n >>= 4
		}
	}
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	return c.answer(given)
}

// answer reads one whole answer.
func (c *client) answer(given int) error {
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
				want = end + 4 + given
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

// startEndpoint answers every request with so many bytes, from one slice.
func startEndpoint(given int) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	answer := append([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", given)), bytes.Repeat([]byte("a"), given)...)
	go accept(l, func(conn net.Conn) { serve(conn, answer) })
	return l, nil
}

// serve reads one request after the other; a body's length stands in its head.
func serve(conn net.Conn, answer []byte) {
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
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// accept serves every connection until the listener is closed.
func accept(l net.Listener, serve func(net.Conn)) {
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

// agreed is what a kind of request may cost on its way through the sidecar.
type agreed struct {
	Allocations float64 `json:"allocations"`
	Reads       float64 `json:"reads"`
	Writes      float64 `json:"writes"`
	Goroutines  float64 `json:"goroutines"`
}

// Margins over what is agreed: a tenth, and what pools that the collector empties and reads
// that find nothing yet come to.
const part, allocations, calls = 0.1, 2, 0.5

// hold compares with a file of agreed counts. Times and bytes are not judged.
func hold(file string, all []row) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var budget map[string]agreed
	if err := json.Unmarshal(text, &budget); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var over []error
	for _, r := range all {
		b, known := budget[r.Exchange]
		if r.Way != "sidecar" {
			continue
		}
		if !known {
			over = append(over, fmt.Errorf("%s: has no %q", file, r.Exchange))
			continue
		}
		for _, c := range []struct {
			what              string
			is, agreed, slack float64
		}{
			{"allocations", r.Allocations, b.Allocations, allocations}, {"reads", r.Reads, b.Reads, calls},
			{"writes", r.Writes, b.Writes, calls}, {"goroutines", r.Goroutines, b.Goroutines, calls},
		} {
			if most := c.agreed*(1+part) + c.slack; c.is > most {
				over = append(over, fmt.Errorf("%s: %.2f %s a request, %.2f are agreed and %.2f allowed", r.Exchange, c.is, c.what, c.agreed, most))
			}
		}
	}
	return errors.Join(over...)
}

// agree writes the counts as those agreed.
func agree(file string, all []row) error {
	budget := map[string]agreed{}
	round := func(x float64) float64 { return float64(int(x*10+0.5)) / 10 }
	for _, r := range all {
		if r.Way == "sidecar" {
			budget[r.Exchange] = agreed{round(r.Allocations), round(r.Reads), round(r.Writes), round(r.Goroutines)}
		}
	}
	text, err := json.MarshalIndent(budget, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}
