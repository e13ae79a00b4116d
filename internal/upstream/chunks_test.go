package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"spokegw/internal/framing"
)

func newChunkReader(r io.Reader) *chunkReader {
	return &chunkReader{r: bufio.NewReaderSize(r, framing.MaxHead)}
}

// What has come of a chunk is returned without waiting for the rest of the chunk.
func TestPieceOfUnfinishedChunkIsNotHeldBack(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	chunks := newChunkReader(near)
	buf := make([]byte, 32<<10)
	for _, piece := range []struct{ written, read string }{
		{"10000\r\nabc", "abc"}, {"d", "d"}, {strings.Repeat("e", 0x10000-4) + "\r", ""}, {"\n3\r\nfgh", "fgh"}, {"\r\n2;x=y\r\ni", "i"},
	} {
		go io.WriteString(far, piece.written)
		want := len(piece.read)
		if want == 0 {
			want = 0x10000 - 4
		}
		for want > 0 {
			near.SetReadDeadline(time.Now().Add(longTimeout))
			n, err := chunks.Read(buf)
			if err != nil {
				t.Fatalf("%.20q: %v", piece.written, err)
			}
			want -= n
		}
		if want < 0 {
			t.Fatalf("%.20q: %d bytes too many", piece.written, -want)
		}
	}
}

// flakyReader fails every other read with a timeout, and returns what it reads in random pieces.
type flakyReader struct {
	r      io.Reader
	random *rand.Rand
	failed bool
}

func (f *flakyReader) Read(p []byte) (int, error) {
	if f.failed = !f.failed; f.failed {
		return 0, os.ErrDeadlineExceeded
	}
	return f.r.Read(p[:1+f.random.IntN(min(len(p), 7))])
}

// readThroughTimeouts reads to the end or to an error that is no timeout.
func readThroughTimeouts(r io.Reader, size int) (text []byte, err error) {
	buf := make([]byte, size)
	for {
		n, err := r.Read(buf)
		text = append(text, buf[:n]...)
		switch {
		case err == io.EOF:
			return text, nil
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return text, err
		}
	}
}

// Whatever its segmentation and wherever reads time out, a body is read as by net/http's reader, of
// which the trailer and what follows are no part.
func TestChunkReaderAgreesWithNetHTTP(t *testing.T) {
	random := rand.New(rand.NewPCG(35, 337))
	for range 3000 {
		var text strings.Builder
		for range random.IntN(6) {
			n := 1 + random.IntN(40)
			extension := []string{"", "", ";a", ";a=\"b\"", " ;a"}[random.IntN(5)]
			fmt.Fprintf(&text, "%x%s\r\n%s\r\n", n, extension, strings.Repeat("x", n))
		}
		text.WriteString("0\r\n")
		if random.IntN(3) == 0 {
			text.WriteString("A: b\r\n")
		}
		text.WriteString("\r\n")
		coded := []byte(text.String())
		if random.IntN(3) == 0 { // any byte is replaced or all from there on is missing
			at := random.IntN(len(coded))
			if random.IntN(2) == 0 {
				coded[at] = "\r\n0fxg; -"[random.IntN(9)]
			} else {
				coded = coded[:at]
			}
		}
		wantText, wantErr := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(string(coded))))
		gotText, gotErr := readThroughTimeouts(newChunkReader(&flakyReader{strings.NewReader(string(coded)), random, false}), 1+random.IntN(60))
		switch {
		case wantErr != nil && gotErr == nil:
			t.Fatalf("%q is accepted, though invalid: %v", coded, wantErr)
		case wantErr == nil && gotErr == nil && string(gotText) != string(wantText):
			t.Fatalf("%q: %q, want %q", coded, gotText, wantText)
		case wantErr == nil && gotErr != nil && !invalidEnd(coded):
			t.Fatalf("%q: %v, want %q", coded, gotErr, wantText)
		}
	}
}

// invalidEnd reports whether the trailer is not whole or is invalid, which net/http's reader does not read.
func invalidEnd(coded []byte) bool {
	chunks := newChunkReader(strings.NewReader(string(coded)))
	for {
		if _, err := chunks.Read(make([]byte, 100)); err != nil {
			return chunks.state == chunkTrailer
		}
	}
}

// Invalid chunks, and lines without a bound, are errors.
func TestInvalidChunks(t *testing.T) {
	for name, text := range map[string]string{
		"no size":              "\r\nx\r\n0\r\n\r\n",
		"a sign":               "+1\r\nx\r\n0\r\n\r\n",
		"a prefix":             "0x1\r\nx\r\n0\r\n\r\n",
		"an underscore":        "1_0\r\n" + strings.Repeat("x", 16) + "\r\n0\r\n\r\n",
		"2^63 bytes":           "8000000000000000\r\nx",
		"2^64 bytes":           "10000000000000000\r\nx",
		"a bare line feed":     "1\nx\r\n0\r\n\r\n",
		"a return in a line":   "1;\r;\r\nx\r\n0\r\n\r\n",
		"more than its size":   "1\r\nxy\r\n0\r\n\r\n",
		"less than its size":   "3\r\nx\r\n0\r\n\r\n",
		"an endless line":      "1;" + strings.Repeat("x", 1<<20),
		"much besides data":    strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\nx\r\n", 20) + "0\r\n\r\n",
		"an endless trailer":   "0\r\n" + strings.Repeat("A: b\r\n", 100_000) + "\r\n",
		"a bare trailer":       "0\r\n0\r\n\r\n",
		"a folded trailer":     "0\r\nA: b\r\n c\r\n\r\n",
		"a space in a trailer": "0\r\nA : b\r\n\r\n",
		"no end":               "1\r\nx\r\n",
		"no end of a trailer":  "0\r\nA: b\r\n",
	} {
		if text, err := io.ReadAll(newChunkReader(iotest.OneByteReader(strings.NewReader(text)))); err == nil {
			t.Errorf("%s: %d bytes were accepted as a body", name, len(text))
		}
	}
}
