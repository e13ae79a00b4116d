package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// BenchmarkPath measures a request with a small answer through the whole sidecar on one
// connection, to an endpoint that does no work: without and with contracts, and with contracts
// and a move.
func BenchmarkPath(b *testing.B) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, c := range []struct{ name, file string }{
		{"broker=off", ""},
		{"broker=on", maps + contract("kiosks", 0.5, "service = 'maps'\nrate = 1000000\nwork = 100000")},
		{"broker=strangers", moveFile("")},
		{"move=on", moveFile("[[move]]\nname = 'm'\nservice = 'maps'\nsteps = ['50%']\nstep-time = '1h'\nbegin = 'itself'\nfrom.id-prefix = 'maps-0'\nto.id-prefix = 'maps-1'\n")},
	} {
		b.Run(c.name, func(b *testing.B) {
			s, err := scene.Start(scene.Config{Operator: c.file, Maps: []lab.EndpointConfig{{Workers: 8, Body: 512}, {Workers: 8, Body: 512}}})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			conn, err := net.Dial("tcp", s.Addr())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				fmt.Fprintf(conn, "GET /map-tile/3/7?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: path-%s-%d\r\nReq-Owner: kiosks\r\nReq-Deadline: 1000m\r\nReq-Cost: 1\r\n\r\n", c.name, i)
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != 200 {
					b.Fatal(resp, err)
				}
				io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
