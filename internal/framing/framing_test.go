package framing

import "testing"

func TestCheck(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\n"
	for _, c := range []struct {
		head string
		want Head
		err  error
	}{
		{start + "Host: a\r\n\r\n", Head{Length: -1}, nil},
		{start + "content-length:  12 \r\n\r\n", Head{Length: 12}, nil},
		{start + "connection: Close\r\n\r\n", Head{Length: -1, Close: true}, nil},
		{start + "Transfer-Encoding: Chunked\r\n\r\n", Head{Length: -1, Chunked: true}, nil},
		{start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", Head{}, errAmbiguous},
		{start + "transfer-encoding: chunked\r\nCONTENT-LENGTH: 0\r\n\r\n", Head{}, errAmbiguous},
		{start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", Head{}, errLength},
		{start + "Content-Length: 3, 3\r\n\r\n", Head{}, errLength},
		{start + "Content-Length: -1\r\n\r\n", Head{}, errLength},
		{start + "Content-Length: +1\r\n\r\n", Head{}, errLength},
		{start + "Content-Length: 99999999999999999999\r\n\r\n", Head{}, errLength},
		{start + "Transfer-Encoding: gzip, chunked\r\n\r\n", Head{}, errCoding},
		{start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", Head{}, errCoding},
		{start + "Content-Length : 3\r\n\r\n", Head{}, errField},
		{start + " folded: 3\r\n\r\n", Head{}, errField},
		{start + "noise\r\n\r\n", Head{}, errField},
		{start + "Host: a\nContent-Length: 3\r\n\r\n", Head{}, errLine},
		{start + "Host: a\n\n", Head{}, errLine},
	} {
		if n := End([]byte(c.head + "body")); n != len(c.head) {
			t.Errorf("%q ends after %d of %d bytes", c.head, n, len(c.head))
		}
		if n := End([]byte(c.head[:len(c.head)-1])); n != 0 {
			t.Errorf("%q ends after %d bytes although its last byte is missing", c.head, n)
		}
		switch got, err := Check([]byte(c.head)); {
		case err != c.err:
			t.Errorf("%q: error %v, want %v", c.head, err, c.err)
		case err == nil && got != c.want:
			t.Errorf("%q: %+v, want %+v", c.head, got, c.want)
		}
	}
}

// Guards against a request of HTTP/1.0 that counts as chunked here and as one without a body for
// net/http, which then takes its body for the next request.
func TestTransferCodingNeedsItsVersion(t *testing.T) {
	const fields = "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for line, want := range map[string]error{
		"POST /a HTTP/1.1": nil, "POST /a HTTP/1.9": nil,
		"POST /a HTTP/1.0": errVersion, "POST /a HTTP/0.9": errVersion, "POST /a HTTP/2.0": errVersion, "POST /a": errVersion,
		"POST /a HTTP/1.0 HTTP/1.1": errVersion, "POST  /a HTTP/1.1": errVersion, "POST /a HTTP/1.": errVersion, "POST /a HTTP/1.10": errVersion, "": errVersion,
	} {
		if _, err := CheckRequest([]byte(line + "\r\n" + fields)); err != want {
			t.Errorf("%q: error %v, want %v", line, err, want)
		}
		if _, err := CheckRequest([]byte(line + "\r\nHost: a\r\nContent-Length: 3\r\n\r\n")); err != nil {
			t.Errorf("%q with a length: %v", line, err)
		}
	}
}
