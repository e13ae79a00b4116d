package sidecar_test

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// podEntries lists pods in a registry under the ids and cells that they have in an operator's file.
func podEntries(pods []*lab.Endpoint) (all []discovery.Entry) {
	for _, p := range pods {
		h := fnv.New32a()
		io.WriteString(h, p.Addr())
		all = append(all, discovery.Entry{ID: p.Addr(), Addr: p.Addr(), State: "active", Cell: int(h.Sum32() >> 1), Weight: 1})
	}
	return all
}

// keyedPost is a keyed request without the last byte of its body.
func keyedPost(key, id string) string {
	return fmt.Sprintf("POST /closures/3 HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Owner: kiosks\r\nReq-Deadline: 300m\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\nx", id, key)
}

// restOfBody ends a keyedPost.
const restOfBody = "y"

// keyFiles are operator's files: with the service and its endpoints, with a registry for them, without the
// service.
type keyFiles struct{ listed, registered, without string }

// keysAcrossReload opens keyed requests, calls reload, which has them sent by calling send, and repeats
// them. It checks that each key went to one pod.
func keysAcrossReload(t *testing.T, reload func(s *scene.Scene, files keyFiles, send func())) {
	t.Helper()
	const keys = 12
	runs := &keyRuns{at: map[string][]int{}}
	pods := runs.pods(t, 4)
	registry, err := lab.StartRegistry(podEntries(pods), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	allowed := contract("kiosks", 0.5, "service = 'closures'", "service = 'maps'")
	withFile := maps + closures(pods) + allowed
	before, rest, _ := strings.Cut(closures(pods), "endpoints = [")
	_, after, _ := strings.Cut(rest, "]")
	withRegistry := maps + before + fmt.Sprintf("registry = %q", registry.Addr()) + after + allowed
	s := start(t, scene.Config{Operator: withFile})
	var open []net.Conn
	for i := range keys {
		c := connect(t, s.Addr())
		io.WriteString(c, keyedPost(fmt.Sprint("key-", i), fmt.Sprint("first-", i)))
		open = append(open, c)
	}
	for s.Sidecar.OpenRequestsOf("closures") < keys {
		<-time.After(time.Millisecond)
	}
	finish := func(c net.Conn, text string) {
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		io.ReadAtLeast(c, make([]byte, 100), 12) // a status line
	}
	finishAll := func(finish func(i int, c net.Conn)) {
		var sending sync.WaitGroup
		for i, c := range open {
			sending.Go(func() { finish(i, c) })
		}
		sending.Wait()
	}
	reload(s, keyFiles{withFile, withRegistry, maps + contract("kiosks", 0.5, "service = 'maps'")}, func() {
		finishAll(func(_ int, c net.Conn) { finish(c, restOfBody) })
	})
	finishAll(func(i int, _ net.Conn) {
		finish(connect(t, s.Addr()), keyedPost(fmt.Sprint("key-", i), fmt.Sprint("again-", i))+restOfBody)
	})
	runs.checkOnePodEach(t, keys)
}

func reloadAll(t *testing.T, s *scene.Scene, files ...string) {
	t.Helper()
	for _, text := range files {
		if err := s.Reload(text); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against keys that a service's open requests send after another source of its endpoints has been
// taken over, and that the service in force does not know of.
func TestKeysOfOpenRequestsAcrossNewSource(t *testing.T) {
	keysAcrossReload(t, func(s *scene.Scene, files keyFiles, send func()) {
		reloadAll(t, s, files.registered)
		send()
	})
}

// Guards against keys that are forgotten when a service is dropped from the file and added again while
// its requests are open.
func TestKeysOfOpenRequestsOfServiceAddedAgain(t *testing.T) {
	keysAcrossReload(t, func(s *scene.Scene, files keyFiles, send func()) {
		reloadAll(t, s, files.without, files.listed)
		send()
	})
}

// Guards against keys that are forgotten with a service that is dropped from the file, and added again
// when its requests have ended.
func TestKeysOfServiceAddedAgainLater(t *testing.T) {
	keysAcrossReload(t, func(s *scene.Scene, files keyFiles, send func()) {
		send()
		reloadAll(t, s, files.without)
		for s.Sidecar.RetiredServices() > 0 {
			<-time.After(time.Millisecond)
		}
		reloadAll(t, s, files.listed)
	})
}
