package policy

import (
	"testing"
	"time"
)

func learntSettings() Settings {
	return Settings{
		FleetSize: 1, MaxAttempts: 3, Cancel: true,
		Classes: []Class{
			{Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.5},
			{Aim: 100 * time.Millisecond, Deadline: 300 * time.Millisecond, Worth: 3, LateWorth: 0.3, Effect: Keyed, DedupWindow: 600 * time.Millisecond},
		},
	}
}

// teach has an instance serve requests of class 0 in ms milliseconds, the last
// of its two endpoints failing.
func teach(t *testing.T, b *Balancer, n int, took time.Duration) (now time.Duration) {
	t.Helper()
	b.Endpoints(0, []Endpoint{{ID: 1, Kind: 0}, {ID: 2, Kind: 1}}, true)
	for i := range n {
		now += 10 * time.Millisecond
		var sent *Send
		for _, a := range b.Request(now, Request{ID: RequestID(i + 1), TimeLeft: time.Second}) {
			if s, ok := a.(Send); ok {
				sent = &s
			}
		}
		if sent == nil {
			continue
		}
		result := Served
		if sent.Endpoint == 2 {
			result = Errored
		}
		now += took
		b.Outcome(now, Outcome{Request: sent.Request, Endpoint: sent.Endpoint, Result: result, Complete: true, Elapsed: took})
	}
	return now
}

// Settings change while requests are open: those end by the rules that they came
// under, what was learnt stays, and a bad change is none.
func TestRetune(t *testing.T) {
	b, _ := New(learntSettings(), 1)
	now := teach(t, b, 40, 20*time.Millisecond)
	per := b.times[0].per
	send := func(id RequestID, class int) *Send {
		for _, a := range b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second}) {
			if s, ok := a.(Send); ok {
				return &s
			}
		}
		t.Fatalf("request %d is not sent", id)
		return nil
	}
	open := send(1000, 0)
	set := learntSettings()
	set.MaxAttempts = 1
	set.Classes = append(set.Classes, Class{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Effect: Unsafe})
	worse := set
	worse.MaxAttempts = 0
	if err := b.Retune(worse); err == nil || b.set.MaxAttempts != 3 {
		t.Error("settings that can't be worked with were taken")
	}
	if err := b.Retune(set); err != nil {
		t.Fatal(err)
	}
	if b.times[0].per != per || b.times[2].per != 0 {
		t.Error("what was learnt is lost, or another class has it")
	}
	send(1001, 2)
	again := func(s *Send) (more bool) {
		for _, a := range b.Outcome(now, Outcome{Request: s.Request, Endpoint: s.Endpoint, Result: Declined}) {
			_, ok := a.(Send)
			more = more || ok
		}
		return more
	}
	if !again(open) {
		t.Error("a request that came under three attempts has only one")
	}
	if again(send(1002, 0)) {
		t.Error("a request that came under one attempt has more")
	}
}

// An endpoint that turns away is avoided, and comes back with answers: quick
// refusals make it look idle, and three of them use up a request.
func TestTurnedAwayIsAvoided(t *testing.T) {
	b, _ := New(learntSettings(), 1)
	b.Endpoints(0, []Endpoint{{ID: 1}}, true)
	now := time.Duration(0)
	ask := func(result Result) float64 {
		now += time.Second
		id := RequestID(now / time.Second)
		for _, a := range b.Request(now, Request{ID: id, TimeLeft: time.Second}) {
			if s, ok := a.(Send); ok {
				b.Outcome(now, Outcome{Request: id, Endpoint: s.Endpoint, Result: result, Complete: result == Served, Elapsed: time.Millisecond})
				return b.fleet.byID[1].healthAt(now, 0)
			}
		}
		t.Fatal("nothing was sent")
		return 0
	}
	ask(Served)
	low := ask(Declined)
	if low > declineKeeps*1.01 {
		t.Errorf("health %v after one", low)
	}
	if h := ask(Served); h < low+0.2 {
		t.Errorf("health %v after one and an answer", h)
	}
}

// A place of the class table may be another class's after a change of settings: what an
// endpoint failed at then tells nothing of the class that stands there now.
func TestRetuneForgetsHealthByClass(t *testing.T) {
	set := learntSettings()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Endpoints(0, []Endpoint{{ID: 1}}, true)
	s := b.fleet.byID[1]
	b.fleet.observe(s, 0, time.Minute, failureKeeps) // the class is known to be bad there from now on,
	b.fleet.observe(s, 0, time.Minute, failureKeeps) // and this failure is the class's alone
	before := s.healthAt(time.Minute, 0)
	if err := b.Retune(set); err != nil {
		t.Fatal(err)
	}
	if after := s.healthAt(time.Minute, 0); after <= before || after != s.at(time.Minute) {
		t.Errorf("health %v for the class before, %v after, %v over all", before, after, s.at(time.Minute))
	}
}
