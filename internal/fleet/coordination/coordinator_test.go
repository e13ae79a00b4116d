package coordination

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
)

// fleet is a set of gateways without network delay, whose endpoints are replaced over time.
type fleet struct {
	now      time.Duration
	names    []string
	nodes    []*Node
	rng      *rand.Rand
	list     []weights.Endpoint
	observed int           // endpoints that a gateway sends to in a period
	spent    time.Duration // by the first gateway, which is leader, on messages and its tables
}

var testSettings = election.Settings{Lease: 2 * time.Second, Drift: 0.01}

func newFleet(gateways, endpoints, observed int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 1)), observed: observed}
	layout := &Sites{Settings: sites.DefaultSettings, Home: map[string]string{}, Near: map[string][]string{"a": nil, "b": nil, "c": nil}}
	for i := range gateways {
		f.names = append(f.names, fmt.Sprint("g", i))
		layout.Home[f.names[i]] = string(rune('a' + i%3))
	}
	for i := range endpoints {
		f.list = append(f.list, f.endpoint(i))
	}
	for _, name := range f.names {
		f.nodes = append(f.nodes, NewNode(0, testSettings, name, 1+f.rng.Uint64N(1<<20), f.names, f, layout))
	}
	return f
}

func (f *fleet) endpoint(i int) weights.Endpoint {
	return weights.Endpoint{ID: weights.NewID("", fmt.Sprint(i, f.rng.Uint64()), 0), Kind: uint32(i % 4), Nominal: 1, Site: string(rune('a' + i%3)), Ready: true, Warmth: 1}
}

// Observations, Endpoints and Admission implement Observer for every gateway.
func (f *fleet) Observations() (all []weights.Stats) {
	admission := weights.Stats{ID: weights.AdmissionID("")}
	for range f.observed {
		s := weights.Stats{ID: f.list[f.rng.IntN(len(f.list))].ID}
		for c := range 2 {
			s.Record(weights.Class(c), false, weights.Served, time.Duration(5+f.rng.IntN(20))*time.Millisecond, 10*time.Millisecond)
			admission.Record(weights.Class(c), c == 0, weights.Served, 0, 10*time.Millisecond)
		}
		all = append(all, s)
	}
	return append(all, admission)
}

func (f *fleet) Endpoints() []weights.Endpoint { return f.list }

func (f *fleet) Admission() (map[weights.ID]bool, map[weights.Class]float64) {
	return map[weights.ID]bool{weights.AdmissionID(""): true}, map[weights.Class]float64{0: 1, 1: 3}
}

// tick has all gateways report and delivers the resulting messages.
func (f *fleet) tick() {
	f.now += 200 * time.Millisecond
	for i, n := range f.nodes {
		begin := time.Now()
		out := n.Tick(f.now, f.names[:1])
		if i == 0 {
			f.spent += time.Since(begin)
		}
		f.deliver(out)
		n.Factors(f.now)
		n.Enforcer(f.now)
		n.Changes()
	}
}

func (f *fleet) deliver(out []Outgoing) {
	for _, o := range out {
		for i, name := range f.names {
			if name != o.To {
				continue
			}
			begin := time.Now()
			next, _ := f.nodes[i].Handle(f.now, o.Message)
			if i == 0 {
				f.spent += time.Since(begin)
			}
			f.deliver(next)
			break
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Over two hours in which endpoints are replaced and gateways restart all the time, memory use must
// stay close to that after the first minutes.
func TestLongRun(t *testing.T) {
	f := newFleet(5, 40, 10)
	var earlyHeap uint64
	const periods, first = 2 * 3600 * 5, 300 * 5
	for i := range periods {
		if i%15 == 0 { // one every three seconds
			at := f.rng.IntN(len(f.list))
			f.list[at] = f.endpoint(at)
		}
		if i%500 == 499 {
			at := f.rng.IntN(len(f.nodes))
			f.nodes[at] = NewNode(f.now, testSettings, f.names[at], 1+f.rng.Uint64N(1<<20), f.names, f, f.nodes[at].sites)
		}
		if f.tick(); i == first {
			earlyHeap = heapInUse()
		}
	}
	lateHeap := heapInUse()
	if t.Logf("%d KB after five minutes, %d after two hours", earlyHeap>>10, lateHeap>>10); lateHeap > earlyHeap+earlyHeap/2+1<<20 {
		t.Errorf("%d KB in use after five minutes and %d after two hours", earlyHeap>>10, lateHeap>>10)
	}
	if s := f.nodes[1].Status(f.now); s.Leader == "" || s.Stale {
		t.Errorf("%+v", s)
	}
	runtime.KeepAlive(f)
}

// Measurements of a gateway that is not configured must not count.
func TestUnknownGateway(t *testing.T) {
	f := newFleet(3, 6, 3)
	for range 30 {
		f.tick()
	}
	if s := f.nodes[0].Status(f.now); s.Reporting != 3 {
		t.Fatalf("%+v", s)
	}
	for _, from := range []string{"g1", "nobody"} {
		out, valid := f.nodes[0].Handle(f.now, Message{Report: &weights.Report{From: from, To: "g0", Incarnation: 1 << 40, Seq: 1}})
		if known := from == "g1"; valid != known || (len(out) > 0) != known {
			t.Errorf("report from %s: valid %v, %d answers", from, valid, len(out))
		}
	}
}

// BenchmarkPeriod runs one second of a fleet with 200 endpoints, of which each gateway sends to
// 30, and reports the memory of the leader and of the other gateways.
func BenchmarkPeriod(b *testing.B) {
	for _, gateways := range []int{10, 100, 500} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			before := heapInUse()
			f := newFleet(gateways, 200, 30)
			for range 50 {
				f.tick()
			}
			all := heapInUse() - before
			f.spent = 0
			for b.Loop() {
				for range 5 {
					f.tick()
				}
			}
			b.ReportMetric(float64(f.spent.Microseconds())/float64(b.N), "us/holder")
			b.ReportMetric(float64((b.Elapsed()-f.spent).Microseconds())/float64(b.N)/float64(gateways), "us/member")
			b.ReportMetric(float64(all)/float64(gateways)/1024, "KB/member")
			f.nodes = []*Node{f.nodes[0]}
			b.ReportMetric(float64(heapInUse()-before)/1024, "KB/holder")
			runtime.KeepAlive(f)
		})
	}
}
