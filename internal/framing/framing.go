// Package framing checks the heads of HTTP/1.1 messages more strictly than net/http
// does. net/http resolves ambiguities silently and in its own way: it drops
// Content-Length when Transfer-Encoding is present, accepts a bare line feed as the end
// of a line, and merges equal lengths. Two peers that resolve them differently disagree
// on where a message ends, and what one takes for a body the other takes for the next
// message (request smuggling). So whatever leaves the end of a message ambiguous is an
// error here, however it could be resolved.
//
// This rejects sloppy peers that are harmless: those that end lines with a bare line
// feed, fold headers, or use a coding other than chunked.
package framing

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHead is the longest head of a message in bytes. It fits into a read buffer of that
// size.
const MaxHead = 8 << 10

// MaxFields is how many fields a request's head may have. Parsed, a field takes up to a hundred
// times the bytes that it was sent in.
const MaxFields = 128

// CountFields counts the lines of a complete head that are fields.
func CountFields(head []byte) int { return max(bytes.Count(head, crlf)-2, 0) }

// Head is what a head states about the length of its body.
type Head struct {
	Length  int64 // Content-Length; -1: absent
	Chunked bool

	// From the Connection header: whether the connection closes after this message or
	// is to be kept, where the version's default differs.
	Close, KeepAlive bool
}

var (
	errLine      = errors.New("a line of the head does not end in CRLF or contains control characters")
	errField     = errors.New("a line of the head is not a valid header field")
	errLength    = errors.New("Content-Length is invalid or appears twice")
	errCoding    = errors.New("Transfer-Encoding is not chunked or appears twice")
	errVersion   = errors.New("Transfer-Encoding is present in a version of HTTP without transfer codings")
	errAmbiguous = errors.New("both Content-Length and Transfer-Encoding are present")
)

// End returns the length of the head that b begins with, including its empty line; 0 if
// b does not hold all of it. It ends a head where the most lenient reader would, so
// that Check refuses a head that strict readers would continue to read.
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

// CheckRequest parses the complete head of a request. Of the start line it checks only what the end
// of the message depends on: HTTP/1.0 has no transfer codings, so that some readers ignore
// Transfer-Encoding in it and take the body for the next request (RFC 9112 section 6.1).
func CheckRequest(head []byte) (Head, error) {
	h, err := Check(head)
	if err == nil && h.Chunked && !hasTransferCodings(head) {
		err = errVersion
	}
	return h, err
}

// hasTransferCodings reports whether the version in a request line is HTTP/1.1 or a later minor one.
func hasTransferCodings(head []byte) bool {
	const version = "HTTP/1."
	line, _, _ := bytes.Cut(head, crlf)
	_, afterMethod, _ := bytes.Cut(line, space)
	_, protocol, _ := bytes.Cut(afterMethod, space)
	minor, found := bytes.CutPrefix(protocol, []byte(version))
	return found && len(minor) == 1 && '1' <= minor[0] && minor[0] <= '9'
}

// Check parses a complete head. It does not check the content of the start line.
func Check(head []byte) (Head, error) {
	h := Head{Length: -1}
	for n := 0; len(head) > 0; n++ {
		line, rest, ok := bytes.Cut(head, crlf)
		if !ok || !validLine(line, n > 0) {
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

var crlf, colon, space = []byte("\r\n"), []byte(":"), []byte(" ")

// Classes of bytes in a head (RFC 9110 sections 5.5 and 5.6.2).
const (
	inToken uint8 = 1 << iota
	inField
	inStart  // the start line is checked only for line ends and NUL
	inTarget // the target of a plain request
	inHost   // the host of a plain request: a name or an address, and a port
)

var byteClasses = func() (k [256]uint8) {
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

// validLine reports whether a line contains no line end, and, if it is a header field,
// no other control characters either.
func validLine(line []byte, field bool) bool {
	class := inStart
	if field {
		class = inField
	}
	for _, c := range line {
		if byteClasses[c]&class == 0 {
			return false
		}
	}
	return true
}

// IsField reports whether a line without its end is a header or trailer field.
func IsField(line []byte) bool {
	name, _, found := bytes.Cut(line, colon)
	return found && isToken(name) && validLine(line, true)
}

// isToken reports whether name is a valid field name. This excludes a space before the
// colon, and folded lines.
func isToken(name []byte) bool {
	for _, c := range name {
		if byteClasses[c]&inToken == 0 {
			return false
		}
	}
	return len(name) > 0
}
