package rig

import (
	"net"
	"time"
)

// Delayed is the address of a proxy before an address, which passes everything on after a delay in
// each direction, in order, like a network path.
func Delayed(to string, by time.Duration) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go passOn(c, u, by)
			go passOn(u, c, by)
		}
	}()
	return l.Addr().String(), nil
}

type piece struct {
	data []byte
	due  time.Time
}

// passOn passes on what one side sends, and its end.
func passOn(from, to net.Conn, by time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			to.Write(p.data)
		}
		to.Close()
	}()
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 {
			pieces <- piece{b[:n], time.Now().Add(by)}
		}
		if err != nil {
			time.Sleep(by)
			close(pieces)
			return
		}
	}
}
