// Command restart tells what a restart in a surge costs, in virtual time: the decision
// module drives modelled servers of two kinds that nothing tells apart beforehand, and
// begins anew, once with nothing and once with what was learnt before. It prints the
// part of the worth that is lost in each of the seconds that follow.
//
//	go run ./bench/restart -runs 200
package main

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"spokegw/internal/learnt"
	"spokegw/policy"
)

const (
	servers = 8 // of each kind
	workers = 2 // of each server
	work    = 40 * time.Millisecond
	warmUp  = 60 // seconds before the restart
	shown   = 10 // seconds after it
	aim     = 250 * time.Millisecond
	give    = 800 * time.Millisecond
)

// speeds are those of the two kinds: the second one's is learnt only by asking.
var speeds = [2]float64{1, 0.35}

// settings are those of a service with one class.
func settings() policy.Settings {
	return policy.Settings{
		Classes:   []policy.Class{{Aim: aim, Deadline: give, Worth: 1, LateWorth: 0.3}},
		FleetSize: 1, MaxAttempts: 3, Cancel: true, ConnIdleTimeout: 10 * time.Second, StartCapacity: 1,
	}
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
	n  int // of two at once the first made comes first
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// server does one request a worker at a time, the others wait in turn.
type server struct {
	free []time.Duration // when each worker is
	kind int
}

// request is one until its answer.
type request struct {
	id       policy.RequestID
	at       time.Duration
	attempts int
	over     bool
}

// world is what the module drives.
type world struct {
	now      time.Duration
	made     int
	queue    events
	rand     *rand.Rand
	balancer *policy.Balancer
	restarts int // what a module of an earlier life set is nothing any more
	servers  map[policy.EndpointID]*server
	requests map[policy.RequestID]*request
	list     []policy.Endpoint
	last     policy.RequestID
	worth    []float64 // by second
	asked    []float64
}

func newWorld(seed uint64) (*world, error) {
	w := &world{rand: rand.New(rand.NewPCG(seed, 3)), servers: map[policy.EndpointID]*server{}}
	for i := range 2 * servers {
		id := policy.EndpointID(i + 1)
		w.servers[id] = &server{free: make([]time.Duration, workers), kind: i % 2}
		w.list = append(w.list, policy.Endpoint{ID: id, Kind: i % 2, NominalSize: 1, Readiness: policy.Ready})
	}
	seconds := warmUp + shown + 2
	w.worth, w.asked = make([]float64, seconds), make([]float64, seconds)
	return w, w.restart(seed)
}

// restart begins with a module that knows nothing; what was open is lost.
func (w *world) restart(seed uint64) (err error) {
	w.restarts++
	w.requests = map[policy.RequestID]*request{}
	if w.balancer, err = policy.New(settings(), seed); err != nil {
		return err
	}
	w.carryOut(w.balancer.Endpoints(w.now, w.list, true))
	return nil
}

func (w *world) in(d time.Duration, do func()) {
	w.made++
	heap.Push(&w.queue, event{w.now + max(d, 0), do, w.made})
}

// run lets time pass up to an instant.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at < until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// arrive has a request come, and the next one at random.
func (w *world) arrive(rate float64) {
	w.in(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		w.last++
		r := &request{id: w.last, at: w.now}
		w.requests[r.id] = r
		w.asked[w.second(r)]++
		w.carryOut(w.balancer.Request(w.now, policy.Request{ID: r.id, TimeLeft: give, Tenant: -1}))
		w.arrive(rate)
	})
}

func (w *world) second(r *request) int { return min(int(r.at/time.Second), len(w.asked)-1) }

func (w *world) carryOut(actions []policy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			w.send(a)
		case policy.Refuse:
			w.end(a.Request, 0)
		case policy.Fail:
			w.end(a.Request, 0)
		case policy.SetTimer:
			life := w.restarts
			w.in(a.Delay, func() {
				if w.restarts == life {
					w.carryOut(w.balancer.Timer(w.now, a.Token))
				}
			})
		}
	}
}

func (w *world) end(id policy.RequestID, worth float64) {
	if r := w.requests[id]; r != nil && !r.over {
		r.over = true
		w.worth[w.second(r)] += worth
	}
}

// send has a server do an attempt: on the worker that is free first.
func (w *world) send(to policy.Send) {
	r, s, life := w.requests[to.Request], w.servers[to.Endpoint], w.restarts
	if r == nil {
		return
	}
	n := r.attempts
	r.attempts++
	first := 0
	for i := range s.free {
		if s.free[i] < s.free[first] {
			first = i
		}
	}
	takes := time.Duration(w.rand.ExpFloat64() * float64(work) / speeds[s.kind])
	end := max(s.free[first], w.now) + takes
	s.free[first] = end
	sent, result := w.now, policy.Served
	if end-w.now > to.Timeout {
		end, result = w.now+to.Timeout, policy.NoAnswer
	}
	w.in(end-w.now, func() {
		if w.restarts != life {
			return
		}
		if result == policy.Served {
			worth := 1.0
			if w.now-r.at > aim {
				worth = settings().Classes[0].LateWorth
			}
			w.end(r.id, worth)
		}
		w.carryOut(w.balancer.Outcome(w.now, policy.Outcome{Request: r.id, Attempt: n, Endpoint: to.Endpoint, Result: result, Complete: r.over, Elapsed: w.now - sent}))
	})
}

// play plays a course, with or without what was learnt, and returns the part of the
// worth that was lost in each second after the restart.
func play(seed uint64, load float64, warm bool) ([]float64, error) {
	w, err := newWorld(seed)
	if err != nil {
		return nil, err
	}
	capacity := servers * workers * (speeds[0] + speeds[1]) / work.Seconds()
	w.arrive(load * capacity)
	w.run(warmUp * time.Second)
	known := learnt.Snapshot(w.now, w.balancer)
	if err := w.restart(seed + 1); err != nil {
		return nil, err
	}
	if warm {
		known.Apply(w.now, w.balancer, []int{0})
	}
	w.run((warmUp + shown + 1) * time.Second)
	lost := make([]float64, shown)
	for i := range lost {
		lost[i] = 1 - w.worth[warmUp+i]/math.Max(w.asked[warmUp+i], 1)
	}
	return lost, nil
}

func main() {
	runs := flag.Int("runs", 100, "courses, at most 10,000")
	load := flag.Float64("load", 0.85, "of the capacity")
	flag.Parse()
	if *runs < 1 || *runs > 10_000 || !(*load > 0 && *load <= 3) {
		fmt.Fprintln(os.Stderr, "restart: -runs is from 1 to 10,000, -load over 0 and up to 3")
		os.Exit(2)
	}
	if err := run(*runs, *load); err != nil {
		fmt.Fprintln(os.Stderr, "restart:", err)
		os.Exit(1)
	}
}

func run(runs int, load float64) error {
	var cold, warm [shown]float64
	for seed := range uint64(runs) {
		for _, known := range []bool{false, true} {
			lost, err := play(seed, load, known)
			if err != nil {
				return err
			}
			for i, x := range lost {
				if known {
					warm[i] += x / float64(runs)
				} else {
					cold[i] += x / float64(runs)
				}
			}
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d courses at %.0f%% of the capacity\n\nSECOND AFTER THE RESTART\tWORTH LOST, WITH NOTHING\tWITH WHAT WAS LEARNT\n", runs, 100*load)
	var sumCold, sumWarm float64
	for i := range cold {
		fmt.Fprintf(w, "%d\t%.2f%%\t%.2f%%\n", i+1, 100*cold[i], 100*warm[i])
		sumCold, sumWarm = sumCold+cold[i], sumWarm+warm[i]
	}
	fmt.Fprintf(w, "all\t%.2f%%\t%.2f%%\n", 100*sumCold/shown, 100*sumWarm/shown)
	return w.Flush()
}
