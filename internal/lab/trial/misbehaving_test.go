package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spokegw/internal/lab/scene"
)

func answerStatus(status int) func(net.Conn) {
	return func(c net.Conn) {
		http.ReadRequest(bufio.NewReader(c))
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status)
		c.Close()
	}
}

// A request whose end is in doubt has to be refused or its connection closed, in time.
func TestHiddenRequestsAreJudged(t *testing.T) {
	for name, c := range map[string]struct {
		does func(net.Conn)
		lost bool
	}{
		"served":   {answerStatus(http.StatusOK), true},
		"refused":  {answerStatus(http.StatusBadRequest), false},
		"closed":   {func(c net.Conn) { c.Close() }, false},
		"ignored":  {func(c net.Conn) { io.Copy(io.Discard, c) }, true},
		"hidden":   {nil, true},
		"too late": {func(c net.Conn) { <-time.After(refusedWithin + 2*answerSlack); answerStatus(400)(c) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			made := make(chan *play, 1)
			does := c.does
			if name == "hidden" { // the first is refused, and an endpoint runs the second all the same
				does = func(c net.Conn) {
					(<-made).judge.arrives(arrival{id: "c-1-hidden", first: time.Now()})
					answerStatus(http.StatusBadRequest)(c)
				}
			}
			p, cl := scripted(t, does)
			made <- p
			(&misbehaving{client: *cl}).hideRequest(0, false)
			if n := len(p.judge.broken); (n > 0) != c.lost {
				t.Errorf("%d violations: %v; lost is expected: %t", n, p.judge.broken, c.lost)
			}
		})
	}
}

// The id of a request may be served again once that has been answered, and not while it is open.
func TestReusedIDsAreJudged(t *testing.T) {
	for name, c := range map[string]struct {
		firstEnds bool
		status    int
		lost      bool
	}{
		"open, and served again":     {false, http.StatusOK, true},
		"open, and refused":          {false, http.StatusConflict, false},
		"answered, and served again": {true, http.StatusOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int32
			p, cl := scripted(t, func(conn net.Conn) {
				defer conn.Close()
				if connections.Add(1) == 1 {
					if c.firstEnds {
						answerStatus(http.StatusServiceUnavailable)(conn)
						return
					}
					io.Copy(io.Discard, conn)
					return
				}
				answerStatus(c.status)(conn)
			})
			m := &misbehaving{client: *cl, flooded: true}
			m.reuseID(context.Background())
			if n := len(p.judge.broken); (n > 0) != c.lost {
				t.Errorf("%d violations: %v; lost is expected: %t", n, p.judge.broken, c.lost)
			}
		})
	}
}

func decode(t *testing.T, text []byte) (file map[string]any, classes map[string]map[string]any) {
	t.Helper()
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, nil
	}
	classes = map[string]map[string]any{}
	for _, c := range file["settings"].(map[string]any)["classes"].([]any) {
		class := c.(map[string]any)
		classes[class["name"].(string)] = class
	}
	return file, classes
}

func wholeConfiguration() []byte {
	var classes []scene.Class
	for _, k := range defaultClasses {
		classes = append(classes, k.definition())
	}
	return scene.Configuration(scene.Platform{Registry: "127.0.0.1:1", Classes: classes})
}

// A broken file is no JSON, or differs from the whole one in one key of one class.
func TestBrokenFilesAreBroken(t *testing.T) {
	whole := wholeConfiguration()
	_, classes := decode(t, whole)
	seen := map[string]bool{}
	for seed := range uint64(500) {
		text, how := brokenFile(whole, brokenKind(seed)%brokenKinds, rand.New(rand.NewPCG(seed, 1)))
		seen[strings.Split(how, ",")[0]] = true
		_, broken := decode(t, text)
		if broken == nil {
			continue
		}
		different := 0
		for name, class := range classes {
			for key, value := range class {
				if !reflect.DeepEqual(broken[name][key], value) {
					different++
				}
			}
		}
		if different != 1 {
			t.Errorf("seed %d, %s: %d keys differ, want one", seed, how, different)
		}
	}
	if len(seen) < 9 {
		t.Errorf("only these kinds occur: %v", seen)
	}
}

// A whole file with another class has all that it had, and the class.
func TestFileWithAnotherClassIsWhole(t *testing.T) {
	whole := wholeConfiguration()
	_, before := decode(t, whole)
	for i, extra := range extraClasses {
		_, after := decode(t, withClass(whole, rand.New(rand.NewPCG(uint64(i), 1)), extra))
		added := after[extra.name]
		delete(after, extra.name)
		if !reflect.DeepEqual(before, after) || added["effect"] != effects[extra.effect] {
			t.Errorf("class %s: %v, added %v", extra.name, after, added)
		}
		if _, scoped := added["key_scope"]; scoped != (extra.effect == keyed) {
			t.Errorf("class %s: key_scope %t", extra.name, scoped)
		}
	}
}
