package sidecar_test

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/disk"
	"spokegw/internal/lab/scene"
	"spokegw/internal/state"
	"spokegw/internal/state/keystore"
)

// A disk that hangs or fails blocks nothing: the sidecar starts, answers, reloads files, begins
// and undoes moves, and shuts down.
func TestDiskHangs(t *testing.T) {
	operator := moveFile(moveToPod1) + "\n[state]\ndirectory = \"/state\"\n"
	for name, breakDisk := range map[string]func(*disk.Disk){
		"from the start": func(d *disk.Disk) { d.Hang() },
		"gone":           func(d *disk.Disk) { d.Fail(fmt.Errorf("input/output error")) },
	} {
		t.Run(name, func(t *testing.T) {
			d := disk.New(1)
			breakDisk(d)
			t.Cleanup(d.Answer) // after the scene has been closed
			s := startReady(t, scene.Config{Maps: twoPods(nil, nil), Operator: operator, Disk: d})
			if a := ask(t, s, tile("a")); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			must(t, s, "begin-move new")
			if err := s.Reload(strings.Replace(operator, `"5%"`, `"6%"`, 1)); err != nil {
				t.Error(err)
			}
			must(t, s, "undo-move new")
			awaitPhase(t, s, "undone")
			s.Stop()
			if err := s.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A sidecar restarted with only some of its services restores their state, and ignores that of
// the others.
func TestServiceRemovedBetweenStarts(t *testing.T) {
	weather := endpoint(t, lab.EndpointConfig{Workers: 1, Body: 10})
	file := func(more string) string { return moveFile("\n[state]\ndirectory = \"/state\"\n" + more) }
	both := file(fmt.Sprintf("[[service]]\nname = \"weather\"\nendpoints = [%q]\n[[service.class]]\nname = \"forecast\"\neffect = \"safe\"\naim = \"400ms\"\ndeadline = \"1s\"\n", weather.Addr()))
	d := disk.New(1)
	for restart, operator := range []string{both, file(""), both} {
		s := startReady(t, scene.Config{Maps: twoPods(nil, nil), Operator: operator, Disk: d})
		if restart == 0 {
			must(t, s, "disable-server maps-0")
			must(t, s, "disable-server "+weather.Addr())
		}
		if a := ask(t, s, tile("")); a.status != 200 {
			t.Errorf("start %d: status %d", restart, a.status)
		}
		text := must(t, s, "show-members")
		mapsDisabled, weatherDisabled := 0, 0
		for line := range strings.Lines(text) {
			if strings.Contains(line, "avoided=disabled") {
				mapsDisabled += strings.Count(line, "id=maps-0 ")
				weatherDisabled += strings.Count(line, "service=weather")
			}
		}
		if mapsDisabled != 1 || weatherDisabled != map[int]int{0: 1}[restart] {
			t.Errorf("start %d: %d endpoints of maps and %d of weather are disabled:\n%s", restart, mapsDisabled, weatherDisabled, text)
		}
		s.Stop()
		if err := s.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// A keyed request that the old process sends after its successor has taken over is persisted by
// the successor, so it survives a kill of both. With "before" it is persisted, and known to the
// successor, before the endpoint receives the request.
func TestPredecessorKeysPersisted(t *testing.T) {
	for _, mode := range []string{"soon", "before"} {
		t.Run(mode, func(t *testing.T) { testPredecessorKeysPersisted(t, mode) })
	}
}

func testPredecessorKeysPersisted(t *testing.T, mode string) {
	const keys = 8
	var next atomic.Pointer[scene.Scene]
	var seen, unknown atomic.Int32
	onRequest := func(*http.Request) {
		if n := seen.Add(1); mode == "before" && next.Load().Sidecar.KeysKnown() < int(n) {
			unknown.Add(1)
		}
	}
	folder := t.TempDir()
	c := scene.Config{Listen: reserveAddr(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: keys, Seen: onRequest}}, Deadline: 9 * time.Second, Window: 30 * time.Second,
		Operator: moveFile(fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = %q\n", folder, mode))}
	old := startReady(t, c)
	var conns []net.Conn // to the old process, as only that accepts connections yet
	for range keys {
		conns = append(conns, connect(t, old.Addr()))
	}
	c.Maps, c.Beside = nil, old
	next.Store(startReady(t, c))
	for i, conn := range conns {
		sendReport(t, conn, fmt.Sprint("told-", i), fmt.Sprint("key-", i))
		if status := readStatus(t, conn); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if n := unknown.Load(); n > 0 {
		t.Errorf("%d of %d requests reached the endpoint before their keys were persisted", n, seen.Load())
	}
	for until := time.Now().Add(testTimeout); next.Load().Sidecar.KeysKnown() < keys; must(t, next.Load(), "ready") {
		if time.Now().After(until) { // the old process's messages may still be in flight
			t.Fatalf("the successor knows only %d keys", next.Load().Sidecar.KeysKnown())
		}
	}
	for _, s := range []*scene.Scene{old, next.Load()} {
		s.Stop()
		if err := s.Wait(); err != nil {
			t.Error(err)
		}
	}
	store, err := keystore.Open(state.Path(folder, "lab", "keys"), state.Now)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if all, _, _, err := store.Load(); err != nil || len(all) != keys {
		t.Errorf("%d keys are on disk, %d were sent: %v", len(all), keys, err)
	}
}

// If the successor can't open the file of keys, a keyed request that the old process has yet to
// send is refused at once and reaches no endpoint.
func TestPredecessorKeyNotPersistable(t *testing.T) {
	folder := t.TempDir()
	var seen atomic.Int32
	c := scene.Config{Listen: reserveAddr(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 4, Seen: func(*http.Request) { seen.Add(1) }}}, Deadline: 9 * time.Second, Window: 30 * time.Second,
		Operator: moveFile(fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = \"before\"\n", folder))}
	old := startReady(t, c)
	conn := connect(t, old.Addr())
	file := state.Path(folder, "lab", "keys")
	if err := errors.Join(os.Rename(file, file+".old"), os.Mkdir(file, 0o700)); err != nil {
		t.Fatal(err)
	}
	c.Maps, c.Beside = nil, old
	startReady(t, c)
	started := time.Now()
	sendReport(t, conn, "told", "key")
	if status := readStatus(t, conn); status != 503 || seen.Load() > 0 {
		t.Errorf("status %d, and %d requests reached the endpoint", status, seen.Load())
	}
	if took := time.Since(started); took > 8*time.Second {
		t.Errorf("the request is refused only after %v", took)
	}
}

// A corrupted part of an image loses only that part: an endpoint that an operator disabled
// stays disabled.
func TestCorruptedImage(t *testing.T) {
	folder := t.TempDir()
	operator := moveFile(fmt.Sprintf("\n[state]\ndirectory = %q\n", folder))
	s := startReady(t, scene.Config{Maps: twoPods(nil, nil), Operator: operator})
	must(t, s, "disable-server maps-0")
	s.Stop()
	if err := s.Wait(); err != nil {
		t.Fatal(err)
	}
	path := state.Path(folder, "lab", "state")
	image, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	at := bytes.LastIndex(image, []byte(`"Kind":"members"`))
	image[at+2] ^= 1
	if err := os.WriteFile(path, image, 0o600); err != nil {
		t.Fatal(err)
	}
	s = startReady(t, scene.Config{Maps: twoPods(nil, nil), Operator: operator})
	if text := must(t, s, "show-members"); strings.Count(text, "avoided=disabled") != 1 {
		t.Errorf("%s", text)
	}
}

// The time that a process takes to start, after it received or read a key, counts toward the
// age of the key.
func TestKeyAgeIncludesStartTime(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, fromDisk := range []bool{false, true} {
		c := scene.Config{Listen: reserveAddr(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 1}}, Deadline: 9 * time.Second, Window: 30 * time.Second,
			Operator: moveFile(fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = \"before\"\n", t.TempDir()))}
		old := startReady(t, c)
		conn := connect(t, old.Addr())
		sent := time.Now()
		sendReport(t, conn, "first", "key")
		if status := readStatus(t, conn); status != 200 {
			t.Fatalf("status %d", status)
		}
		took := time.Since(sent)
		if fromDisk {
			old.Stop()
			old.Wait()
		}
		c.Maps, c.Beside, c.Made = nil, old, func() { <-time.After(pause) }
		next := startReady(t, c)
		minAge := time.Since(sent) - took
		if age := next.Sidecar.KeyAge(); age < minAge {
			t.Errorf("read from disk %t: the key's age is %v, want at least %v", fromDisk, age, minAge)
		}
		for _, s := range []*scene.Scene{old, next} {
			if s.Stop(); s.Wait() != nil {
				t.Error(s.Wait())
			}
		}
	}
}

// A disk that hangs does not keep a stop beyond the earliest kill.
func TestStopWithHangingDiskEndsBeforeTheKill(t *testing.T) {
	const deadline, kill = 100 * time.Millisecond, 800 * time.Millisecond
	d := disk.New(1)
	t.Cleanup(d.Answer) // after the scene has been closed
	s := startReady(t, scene.Config{Maps: twoPods(nil, nil), Aim: deadline / 2, Deadline: deadline, Disk: d,
		Operator: moveFile(moveToPod1) + "\n[state]\ndirectory = \"/state\"\n"})
	if a := ask(t, s, tile("a")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	d.Hang()
	signalled := time.Now()
	s.Stop()
	if err := s.Wait(); err != nil {
		t.Error(err)
	}
	if took := time.Since(signalled); took >= kill {
		t.Errorf("the stop took %v", took)
	}
}
