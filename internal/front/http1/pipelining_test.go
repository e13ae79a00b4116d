package http1

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Pipelined requests are answered in order, however they are split; an invalid one
// closes the connection after the answers to those before it.
func TestPipelining(t *testing.T) {
	var text string
	var want []string
	for i := range 9 {
		id := fmt.Sprint("p", i)
		if want = append(want, id); i%2 == 0 {
			text += tile(id)
		} else {
			text += report(id, strings.Repeat("x", i*500))
		}
	}
	for name, c := range map[string]struct {
		text string
		want []string // IDs; "" for an error, which closes the connection
	}{
		"good":              {text, want},
		"noise behind":      {tile("n1") + tile("n2") + "noise\r\n\r\n", []string{"n1", "n2", ""}},
		"a length too few":  {strings.Replace(report("s1", "abcdef"), "Content-Length: 6", "Content-Length: 4", 1), []string{"s1", ""}},
		"chunks end it":     {tile("c1") + reportHead + "Req-Id: c2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", []string{"c1", "c2"}},
		"a path unknown":    {tile("u1") + strings.Replace(tile("u2"), "/tile", "/none", 1) + tile("u3"), []string{"u1", ""}},
		"two lengths there": {tile("l1") + strings.Replace(report("l2", "ab"), "Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked", 1), []string{"l1", ""}},
	} {
		for _, cut := range []int{len(c.text), 700, 37, 1} {
			t.Run(fmt.Sprint(name, " in pieces of ", cut), func(t *testing.T) {
				t.Parallel()
				addr := listenEndpoint(t, echo(func(*http.Request) {}))
				conn := dial(t, startWith(t, Config{Pipelining: true}, nil, addr))
				go func() {
					for rest := c.text; len(rest) > 0; {
						n := min(cut, len(rest))
						if _, err := io.WriteString(conn, rest[:n]); err != nil {
							return
						}
						rest = rest[n:]
					}
				}()
				br := bufio.NewReader(conn)
				for i, id := range c.want {
					resp, err := http.ReadResponse(br, nil)
					if err != nil && id == "" {
						return // closing without an answer is allowed
					}
					if err != nil {
						t.Fatalf("answer %d: %v", i, err)
					}
					body, err := io.ReadAll(resp.Body)
					if id == "" {
						if resp.StatusCode < 400 {
							t.Errorf("answer %d: status %d, want an error", i, resp.StatusCode)
						}
						return
					}
					if err != nil || resp.StatusCode != 200 || string(body) != id {
						t.Fatalf("answer %d: status %d, %q, %v; want %q", i, resp.StatusCode, body, err, id)
					}
				}
			})
		}
	}
}
