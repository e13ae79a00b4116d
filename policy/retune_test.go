package policy

import (
	"testing"
	"time"
)

func learnSettings() Settings {
	return Settings{
		FleetSize: 1, MaxAttempts: 3, Cancel: true,
		Classes: []Class{
			{Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 1, LateWorth: 0.5},
			{Aim: 100 * time.Millisecond, Deadline: 300 * time.Millisecond, Worth: 3, LateWorth: 0.3, Effect: Keyed, DedupWindow: 600 * time.Millisecond},
		},
	}
}

// serveRequests has an instance serve n requests of class 0, each within took, the last
// of its two endpoints failing.
func serveRequests(t *testing.T, b *Balancer, n int, took time.Duration) (now time.Duration) {
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

// Settings change while requests are open: those keep the rules that they arrived
// under, what was learned stays, and invalid settings change nothing.
func TestRetune(t *testing.T) {
	b, _ := New(learnSettings(), 1)
	now := serveRequests(t, b, 40, 20*time.Millisecond)
	perWork := b.classTimes[0].perWork
	send := func(id RequestID, class int) *Send {
		for _, a := range b.Request(now, Request{ID: id, Class: class, TimeLeft: time.Second}) {
			if s, ok := a.(Send); ok {
				return &s
			}
		}
		t.Fatalf("request %d was not sent", id)
		return nil
	}
	open := send(1000, 0)
	settings := learnSettings()
	settings.MaxAttempts = 1
	settings.Classes = append(settings.Classes, Class{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Effect: Unsafe})
	invalid := settings
	invalid.MaxAttempts = 0
	if err := b.Retune(invalid); err == nil || b.settings.MaxAttempts != 3 {
		t.Error("invalid settings were accepted")
	}
	if err := b.Retune(settings); err != nil {
		t.Fatal(err)
	}
	if b.classTimes[0].perWork != perWork || b.classTimes[2].perWork != 0 {
		t.Error("a learned time was lost, or given to another class")
	}
	send(1001, 2)
	retried := func(s *Send) (more bool) {
		for _, a := range b.Outcome(now, Outcome{Request: s.Request, Endpoint: s.Endpoint, Result: Declined}) {
			_, ok := a.(Send)
			more = more || ok
		}
		return more
	}
	if !retried(open) {
		t.Error("a request that arrived with three attempts allowed has only one")
	}
	if retried(send(1002, 0)) {
		t.Error("a request that arrived with one attempt allowed has more")
	}
}

// An endpoint that declines is avoided, and recovers with answers: fast declines
// make it look idle, and three of them use up a request's attempts.
func TestDecliningEndpointIsAvoided(t *testing.T) {
	b, _ := New(learnSettings(), 1)
	b.Endpoints(0, []Endpoint{{ID: 1}}, true)
	now := time.Duration(0)
	sendRequest := func(result Result) float64 {
		now += time.Second
		id := RequestID(now / time.Second)
		for _, a := range b.Request(now, Request{ID: id, TimeLeft: time.Second}) {
			if s, ok := a.(Send); ok {
				b.Outcome(now, Outcome{Request: id, Endpoint: s.Endpoint, Result: result, Complete: result == Served, Elapsed: time.Millisecond})
				return b.fleet.byID[1].healthFor(now, 0)
			}
		}
		t.Fatal("nothing was sent")
		return 0
	}
	sendRequest(Served)
	declinedHealth := sendRequest(Declined)
	if declinedHealth > healthAfterDecline*1.01 {
		t.Errorf("health %v after a declined request", declinedHealth)
	}
	if h := sendRequest(Served); h < declinedHealth+0.2 {
		t.Errorf("health %v after a declined request and an answer", h)
	}
}

// After a change of settings an index of the class table may be another class's: what an
// endpoint failed at before says nothing about the class that has the index now.
func TestRetuneDropsClassHealth(t *testing.T) {
	settings := learnSettings()
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Endpoints(0, []Endpoint{{ID: 1}}, true)
	s := b.fleet.byID[1]
	b.fleet.recordOutcome(s, 0, time.Minute, healthAfterFailure) // the class is known to fail there from now on,
	b.fleet.recordOutcome(s, 0, time.Minute, healthAfterFailure) // and this failure counts for the class only
	before := s.healthFor(time.Minute, 0)
	if err := b.Retune(settings); err != nil {
		t.Fatal(err)
	}
	if after := s.healthFor(time.Minute, 0); after <= before || after != s.healthLevel(time.Minute) {
		t.Errorf("health %v for the class before, %v after, %v over all", before, after, s.healthLevel(time.Minute))
	}
}
