package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spokegw/internal/fleet/message"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/rank"
	"spokegw/internal/lab/process"
)

func TestMain(m *testing.M) {
	rank.EnableChecks()
	goleak.VerifyTestMain(m)
}

// caller constantly requests a part of the quota, and records its limit.
type caller struct {
	demand   atomic.Int64 // billionths
	started  time.Time
	limitSet chan struct{} // signals that a limit was set

	mu    sync.Mutex
	limit quota.Limit
	until time.Time
}

func (c *caller) Requested() (requests, work float64) {
	return quota.Part(c.demand.Load()).Fraction() * time.Since(c.started).Seconds(), 0
}

func (c *caller) SetLimit(l quota.Limit, left func() time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.limit, c.until = l, now.Add(left())
	select {
	case c.limitSet <- struct{}{}:
	default:
	}
}

func (c *caller) has() quota.Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.limit.Own + c.limit.Grant
	}
	return c.limit.Own
}

func freeAddr(t *testing.T) string {
	addr, err := process.TakeAddr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.GiveBack(addr) })
	return addr
}

// member is a gateway of a fleet within this process.
type member struct {
	*Fleet
	caller caller
	stop   context.CancelFunc
	ended  chan struct{}
}

func startFleet(t *testing.T, n int, key []byte) []*member {
	t.Helper()
	c := Config{Settings: quota.Settings{Lease: 500 * time.Millisecond, Period: 50 * time.Millisecond, Drift: 0.01}, Key: key, Addresses: map[string]string{}}
	for i := range n {
		name := fmt.Sprint("g", i)
		c.Gateways = append(c.Gateways, quota.Gateway{Name: name, Partner: name, Part: quota.Whole / quota.Part(n)})
		c.Addresses[name] = freeAddr(t)
	}
	var all []*member
	for i := range n {
		m := &member{ended: make(chan struct{})}
		m.caller.started, m.caller.limitSet = time.Now(), make(chan struct{}, 1)
		c.Name, c.Listen = c.Gateways[i].Name, c.Addresses[c.Gateways[i].Name]
		c.Contracts = []Contract{{Name: "maps/a/", Account: &m.caller}}
		var err error
		if m.Fleet, err = New(c); err != nil {
			t.Fatal(err)
		}
		m.Start()
		ctx, stop := context.WithCancel(context.Background())
		m.stop = stop
		go func() {
			defer close(m.ended)
			if err := m.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
		t.Cleanup(m.end)
		all = append(all, m)
	}
	return all
}

// end stops the member; it may be called twice.
func (m *member) end() {
	m.stop()
	<-m.ended
}

// await waits until a condition holds, and checks each time that the quota is not exceeded.
func await(t *testing.T, all []*member, description string, condition func() bool) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for !condition() {
		sum := quota.Part(0)
		for _, m := range all {
			sum += m.caller.has()
		}
		if sum > quota.Whole { // the limits are read one after the other: a part that moved meanwhile may count twice
			sum = 0
			for _, m := range all {
				sum += m.caller.has()
			}
			if sum > quota.Whole+quota.Whole/10 {
				t.Fatalf("%s: the limits sum to %.3f", description, sum.Fraction())
			}
		}
		select {
		case <-all[0].caller.limitSet: // signalled at least with each report
		case <-timeout:
			t.Fatalf("%s: not reached after 20 s: %v", description, all[0].Status())
		}
	}
}

// Four gateways lend to the one with demand, over memberlist with encrypted messages. Then one
// leaves, its contracts get another steward, and what it owned must not be used by anybody.
func TestFleetLends(t *testing.T) {
	all := startFleet(t, 4, []byte("0123456789abcdef"))
	await(t, all, "all are up", func() bool {
		for _, m := range all {
			if len(m.Status().Up) != 3 {
				return false
			}
		}
		return true
	})
	all[1].caller.demand.Store(int64(quota.Whole))
	await(t, all, "lent", func() bool { return all[1].caller.has() > quota.Whole*9/10 })
	steward := all[1].Status().Contracts["maps/a/"].Steward
	leaving := 0
	for i, m := range all {
		if m.config.Name == steward && i != 1 {
			leaving = i
		}
	}
	if leaving == 0 {
		leaving = 2 // the gateway with demand is itself steward
	}
	all[leaving].end()
	all[leaving].caller.SetLimit(quota.Limit{}, func() time.Duration { return 0 })
	await(t, all, "without one of them", func() bool {
		has := all[1].caller.has()
		return has > quota.Whole*13/20 && has < quota.Whole*4/5
	})
	for _, m := range all {
		if c := m.Counts(); c.Malformed+c.OtherVersion > 0 {
			t.Errorf("%s: %+v", m.config.Name, c)
		}
	}
}

// Messages that are malformed, of another version or contract, or too many at once must be
// counted and change nothing.
func TestInvalidMessages(t *testing.T) {
	all := startFleet(t, 1, nil)
	f := all[0].Fleet
	valid, err := message.Append(nil, message.Message{Contract: "maps/a/", Report: &quota.Report{From: "nobody", Incarnation: 1, Seq: 1, To: "g0"}})
	if err != nil {
		t.Fatal(err)
	}
	otherContract := "x" // a contract of a shard without contracts, and so without a worker
	for f.shardOf(otherContract) == f.shardOf("maps/a/") {
		otherContract += "x"
	}
	otherMessage, _ := message.Append(nil, message.Message{Contract: otherContract, Report: &quota.Report{From: "g0", Incarnation: 1, Seq: 1, To: "g0"}})
	d := delegate{f}
	d.NotifyMsg(nil)
	d.NotifyMsg(valid[:len(valid)-1])
	d.NotifyMsg(append([]byte{message.CoordinationVersion + 1}, valid[1:]...))
	for range 4 * shardQueue {
		d.NotifyMsg(otherMessage)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		b := append([]byte(nil), valid...)
		b[1+r.IntN(len(b)-1)] ^= byte(1 + r.IntN(255))
		d.NotifyMsg(b)
	}
	c := f.Counts()
	if c.Malformed < 2 || c.OtherVersion != 1 || c.Dropped < shardQueue {
		t.Errorf("%+v", c)
	}
	await(t, all, "continues after invalid messages", func() bool { return all[0].caller.has() == quota.Whole })
}

// BenchmarkStatus compares reading the snapshot, while it is replaced continuously, with the same
// under a mutex.
func BenchmarkStatus(b *testing.B) {
	status := Status{Contracts: map[string]ContractStatus{"maps/a/": {}}}
	var published atomic.Pointer[Status]
	published.Store(&status)
	var mu sync.Mutex
	var rw sync.RWMutex
	for _, variant := range []struct {
		name        string
		read, write func()
	}{
		{"pointer", func() { _ = published.Load().Contracts["maps/a/"].Own }, func() { next := status; published.Store(&next) }},
		{"Mutex", func() { mu.Lock(); _ = status.Contracts["maps/a/"].Own; mu.Unlock() }, func() { mu.Lock(); status.Up = nil; mu.Unlock() }},
		{"RWMutex", func() { rw.RLock(); _ = status.Contracts["maps/a/"].Own; rw.RUnlock() }, func() { rw.Lock(); status.Up = nil; rw.Unlock() }},
	} {
		for _, readers := range []int{1, 4, 16} {
			b.Run(fmt.Sprint(variant.name, "/", readers), func(b *testing.B) {
				stop := make(chan struct{})
				var writing sync.WaitGroup
				writing.Go(func() {
					for tick := time.NewTicker(time.Millisecond); ; {
						select {
						case <-stop:
							return
						case <-tick.C:
							variant.write()
						}
					}
				})
				b.ReportAllocs()
				b.ResetTimer()
				var reading sync.WaitGroup
				for range readers {
					reading.Go(func() {
						for range b.N / readers {
							variant.read()
						}
					})
				}
				reading.Wait()
				b.StopTimer()
				close(stop)
				writing.Wait()
			})
		}
	}
}
