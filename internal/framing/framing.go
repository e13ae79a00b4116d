// Package framing checks the heads of HTTP/1.1 messages more strictly than
// net/http does. net/http settles what is in doubt in its own way, and without
// telling: it drops Content-Length where Transfer-Encoding is there too, takes
// a bare line feed for the end of a line, and unites equal lengths. Two peers
// that settle it differently disagree on where a message ends, and what one
// takes for a body the other takes for the next message. So whatever leaves the
// end of a message in doubt is an error here, whichever way it does.
//
// It could do harm to a peer that is sloppy and means well: one that ends lines
// with a bare line feed, folds headers, or uses a coding other than chunked is
// turned away.
package framing

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHead bounds a message's head. It fits into a reader's buffer of that size.
const MaxHead = 8 << 10

// Head is what a head says of the length of its body.
type Head struct {
	Length  int64 // Content-Length; -1: there is none
	Chunked bool

	// What Connection says: the connection ends with this message, or, where that is
	// usual, does not.
	Close, KeepAlive bool
}

var (
	errLine      = errors.New("a line of the head does not end in CRLF or holds control characters")
	errField     = errors.New("a line of the head is no header")
	errLength    = errors.New("Content-Length is no length or stands there twice")
	errCoding    = errors.New("Transfer-Encoding is not chunked or stands there twice")
	errAmbiguous = errors.New("both Content-Length and Transfer-Encoding are there")
)

// End returns the length of the head that b begins with, its empty line
// included; 0 if b does not hold all of it. It ends a head where the most
// lenient reader would: Check then refuses what the strict ones read on.
func End(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		if line := b[i : i+n]; len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
			return i + n + 1
		}
		i += n + 1
	}
}

// Check reads a whole head. What the start line says is for others to judge.
func Check(head []byte) (Head, error) {
	h := Head{Length: -1}
	for n := 0; len(head) > 0; n++ {
		line, rest, ok := bytes.Cut(head, crlf)
		if !ok || !clean(line, n > 0) {
			return h, errLine
		}
		head = rest
		if n == 0 || len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, colon)
		if !ok || !isToken(name) {
			return h, errField
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			x, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || h.Length >= 0 {
				return h, errLength
			}
			h.Length = int64(x)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if h.Chunked || !bytes.EqualFold(value, []byte("chunked")) {
				return h, errCoding
			}
			h.Chunked = true
		case bytes.EqualFold(name, []byte("Connection")):
			h.Close = h.Close || hasToken(value, "close")
			h.KeepAlive = h.KeepAlive || hasToken(value, "keep-alive")
		}
	}
	if h.Chunked && h.Length >= 0 {
		return h, errAmbiguous
	}
	return h, nil
}

var crlf, colon = []byte("\r\n"), []byte(":")

// What a byte of a head may be in (RFC 9110 sections 5.5 and 5.6.2).
const (
	inToken uint8 = 1 << iota
	inField
	inStart  // of what the start line holds only this is judged: no line ends, no 0
	inTarget // of a plain request's
	inHost   // of a plain request's: a name or an address, and a port
)

var kinds = func() (k [256]uint8) {
	for c := range k {
		if c != 0 && c != '\r' && c != '\n' {
			k[c] |= inStart
		}
		if c >= ' ' && c != 0x7f || c == '\t' {
			k[c] |= inField
		}
		if 'a' <= c|0x20 && c|0x20 <= 'z' || '0' <= c && c <= '9' || c > 0 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0 {
			k[c] |= inToken
		}
		letter := 'a' <= c|0x20 && c|0x20 <= 'z' || '0' <= c && c <= '9'
		if letter || c < 0x7f && bytes.IndexByte([]byte("-._~!$&'()*+,;=:@/?%"), byte(c)) >= 0 {
			k[c] |= inTarget
		}
		if letter || c == '-' || c == '.' || c == ':' {
			k[c] |= inHost
		}
	}
	return k
}()

// clean reports whether a line holds nothing that ends lines, and one of a field no other
// control characters either.
func clean(line []byte, field bool) bool {
	want := inStart
	if field {
		want = inField
	}
	for _, c := range line {
		if kinds[c]&want == 0 {
			return false
		}
	}
	return true
}

// isToken reports whether name may be a header's name: no space before the
// colon, no folded line.
func isToken(name []byte) bool {
	for _, c := range name {
		if kinds[c]&inToken == 0 {
			return false
		}
	}
	return len(name) > 0
}
