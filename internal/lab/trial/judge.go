package trial

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/permit"
)

// Rule is one that an outside observer can see broken.
type Rule string

// The rules. Lost: no one final answer in time, or one that belongs to another request.
// Departed: an attempt that began after its client had left.
const (
	Lost      Rule = "lost"
	Duplicate Rule = "duplicate"
	Drain     Rule = "drain"
	Departed  Rule = "departed"
	Deadline  Rule = "deadline"
	Failback  Rule = "failback" // a cold endpoint was sent more by all together than the settings let it be
	Crash     Rule = "crash"
	Inside    Rule = "inside" // a violation that a sidecar counted itself
)

// Violation is a rule broken once.
type Violation struct {
	Rule Rule
	What string
	// HeldUp: it is by a time that was exceeded, and within that this process was held up for longer than
	// a sidecar may be. It tells nothing of the sidecar.
	HeldUp bool
	At     time.Duration // that it was seen, since the run began
}

const (
	departedAfter = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	answerSlack   = 500 * time.Millisecond
	ruleSlack     = 50 * time.Millisecond
	// seenLate is what is seen late on an idle machine.
	seenLate = 50 * time.Millisecond
	// besides is how much later than this process a sidecar may run, each of which has one
	// thread or two where this has many.
	besides = 2
	// spans is how long what is judged lasts at most.
	spans = 4 * time.Second
)

// sent is a request as its client sent it.
type sent struct {
	sidecar  int
	class    int
	at       time.Time
	deadline time.Duration
	left     time.Time // zero: it stayed
}

// change is a state of an endpoint that the registry was given.
type change struct {
	name string // id=state
	made time.Time
}

// judge sees what clients and endpoints see.
type judge struct {
	config Config
	hold   lab.HoldUps
	begun  time.Time

	mu       sync.Mutex
	requests map[string]*sent
	arrivals map[string][]arrival // by request
	answers  map[string][]writtenAnswer
	drained  map[string]change   // by endpoint
	late     map[string]Lateness // the latest send after a drain was told, by endpoint
	broken   []Violation
	registry []*registry
}

// Lateness tells of the sends of a sidecar to an endpoint that drains.
type Lateness struct {
	Last  time.Duration // the last one, after the drain was made
	After int           // sends after the grace
}

// heard are how long after each drain the registry wrote it to each sidecar, and how many
// it never wrote.
func (j *judge) heard() (after []time.Duration, never int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.drained {
		for _, r := range j.registry {
			r.mu.Lock()
			at := r.heard[c.name]
			r.mu.Unlock()
			if at.IsZero() {
				never++
			} else {
				after = append(after, at.Sub(c.made))
			}
		}
	}
	slices.Sort(after)
	return after, never
}

func newJudge(c Config) *judge {
	return &judge{config: c, begun: time.Now(), requests: map[string]*sent{}, arrivals: map[string][]arrival{}, answers: map[string][]writtenAnswer{}, drained: map[string]change{}, late: map[string]Lateness{}}
}

// sure marks a violation that no hold-up of this process can be the reason of.
const sure = false

// late reports whether this process was held up since a time, for longer than a sidecar may be: what
// was seen to come too late since then may have been in time.
func late(h *lab.HoldUps, since, until time.Time) bool {
	_, most := h.Within(since, until)
	return most > permit.MaxStall
}

// lateSince is late up to now, and no longer ago than what is judged begins.
func (j *judge) lateSince(since time.Time) bool {
	now := time.Now()
	if earliest := now.Add(-spans); since.Before(earliest) {
		since = earliest
	}
	return late(&j.hold, since, now)
}

// slack is what is to be added to a time limit now: by as much a rule may seem to be broken that was
// kept, on a machine that is as busy as this one was lately. It excuses nothing but lateness.
func (j *judge) slack() time.Duration {
	now := time.Now()
	_, most := j.hold.Within(now.Add(-spans), now)
	return seenLate + besides*most
}

func (j *judge) breaks(r Rule, heldUp bool, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaksLocked(r, heldUp, format, args...)
}

// breaksLocked is breaks where j.mu is held.
func (j *judge) breaksLocked(r Rule, heldUp bool, format string, args ...any) {
	j.broken = append(j.broken, Violation{r, fmt.Sprintf(format, args...), heldUp, time.Since(j.begun)})
}

func (j *judge) begins(id string, s *sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = s
}

func (j *judge) leaves(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id].left = at
}

// reached reports whether any attempt of a request has come to an endpoint.
func (j *judge) reached(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.arrivals[id]) > 0
}

func (j *judge) drains(endpoint, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, known := j.drained[endpoint]; !known {
		j.drained[endpoint] = change{endpoint + "=" + state, time.Now()}
	}
}

func (j *judge) arrives(a arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals[a.id] = append(j.arrivals[a.id], a)
	s := j.requests[a.id]
	if s == nil {
		j.breaksLocked(Lost, sure, "an attempt of no request: %s", a.id)
		return
	}
	drained, drains := j.drained[a.endpoint]
	if drains {
		j.afterDrain(a, s, drained)
	}
	if !s.left.IsZero() && a.first.After(s.left.Add(departedAfter+j.slack())) {
		j.breaksLocked(Departed, j.lateSince(s.left), "%s: an attempt %v after its client left", a.id, a.first.Sub(s.left))
	}
	if left := s.timeLeft(a.first); a.told > left+deadlineSlack+j.slack() {
		j.breaksLocked(Deadline, j.lateSince(s.at), "%s: told %v with %v left", a.id, a.told, left)
	}
}

// afterDrain judges a send to an endpoint that drains.
func (j *judge) afterDrain(a arrival, s *sent, drained change) {
	key := fmt.Sprint(s.sidecar, "/", a.endpoint)
	l := j.late[key]
	l.Last = max(l.Last, a.first.Sub(drained.made))
	told, written := j.registry[s.sidecar].countsAsTold(drained.name, drained.made)
	over := told.Add(j.config.Grace)
	if after := a.first.Sub(told); after > j.config.Grace+ruleSlack+j.slack()-seenLate {
		l.After++
		j.breaksLocked(Drain, j.lateSince(over), "%s: sent to %s %v after that was told, written: %v", a.id, a.endpoint, after, written)
	}
	j.late[key] = l
}

// duplicates judges the effects of all requests, when they are over.
func (j *judge) duplicates() {
	j.mu.Lock()
	defer j.mu.Unlock()
	classes := j.config.classes()
	for id, all := range j.arrivals {
		s := j.requests[id]
		if s == nil || classes[s.class].effect == safe {
			continue
		}
		ran := slices.DeleteFunc(slices.Clone(all), func(a arrival) bool { return !a.ran })
		for i := 1; i < len(ran); i++ {
			first, again := ran[0], ran[i]
			switch {
			case classes[s.class].effect == unsafe, again.cell != first.cell:
				j.breaksLocked(Duplicate, sure, "%s ran at %s and %s", id, first.endpoint, again.endpoint)
			case again.first.Sub(first.first) > classes[s.class].window:
				j.breaksLocked(Duplicate, late(&j.hold, first.first, again.first), "%s ran at %s and, out of the window, at %s", id, first.endpoint, again.endpoint)
			}
		}
	}
}

// cold judges what endpoints were sent while they were cold, when that is over. It returns what part of
// what each may be sent was used.
func (j *judge) cold(endpoints []*endpoint) (all []float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	came := map[string][]time.Time{}
	for _, arrivals := range j.arrivals {
		for _, a := range arrivals {
			came[a.endpoint] = append(came[a.endpoint], a.first)
		}
	}
	for _, e := range endpoints {
		if e.cold == nil || len(came[e.name]) == 0 {
			continue
		}
		var ages []time.Duration
		for _, at := range came[e.name] {
			ages = append(ages, at.Sub(e.since))
		}
		slices.Sort(ages)
		used, at := e.cold.Used(ages, 1/e.work.Seconds())
		if all = append(all, used); used > 1 {
			from := e.since.Add(at)
			j.breaksLocked(Failback, late(&j.hold, from, from.Add(e.cold.Span)), "%s was sent %.2f of what it may be from its age of %v on", e.name, used, at)
		}
	}
	return all
}

// byRule counts violations.
func byRule(all []Violation) map[Rule]int {
	n := map[Rule]int{}
	for _, v := range all {
		n[v.Rule]++
	}
	return n
}

// Summary tells the counts by rule in one line.
func (r *Report) Summary() string {
	n := byRule(r.Broken)
	text := ""
	for _, rule := range slices.Sorted(maps.Keys(n)) {
		text += fmt.Sprintf(" %s %d", rule, n[rule])
	}
	if text == "" {
		return "none broken"
	}
	return text[1:]
}
