package http1

import (
	"net"
	"net/http"
	"runtime"
	"strconv"
	"syscall"
	"testing"
)

// BenchmarkIdle measures the memory of a connection that is idle after a request. Its
// clients are bare sockets, which use no memory of the process itself.
func BenchmarkIdle(b *testing.B) {
	const connections = 4000 // each uses two descriptors here
	s := startWith(b, Config{Limit: 2 * connections, BusyThreshold: 2 * connections}, nil, listenEndpoint(b, echo(func(*http.Request) {})))
	addr := s.Addr().(*net.TCPAddr)
	to := &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	buf := make([]byte, 4096)
	var before, after runtime.MemStats
	for b.Loop() {
		var fds []int
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range connections {
			fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
			if err != nil {
				b.Fatal(err)
			}
			fds = append(fds, fd)
			if err := syscall.Connect(fd, to); err != nil {
				b.Fatal(err)
			}
			if _, err := syscall.Write(fd, []byte(tile(strconv.Itoa(i)))); err != nil {
				b.Fatal(err)
			}
			if n, err := syscall.Read(fd, buf); n <= 0 {
				b.Fatal(n, err)
			}
		}
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap, stacks := float64(after.HeapAlloc)-float64(before.HeapAlloc), float64(after.StackInuse)-float64(before.StackInuse)
		b.ReportMetric(heap/connections, "heap-B/conn")
		b.ReportMetric(stacks/connections, "stack-B/conn")
		for _, fd := range fds {
			syscall.Close(fd)
		}
	}
}
