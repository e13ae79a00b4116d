package framing

import (
	"net/http"
	"strings"
)

// Request is the head of a plain request (RFC 9112 section 3): of HTTP/1.1, for a target
// in origin form, to one host, with a body of a length that is told or none.
type Request struct {
	Head
	Method, Target, Host string
	Header               http.Header // canonical names, without Host, as net/http has it
}

// ReadRequest reads a whole head of a request in one walk. Where ok is false it is not
// plain, or has a fault, and is for a reader that knows the rest of the protocol: what
// that one would refuse, or read in another way than here, is never plain. What is plain
// here and odd is left out on purpose: a target with characters that need care, a host
// that is no name and port, fields that a reader acts on.
func ReadRequest(text []byte) (r Request, ok bool) {
	head, err := Check(text)
	if err != nil || head.Chunked {
		return r, false
	}
	line, lines, _ := strings.Cut(string(text), "\r\n") // the one copy that all is part of
	line, ok = strings.CutSuffix(line, " HTTP/1.1")
	if !ok {
		return r, false
	}
	r.Method, r.Target, _ = strings.Cut(line, " ")
	if !upper(r.Method) || r.Method == http.MethodHead || !plainTarget(r.Target) {
		return r, false
	}
	r.Head, r.Header = head, fieldsOf(lines)
	for _, name := range acted {
		if r.Header[name] != nil {
			return r, false
		}
	}
	if hosts := r.Header["Host"]; len(hosts) != 1 || !all(hosts[0], inHost) {
		return r, false
	}
	r.Host = r.Header["Host"][0]
	delete(r.Header, "Host")
	return r, true
}

// acted are fields that a reader acts on or adds others for: a client that waits before
// it sends the body, one that would change the protocol, fields behind chunks, and
// Pragma, for which net/http adds Cache-Control.
var acted = []string{"Expect", "Upgrade", "Trailer", "Pragma"}

func upper(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return s != ""
}

// plainTarget reports whether a target is a path, maybe with a query, of characters that
// mean themselves (RFC 3986 section 3.3) and whole escapes.
func plainTarget(s string) bool {
	if !strings.HasPrefix(s, "/") || strings.HasPrefix(s, "//") || !all(s, inTarget) {
		return false
	}
	for {
		_, after, found := strings.Cut(s, "%")
		if !found {
			return true
		}
		if len(after) < 2 || !isHex(after[0]) || !isHex(after[1]) {
			return false
		}
		s = after[2:]
	}
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f'
}

// all reports whether a text is not empty, and each byte of it of a kind.
func all(s string, kind uint8) bool {
	for i := range len(s) {
		if kinds[s[i]]&kind == 0 {
			return false
		}
	}
	return s != ""
}
