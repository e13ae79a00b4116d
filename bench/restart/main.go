// Command restart measures the cost of a restart under high load, in virtual time: the
// decision module drives modelled servers of two kinds that the endpoint list does not
// distinguish, and is restarted, once without state and once with what it had learnt. It
// prints the fraction of the worth that is lost in each of the following seconds.
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
	serversPerKind   = 8
	workersPerServer = 2
	meanWork         = 40 * time.Millisecond
	warmUp           = 60 // seconds before the restart
	measuredSeconds  = 10 // seconds after it
	aim              = 250 * time.Millisecond
	clientDeadline   = 800 * time.Millisecond
)

// speeds are the relative speeds of the two kinds. Only answers reveal that the second kind
// is slower.
var speeds = [2]float64{1, 0.35}

// serviceSettings returns the settings of a service with one class.
func serviceSettings() policy.Settings {
	return policy.Settings{
		Classes:   []policy.Class{{Aim: aim, Deadline: clientDeadline, Worth: 1, LateWorth: 0.3}},
		FleetSize: 1, MaxAttempts: 3, Cancel: true, ConnIdleTimeout: 10 * time.Second, StartCapacity: 1,
	}
}

// event is a function to call at a point in virtual time.
type event struct {
	at  time.Duration
	do  func()
	seq int // orders events of the same time by creation
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// server processes one request per worker at a time; other requests wait in FIFO order.
type server struct {
	freeAt []time.Duration // by worker
	kind   int
}

// request is a client's request and its state.
type request struct {
	id       policy.RequestID
	at       time.Duration
	attempts int
	done     bool
}

// world is the simulated environment of the decision module.
type world struct {
	now          time.Duration
	lastSeq      int
	queue        events
	rand         *rand.Rand
	balancer     *policy.Balancer
	restarts     int // events scheduled before the latest restart are ignored
	servers      map[policy.EndpointID]*server
	requests     map[policy.RequestID]*request
	endpoints    []policy.Endpoint
	lastRequest  policy.RequestID
	servedWorth  []float64 // by second of arrival
	requestCount []float64
}

func newWorld(seed uint64) (*world, error) {
	w := &world{rand: rand.New(rand.NewPCG(seed, 3)), servers: map[policy.EndpointID]*server{}}
	for i := range 2 * serversPerKind {
		id := policy.EndpointID(i + 1)
		w.servers[id] = &server{freeAt: make([]time.Duration, workersPerServer), kind: i % 2}
		w.endpoints = append(w.endpoints, policy.Endpoint{ID: id, Kind: i % 2, NominalSize: 1, Readiness: policy.Ready})
	}
	seconds := warmUp + measuredSeconds + 2
	w.servedWorth, w.requestCount = make([]float64, seconds), make([]float64, seconds)
	return w, w.restart(seed)
}

// restart replaces the decision module by one without state; open requests are lost.
func (w *world) restart(seed uint64) (err error) {
	w.restarts++
	w.requests = map[policy.RequestID]*request{}
	if w.balancer, err = policy.New(serviceSettings(), seed); err != nil {
		return err
	}
	w.execute(w.balancer.Endpoints(w.now, w.endpoints, true))
	return nil
}

func (w *world) schedule(d time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.queue, event{w.now + max(d, 0), do, w.lastSeq})
}

// run processes events up to a point in virtual time.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at < until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// arrive schedules a request and, after it, the next one (a Poisson process).
func (w *world) arrive(rate float64) {
	w.schedule(time.Duration(w.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		w.lastRequest++
		r := &request{id: w.lastRequest, at: w.now}
		w.requests[r.id] = r
		w.requestCount[w.second(r)]++
		w.execute(w.balancer.Request(w.now, policy.Request{ID: r.id, TimeLeft: clientDeadline, Tenant: -1}))
		w.arrive(rate)
	})
}

func (w *world) second(r *request) int { return min(int(r.at/time.Second), len(w.requestCount)-1) }

func (w *world) execute(actions []policy.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			w.send(a)
		case policy.Refuse:
			w.finish(a.Request, 0)
		case policy.Fail:
			w.finish(a.Request, 0)
		case policy.SetTimer:
			restarts := w.restarts
			w.schedule(a.Delay, func() {
				if w.restarts == restarts {
					w.execute(w.balancer.Timer(w.now, a.Token))
				}
			})
		}
	}
}

func (w *world) finish(id policy.RequestID, worth float64) {
	if r := w.requests[id]; r != nil && !r.done {
		r.done = true
		w.servedWorth[w.second(r)] += worth
	}
}

// send runs an attempt on the worker of the server that is free first.
func (w *world) send(to policy.Send) {
	r, s, restarts := w.requests[to.Request], w.servers[to.Endpoint], w.restarts
	if r == nil {
		return
	}
	n := r.attempts
	r.attempts++
	worker := 0
	for i := range s.freeAt {
		if s.freeAt[i] < s.freeAt[worker] {
			worker = i
		}
	}
	duration := time.Duration(w.rand.ExpFloat64() * float64(meanWork) / speeds[s.kind])
	finishAt := max(s.freeAt[worker], w.now) + duration
	s.freeAt[worker] = finishAt
	sent, result := w.now, policy.Served
	if finishAt-w.now > to.Timeout {
		finishAt, result = w.now+to.Timeout, policy.NoAnswer
	}
	w.schedule(finishAt-w.now, func() {
		if w.restarts != restarts {
			return
		}
		if result == policy.Served {
			worth := 1.0
			if w.now-r.at > aim {
				worth = serviceSettings().Classes[0].LateWorth
			}
			w.finish(r.id, worth)
		}
		w.execute(w.balancer.Outcome(w.now, policy.Outcome{Request: r.id, Attempt: n, Endpoint: to.Endpoint, Result: result, Complete: r.done, Elapsed: w.now - sent}))
	})
}

// runCourse simulates one course, with or without restoring what was learnt, and returns the
// fraction of the worth that was lost in each second after the restart.
func runCourse(seed uint64, load float64, warm bool) ([]float64, error) {
	w, err := newWorld(seed)
	if err != nil {
		return nil, err
	}
	capacity := serversPerKind * workersPerServer * (speeds[0] + speeds[1]) / meanWork.Seconds()
	w.arrive(load * capacity)
	w.run(warmUp * time.Second)
	snapshot := learnt.Snapshot(w.now, w.balancer)
	if err := w.restart(seed + 1); err != nil {
		return nil, err
	}
	if warm {
		snapshot.Apply(w.now, w.balancer, []int{0})
	}
	w.run((warmUp + measuredSeconds + 1) * time.Second)
	lost := make([]float64, measuredSeconds)
	for i := range lost {
		lost[i] = 1 - w.servedWorth[warmUp+i]/math.Max(w.requestCount[warmUp+i], 1)
	}
	return lost, nil
}

func main() {
	runs := flag.Int("runs", 100, "number of courses, at most 10,000")
	load := flag.Float64("load", 0.85, "offered load as a fraction of the capacity")
	flag.Parse()
	if *runs < 1 || *runs > 10_000 || !(*load > 0 && *load <= 3) {
		fmt.Fprintln(os.Stderr, "restart: -runs must be from 1 to 10,000, -load above 0 and at most 3")
		os.Exit(2)
	}
	if err := run(*runs, *load); err != nil {
		fmt.Fprintln(os.Stderr, "restart:", err)
		os.Exit(1)
	}
}

func run(runs int, load float64) error {
	var cold, warm [measuredSeconds]float64
	for seed := range uint64(runs) {
		for _, warmStart := range []bool{false, true} {
			lost, err := runCourse(seed, load, warmStart)
			if err != nil {
				return err
			}
			for i, x := range lost {
				if warmStart {
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
	fmt.Fprintf(w, "all\t%.2f%%\t%.2f%%\n", 100*sumCold/measuredSeconds, 100*sumWarm/measuredSeconds)
	return w.Flush()
}
