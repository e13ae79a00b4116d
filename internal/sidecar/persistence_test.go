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

// A disk that does not answer holds up nothing: the sidecar starts, answers, takes over
// files, lets moves begin and go back, and ends. With one that is gone it is the same.
func TestDiskHangs(t *testing.T) {
	operator := moveFile(moveToPod1) + "\n[state]\ndirectory = \"/state\"\n"
	for name, spoil := range map[string]func(*disk.Disk){
		"from the start": func(d *disk.Disk) { d.Hang() },
		"gone":           func(d *disk.Disk) { d.Fail(fmt.Errorf("input/output error")) },
	} {
		t.Run(name, func(t *testing.T) {
			d := disk.New(1)
			spoil(d)
			t.Cleanup(d.Answer) // after the scene has ended
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

// A sidecar that comes back with half of its services has what it knew of those, and
// nothing is made of the rest.
func TestServicesGone(t *testing.T) {
	weather := endpoint(t, lab.EndpointConfig{Workers: 1, Body: 10})
	file := func(more string) string { return moveFile("\n[state]\ndirectory = \"/state\"\n" + more) }
	both := file(fmt.Sprintf("[[service]]\nname = \"weather\"\nendpoints = [%q]\n[[service.class]]\nname = \"forecast\"\neffect = \"safe\"\naim = \"400ms\"\ndeadline = \"1s\"\n", weather.Addr()))
	d := disk.New(1)
	for life, operator := range []string{both, file(""), both} {
		s := startReady(t, scene.Config{Maps: twoPods(nil, nil), Operator: operator, Disk: d})
		if life == 0 {
			must(t, s, "disable-server maps-0")
			must(t, s, "disable-server "+weather.Addr())
		}
		if a := ask(t, s, tile("")); a.status != 200 {
			t.Errorf("life %d: status %d", life, a.status)
		}
		text := must(t, s, "show-members")
		maps, gone := 0, 0
		for line := range strings.Lines(text) {
			if strings.Contains(line, "avoided=disabled") {
				maps += strings.Count(line, "id=maps-0 ")
				gone += strings.Count(line, "service=weather")
			}
		}
		if maps != 1 || gone != map[int]int{0: 1}[life] {
			t.Errorf("life %d: %d of maps, %d of weather are disabled:\n%s", life, maps, gone, text)
		}
		s.Stop()
		if err := s.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// A keyed request that the old process sends when the new one has taken over is on the
// new one's disk: after a kill of both it is known. With "before" it is there, and known to
// the new one, before the endpoint has the request.
func TestToldKeysAreKept(t *testing.T) {
	for _, mode := range []string{"soon", "before"} {
		t.Run(mode, func(t *testing.T) { toldKeysAreKept(t, mode) })
	}
}

func toldKeysAreKept(t *testing.T, mode string) {
	const keys = 8
	var next atomic.Pointer[scene.Scene]
	var seen, unknown atomic.Int32
	look := func(*http.Request) {
		if n := seen.Add(1); mode == "before" && next.Load().Sidecar.KeysKnown() < int(n) {
			unknown.Add(1)
		}
	}
	folder := t.TempDir()
	c := scene.Config{Listen: address(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: keys, Seen: look}}, Deadline: 9 * time.Second, Window: 30 * time.Second,
		Operator: moveFile(fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = %q\n", folder, mode))}
	old := startReady(t, c)
	var kept []net.Conn // to the old one, as it alone accepts yet
	for range keys {
		kept = append(kept, connect(t, old.Addr()))
	}
	c.Maps, c.Beside = nil, old
	next.Store(startReady(t, c))
	for i, conn := range kept {
		sendReport(t, conn, fmt.Sprint("told-", i), fmt.Sprint("key-", i))
		if status := answered(t, conn); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if n := unknown.Load(); n > 0 {
		t.Errorf("%d of %d requests reached the endpoint before their keys were kept", n, seen.Load())
	}
	for until := time.Now().Add(patience); next.Load().Sidecar.KeysKnown() < keys; must(t, next.Load(), "ready") {
		if time.Now().After(until) { // what the old one tells is on its way
			t.Fatalf("%d keys are known", next.Load().Sidecar.KeysKnown())
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
		t.Errorf("%d keys are on the disk, %d were sent: %v", len(all), keys, err)
	}
}

// Where the new process can't open the file of keys, a keyed request that the old one
// still has to send is refused at once, and no endpoint has it.
func TestToldKeyThatCantBeKept(t *testing.T) {
	folder := t.TempDir()
	var seen atomic.Int32
	c := scene.Config{Listen: address(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 4, Seen: func(*http.Request) { seen.Add(1) }}}, Deadline: 9 * time.Second, Window: 30 * time.Second,
		Operator: moveFile(fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = \"before\"\n", folder))}
	old := startReady(t, c)
	kept := connect(t, old.Addr())
	file := state.Path(folder, "lab", "keys")
	if err := errors.Join(os.Rename(file, file+".old"), os.Mkdir(file, 0o700)); err != nil {
		t.Fatal(err)
	}
	c.Maps, c.Beside = nil, old
	startReady(t, c)
	begun := time.Now()
	sendReport(t, kept, "told", "key")
	if status := answered(t, kept); status != 503 || seen.Load() > 0 {
		t.Errorf("status %d, and %d reached the endpoint", status, seen.Load())
	}
	if took := time.Since(begun); took > 8*time.Second {
		t.Errorf("it is refused after %v", took)
	}
}

// An image that rots on the disk costs what rots, and no more: the endpoint that an
// operator has disabled is so still.
func TestRottenImage(t *testing.T) {
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

// A process takes long to start between being told of a key, or reading it, and serving: the key
// is as old there as it is.
func TestKeysGrowOlderAsAProcessStarts(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, read := range []bool{false, true} {
		c := scene.Config{Listen: address(t), Folder: t.TempDir(), Maps: []lab.EndpointConfig{{Workers: 1}}, Deadline: 9 * time.Second, Window: 30 * time.Second,
			Operator: moveFile(fmt.Sprintf("\n[state]\ndirectory = %q\nkeys = \"before\"\n", t.TempDir()))}
		old := startReady(t, c)
		conn := connect(t, old.Addr())
		sent := time.Now()
		sendReport(t, conn, "first", "key")
		if status := answered(t, conn); status != 200 {
			t.Fatalf("status %d", status)
		}
		took := time.Since(sent)
		if read {
			old.Stop()
			old.Wait()
		}
		c.Maps, c.Beside, c.Made = nil, old, func() { <-time.After(pause) }
		next := startReady(t, c)
		least := time.Since(sent) - took
		if age := next.Sidecar.KeyAge(); age < least {
			t.Errorf("read from a disk: %t: the key is %v old, %v is expected at least", read, age, least)
		}
		for _, s := range []*scene.Scene{old, next} {
			if s.Stop(); s.Wait() != nil {
				t.Error(s.Wait())
			}
		}
	}
}
