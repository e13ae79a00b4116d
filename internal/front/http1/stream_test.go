package http1

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"spokegw/internal/front"
)

// noise is a body in which every lost, duplicated or misplaced byte shows.
func noise(n int) []byte {
	b := make([]byte, n)
	r := rand.New(rand.NewPCG(1, uint64(n)))
	for i := 0; i+8 <= n; i += 8 {
		v := r.Uint64()
		for j := range 8 {
			b[i+j] = byte(v >> (8 * j))
		}
	}
	return b
}

// inPieces writes b in pieces of random length.
func inPieces(w io.Writer, b []byte) error {
	r := rand.New(rand.NewPCG(2, uint64(len(b))))
	for len(b) > 0 {
		n := min(1+r.IntN(60_000), len(b))
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func chunked(b []byte) []byte {
	var out bytes.Buffer
	for len(b) > 0 {
		n := min(70_001, len(b))
		fmt.Fprintf(&out, "%x;note=\"a;b\"\r\n%s\r\n", n, b[:n])
		b = b[n:]
	}
	out.WriteString("0\r\nX-Sum: 1\r\n\r\n")
	return out.Bytes()
}

// Long answers arrive byte for byte, whatever their framing and segmentation.
func TestLongAnswers(t *testing.T) {
	for _, size := range []int{64 << 10, 64<<10 + 1, 100_000, 3 << 20, 32 << 20} {
		text := noise(size)
		for name, answer := range map[string][]byte{
			"length": append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), text...),
			"chunks": append([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), chunked(text)...),
			"to end": append([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), text...),
		} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				t.Parallel()
				addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
					if _, err := http.ReadRequest(br); err == nil {
						inPieces(c, answer)
					}
				})
				c := dial(t, start(t, nil, addr))
				io.WriteString(c, tile("long"))
				if status, body := read(t, c); status != 200 || body != string(text) {
					t.Errorf("status %d with %d bytes of %d", status, len(body), size)
				}
			})
		}
	}
}

// A long answer that its endpoint truncates or corrupts never looks complete to the
// client.
func TestLongAnswerTruncated(t *testing.T) {
	const size = 200_000
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	text := string(noise(size))
	for name, answer := range map[string]string{
		"one byte too few":    head + text[:size-1],
		"half":                head + text[:size/2],
		"reset":               head + text[:size/2],
		"half in chunks":      chunks + fmt.Sprintf("%x\r\n%s", size, text[:size/2]),
		"no last chunk":       chunks + fmt.Sprintf("%x\r\n%s\r\n", size, text),
		"a chunk of 2^63":     chunks + fmt.Sprintf("%x\r\n%s\r\n8000000000000000\r\n", size, text),
		"a chunk of no size":  chunks + fmt.Sprintf("%x\r\n%s\r\nwhat\r\n", size, text),
		"a chunk of more":     chunks + fmt.Sprintf("%x\r\n%s", size-5, text),
		"closed to no length": "HTTP/1.1 200 OK\r\nContent-Length: 41000000\r\nConnection: close\r\n\r\n" + text,
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				t.Parallel()
				addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
					if _, err := http.ReadRequest(br); err == nil {
						io.WriteString(c, answer) // and then the connection is closed
						if name == "reset" {
							c.(*net.TCPConn).SetLinger(0)
						}
					}
				})
				c := dial(t, start(t, nil, addr))
				io.WriteString(c, strings.Replace(tile("broken"), "HTTP/1.1", proto, 1))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return // closed without any answer, which is visible
				}
				if n, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == 200 {
					t.Errorf("%d bytes were accepted as a complete answer", n)
				}
			})
		}
	}
}

// An answer with data beyond its declared length is complete, and that data reaches no
// client.
func TestLongAnswerWithExtraData(t *testing.T) {
	text := noise(100_000)
	addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		for range 2 {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s?", len(text), text)
		}
	})
	c := dial(t, start(t, nil, addr))
	for i := range 3 {
		io.WriteString(c, tile(fmt.Sprint("more", i)))
		if status, body := read(t, c); status != 200 || body != string(text) {
			t.Errorf("answer %d: status %d with %d bytes", i, status, len(body))
		}
	}
}

// Long bodies arrive byte for byte, whether they are buffered or streamed.
func TestLongBodies(t *testing.T) {
	for _, size := range []int{70_000, 1 << 20, 1<<20 + 1, 5 << 20, 32 << 20} {
		text := noise(size)
		want := sha256.Sum256(text)
		for name, sent := range map[string][]byte{
			"length": append(fmt.Appendf(nil, "%sReq-Id: up\r\nContent-Length: %d\r\n\r\n", reportHead, size), text...),
			"chunks": append([]byte(reportHead+"Req-Id: up\r\nTransfer-Encoding: chunked\r\n\r\n"), chunked(text)...),
		} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				t.Parallel()
				got := make(chan [32]byte, 1)
				addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					h := sha256.New()
					if _, err := io.Copy(h, r.Body); err != nil {
						return
					}
					got <- [32]byte(h.Sum(nil))
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				})
				c := dial(t, start(t, nil, addr))
				go inPieces(c, sent)
				if status, body := read(t, c); status != 200 || body != "ok" {
					t.Fatalf("status %d, %q", status, body)
				}
				if <-got != want {
					t.Error("the endpoint received a different body")
				}
			})
		}
	}
}

// A streamed body that is truncated never reaches an endpoint as complete, and its
// client gets an error.
func TestLongBodyTruncated(t *testing.T) {
	const size = 3 << 20
	for name, sent := range map[string]string{
		"half":            fmt.Sprintf("%sReq-Id: half\r\nContent-Length: %d\r\n\r\n%s", reportHead, size, noise(size/2)),
		"half in chunks":  reportHead + "Req-Id: chunks\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", size, noise(size/2)),
		"no chunk at all": reportHead + "Req-Id: none\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\nzz\r\n", size, noise(size)),
		"more behind it":  fmt.Sprintf("%sReq-Id: more\r\nContent-Length: %d\r\n\r\n%s", reportHead, size, noise(size+40)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := make(chan struct{}, 8)
			addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				if r, err := http.ReadRequest(br); err == nil {
					if _, err := io.Copy(io.Discard, r.Body); err == nil {
						whole <- struct{}{}
					}
				}
			})
			c := dial(t, start(t, nil, addr))
			go io.WriteString(c, sent)
			if status, _ := read(t, c); status != 0 && status < 400 {
				t.Errorf("status %d", status)
			}
			select {
			case <-whole:
				t.Error("an endpoint accepted it as complete")
			default:
			}
		})
	}
}

// An endpoint that answers before a long body has arrived declines the request: the
// client is answered at once, while it is still sending.
func TestLongBodyDeclined(t *testing.T) {
	addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			io.WriteString(c, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, c)
		}
	})
	c := dial(t, start(t, nil, addr))
	fmt.Fprintf(c, "%sReq-Id: away\r\nContent-Length: %d\r\n\r\n%s", reportHead, 3<<20, noise(100_000)) // and no more
	begun := time.Now()
	if status, _ := read(t, c); status != 503 {
		t.Errorf("status %d", status)
	}
	if took := time.Since(begun); took > front.RequestTimeout/2 {
		t.Errorf("it took %v: the answer waited for the sender", took)
	}
}

// Many long answers to clients that do not read use little memory, within what is
// reserved for them.
func TestSlowReaders(t *testing.T) {
	const clients, size = 60, 32 << 20
	text := noise(1 << 20)
	addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for range size >> 20 {
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	})
	s := start(t, nil, addr)
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, clients)
	var begun sync.WaitGroup
	for i := range conns {
		conns[i] = dial(t, s)
		begun.Go(func() {
			io.WriteString(conns[i], tile(fmt.Sprint("slow", i)))
			resp, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("client %d: %v, %v", i, resp, err)
				return
			}
			io.ReadFull(resp.Body, make([]byte, 100_000)) // and then it stops reading
		})
	}
	begun.Wait()
	runtime.GC()
	runtime.ReadMemStats(&during)
	each := (int64(during.HeapAlloc) - int64(before.HeapAlloc)) / clients
	t.Logf("%d bytes of heap per answer", each)
	if each > 200_000 {
		t.Errorf("%d bytes of heap are used for each of %d answers", each, clients)
	}
}

// The forms of HTTP/1.1 that a client may choose.
func TestRequestForms(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"absolute form":          {strings.Replace(tile("f1"), "/tile/1?user=k", "http://b.example/tile/1?user=k", 1), "GET /tile/1?user=k f1"},
		"HEAD":                   {strings.Replace(tile("f2"), "GET ", "HEAD ", 1), ""},
		"1.0":                    {strings.Replace(tile("f3"), "HTTP/1.1", "HTTP/1.0", 1), "GET /tile/1?user=k f3"},
		"1.9":                    {strings.Replace(tile("f8"), "HTTP/1.1", "HTTP/1.9", 1), "GET /tile/1?user=k f8"}, // as 1.1, RFC 9110 section 2.5
		"close":                  {strings.Replace(tile("f4"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), "GET /tile/1?user=k f4"},
		"empty chunks":           {reportHead + "Req-Id: f5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "POST /report f5"},
		"extensions and trailer": {reportHead + "Req-Id: f6\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n3;a=b;c=\"d\"\r\nabc\r\n0\r\nX-Sum: 9\r\n\r\n", "POST /report f6abc"},
		"no body":                {reportHead + "Req-Id: f7\r\nContent-Length: 0\r\n\r\n", "POST /report f7"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := listenEndpoint(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				text := fmt.Sprintf("%s %s %s%s", r.Method, r.RequestURI, r.Header.Get("Req-Id"), body)
				if r.Method == http.MethodHead {
					text = ""
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", max(len(text), 9*(1-min(len(text), 1))), text)
			})
			conn := dial(t, start(t, nil, addr))
			io.WriteString(conn, c.text)
			req := &http.Request{Method: c.text[:strings.IndexByte(c.text, ' ')]}
			resp, err := http.ReadResponse(bufio.NewReader(conn), req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != 200 || string(body) != c.want {
				t.Errorf("status %d, body %q, %v; want %q", resp.StatusCode, body, err, c.want)
			}
			if req.Method == http.MethodHead && resp.ContentLength != 9 {
				t.Errorf("the answer to HEAD states a length of %d", resp.ContentLength)
			}
		})
	}
}

// A client that expects 100 gets it before it sends its body.
func TestExpectContinue(t *testing.T) {
	addr := listenEndpoint(t, echo(func(*http.Request) {}))
	c := dial(t, start(t, nil, addr))
	io.WriteString(c, reportHead+"Req-Id: e1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	br := bufio.NewReader(c)
	if line, err := br.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("%q, %v", line, err)
	}
	br.ReadString('\n')
	io.WriteString(c, "abc")
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%v, %v", resp, err)
	}
}
