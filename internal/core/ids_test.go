package core

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"spokegw/internal/figures"
)

// idQueue carries published ids to another core, which adopts them when it catches up.
type idQueue struct {
	mu     sync.Mutex
	hashes []uint64
}

// linkedIDs are the two ends of the link between two cores.
type linkedIDs struct {
	core     *Core
	out, own *idQueue
}

func (l *linkedIDs) Exist() bool { return true }

func (l *linkedIDs) PublishID(hash uint64) error {
	l.out.mu.Lock()
	defer l.out.mu.Unlock()
	l.out.hashes = append(l.out.hashes, hash)
	return nil
}

func (l *linkedIDs) CatchUp() error {
	l.own.mu.Lock()
	defer l.own.mu.Unlock()
	for _, h := range l.own.hashes {
		l.core.AdoptID(h)
	}
	l.own.hashes = nil
	return nil
}

func (l *linkedIDs) AnnounceOpenIDs() {
	for _, h := range l.core.OpenIDs() {
		l.PublishID(h)
	}
}

// An id that comes to two processes at the same time is sent by one of them at most, and by none that has
// been told of it before.
func TestIDIsClaimedByOneProcess(t *testing.T) {
	toA, toB := new(idQueue), new(idQueue)
	a, b := &Core{ids: newRequestIDs()}, &Core{ids: newRequestIDs()}
	b.AdoptIDs(a.RecentIDs())
	a.SetIDPeers(&linkedIDs{a, toB, toA})
	b.SetIDPeers(&linkedIDs{b, toA, toB})
	for i := range 2000 {
		id := fmt.Sprint(i)
		var claims [2]bool
		var claiming sync.WaitGroup
		for n, c := range []*Core{a, b} {
			claiming.Go(func() { _, claims[n], _ = c.claimID(id) })
		}
		claiming.Wait()
		if claims[0] && claims[1] {
			t.Fatalf("id %s was claimed twice", id)
		}
		for _, c := range []*Core{b, a} {
			if _, again, _ := c.claimID(id); again {
				t.Fatalf("id %s was claimed again", id)
			}
		}
		if _, first, _ := a.claimID("first-" + id); !first {
			t.Fatalf("a new id was not claimed")
		}
		if _, second, _ := b.claimID("first-" + id); second {
			t.Fatalf("the id of another process was claimed")
		}
	}
}

// playRequests opens and ends a number of requests with ids of their own.
func playRequests(t *testing.T, c *Core, series string, n int) {
	t.Helper()
	for i := range n {
		id, claimed, err := c.claimID(fmt.Sprint(series, "-", i))
		if !claimed || err != nil {
			t.Fatalf("request %d of %s is not claimed: %v", i, series, err)
		}
		id.end()
	}
}

// openStatus returns the status with which another request with an id is refused; 0: it is not.
func openStatus(c *Core, id string) int {
	x, refused := c.Open(&Head{Method: "POST", Target: "/order", Host: "b", Header: http.Header{"Req-Id": {id}, "Req-Deadline": {"20000m"}, "Idempotency-Key": {"other"}}})
	if refused != nil {
		return refused.Status
	}
	x.Drop(nil)
	return 0
}

// answeringEndpoint is an endpoint that answers each connection's request when release is closed.
func answeringEndpoint(t *testing.T, release <-chan struct{}) (addr string, received chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	received = make(chan struct{}, 16)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		received <- struct{}{}
		<-release
	}))
	return l.Addr().String(), received
}

// Guards against the id of an open request that is served again because many others have come since: while
// its body arrives, while an endpoint runs it, and while its answer is read.
func TestOpenIDIsInUseHoweverManyFollow(t *testing.T) {
	release := make(chan struct{})
	addr, received := answeringEndpoint(t, release)
	c, _ := newOrderCore(t, time.Minute, 10*time.Second, addr)
	checkInUse := func(phase string, counts ...int) {
		t.Helper()
		for _, others := range append([]int{0, 10, 100_000}, counts...) {
			playRequests(t, c, fmt.Sprint(phase, others), others)
			if status := openStatus(c, "long"); status != http.StatusConflict {
				t.Errorf("%s, after %d others: another request with its id is answered %d", phase, others, status)
			}
		}
	}
	x := openOrder(t, c, "long", nil)
	checkInUse("while its body arrives")
	answered := do(x)
	<-received
	checkInUse("while it runs", 1_000_000)
	close(release)
	a := <-answered
	if a.Status != http.StatusOK {
		t.Fatalf("answered %d", a.Status)
	}
	checkInUse("while its answer is read")
	a.Free()
	if status := openStatus(c, "long"); status != http.StatusConflict {
		t.Errorf("right after its end its id is served again: %d", status)
	}
	if open := len(c.ids.open); open != 0 {
		t.Errorf("%d ids count as open when no request is", open)
	}
}

// Guards against ids that count as open for ever: of requests that are dropped, refused, answered with another
// answer in place of their own, abandoned by their clients, or end in a panic.
func TestIDEndsWithItsRequest(t *testing.T) {
	addr, received := silentEndpoint(t)
	c, s := newOrderCore(t, time.Minute, 10*time.Second, addr)
	openOrder(t, c, "dropped", nil).Drop(nil)
	if status := openStatus(c, "dropped"); status != 0 {
		t.Errorf("the id of a request that was never sent is refused with %d", status)
	}
	openOrder(t, c, "incomplete", nil).DropIncomplete(&Answer{Status: http.StatusRequestTimeout})
	openOrder(t, c, "evicted", nil).DropUnanswered(figures.Evicted)

	abandoned := openOrder(t, c, "abandoned", nil)
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := abandoned.Do(ctx, nil)
		ended <- err
	}()
	<-received
	leave()
	if err := <-ended; err == nil {
		t.Error("a request is answered although its client has left")
	}
	if status := openStatus(c, "abandoned"); status != http.StatusConflict {
		t.Errorf("the id of a request that may have run is served again: %d", status)
	}

	s.UpdateEndpoints(nil, true)
	refused, err := openOrder(t, c, "refused", nil).Do(context.Background(), nil)
	if err != nil || refused.Status != http.StatusServiceUnavailable {
		t.Errorf("without endpoints a request is answered %d, %v", refused.Status, err)
	}
	refused.Replace(&Answer{Status: http.StatusRequestTimeout})
	if len(c.ids.open) != 1 {
		t.Errorf("%d ids are open before an answer is written", len(c.ids.open))
	}
	refused.Free()

	panics := openOrder(t, c, "panics", nil)
	panics.slot = nil
	func() {
		defer func() { recover() }()
		panics.Do(context.Background(), nil)
		t.Error("it did not panic")
	}()
	if open := len(c.ids.open); open != 0 {
		t.Errorf("%d ids count as open when no request is", open)
	}
}

// Guards against an id that one process of an upgrade serves while its request is open at the other, and many
// others have come to both since.
func TestOpenIDIsInUseAtTheOtherProcess(t *testing.T) {
	const others = 30_000
	toOld, toNew := new(idQueue), new(idQueue)
	before, after := &Core{ids: newRequestIDs()}, &Core{ids: newRequestIDs()}
	open := func(c *Core, id string) {
		t.Helper()
		if _, claimed, err := c.claimID(id); !claimed || err != nil {
			t.Fatalf("%s is not claimed: %v", id, err)
		}
	}
	open(before, "opened before the upgrade")
	playRequests(t, before, "before", others)
	after.AdoptIDs(before.RecentIDs())
	before.SetIDPeers(&linkedIDs{before, toNew, toOld})
	after.SetIDPeers(&linkedIDs{after, toOld, toNew})
	open(before, "opened at the old process")
	open(after, "opened at the new process")
	playRequests(t, after, "new", others)
	playRequests(t, before, "old", others)
	playRequests(t, after, "new again", others)
	for id, c := range map[string]*Core{"opened before the upgrade": after, "opened at the old process": after, "opened at the new process": before} {
		for place, c := range map[string]*Core{"the other process": c, "the old process": before, "the new process": after} {
			if _, claimed, _ := c.claimID(id); claimed {
				t.Errorf("the id that was %s is served again at %s", id, place)
			}
		}
	}
	after.EndIDPeers()
	if held := len(after.ids.others.current) + len(after.ids.others.previous); held > 0 {
		t.Errorf("%d ids of others are held when they have ended", held)
	}
	if _, claimed, _ := after.claimID("opened at the old process"); claimed {
		t.Error("right after the old process has ended its open id is served again")
	}
}
