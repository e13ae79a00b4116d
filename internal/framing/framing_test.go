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
