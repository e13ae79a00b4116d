package permit

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each fact that changes between a decision and its effect holds the effect back by itself, and
// for its own reason.
func TestAttemptIsHeldBackByEachFact(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Reason
	}{
		"nothing has changed":                      {func(*Attempt) {}, Allowed},
		"called off":                               {func(a *Attempt) { a.Cancelled = true }, Cancelled},
		"its client has left":                      {func(a *Attempt) { a.ClientDisconnected = true }, ClientDisconnected},
		"its time is over just now":                {func(a *Attempt) { a.Now = a.Deadline }, DeadlineExceeded},
		"its time is almost over":                  {func(a *Attempt) { a.Now = a.Deadline - 1 }, Allowed},
		"a repeat in its window":                   {func(a *Attempt) { a.DedupUntil = a.Now + MaxStall }, Allowed},
		"a repeat that may be written too late":    {func(a *Attempt) { a.DedupUntil = a.Now + MaxStall - 1 }, DedupWindowExpired},
		"an unsafe one of which none may have run": {func(a *Attempt) { a.Unsafe = true }, Allowed},
		"an unsafe one of which one may have run":  {func(a *Attempt) { a.Unsafe, a.MayHaveRun = true, true }, EffectUncertain},
		"a safe one of which one may have run":     {func(a *Attempt) { a.MayHaveRun = true }, Allowed},
		"its endpoint drains":                      {func(a *Attempt) { a.Endpoint = Draining }, EndpointDraining},
		"its endpoint is gone":                     {func(a *Attempt) { a.Endpoint = Removed }, EndpointRemoved},
		"its endpoint is another":                  {func(a *Attempt) { a.Endpoint = Replaced }, EndpointReplaced},
	} {
		a := Attempt{Now: 10 * ms, Deadline: time.Second}
		c.change(&a)
		if got := a.Check(); got != c.want || got.EndpointSpecific() != (a.Endpoint != Active) {
			t.Errorf("%s: %v, %v is expected", name, got, c.want)
		}
	}
}

// A connection is not closed over a request that has no answer yet, nor over one that is unread.
func TestCloseOverWhatIsOwed(t *testing.T) {
	for facts, want := range map[Close]Reason{
		{}: Allowed, {AnswerPending: true}: AnswerPending, {UnreadData: true}: UnreadData, {AnswerPending: true, UnreadData: true}: AnswerPending,
	} {
		if got := facts.Check(); got != want {
			t.Errorf("%+v: %v, %v is expected", facts, got, want)
		}
	}
}

// A call to discovery is made where none is out that may be answered in time, and there is room.
func TestCallWhereNoneIsInTime(t *testing.T) {
	for facts, want := range map[Call]Reason{
		{MaxInFlight: 3}: Allowed, {InFlight: 2, MaxInFlight: 3}: Allowed, {InFlight: 3, MaxInFlight: 3}: TooManyCalls, {InFlight: 1, AnyTimely: true, MaxInFlight: 3}: CallInFlight,
	} {
		if got := facts.Check(); got != want {
			t.Errorf("%+v: %v, %v is expected", facts, got, want)
		}
	}
}

// What was written though it may not be is seen by the process that wrote it, as far as it can be.
func TestWrittenThoughItMayNot(t *testing.T) {
	for name, c := range map[string]struct {
		w      WrittenAttempt
		rule   Rule
		broken bool
	}{
		"an active endpoint":     {WrittenAttempt{At: time.Hour}, 0, false},
		"within the grace":       {WrittenAttempt{At: 2 * time.Second, Endpoint: Draining, NotifiedAt: time.Second, Grace: time.Second}, 0, false},
		"after the grace":        {WrittenAttempt{At: 2*time.Second + 1, Endpoint: Draining, NotifiedAt: time.Second, Grace: time.Second}, SendAfterDrain, true},
		"gone, after the grace":  {WrittenAttempt{At: 3 * time.Second, Endpoint: Removed, NotifiedAt: time.Second, Grace: time.Second}, SendAfterDrain, true},
		"a repeat in its window": {WrittenAttempt{At: ms, DedupUntil: ms}, 0, false},
		"a repeat after it":      {WrittenAttempt{At: 2 * ms, DedupUntil: ms}, DuplicateEffect, true},
		"unsafe, sent again":     {WrittenAttempt{Unsafe: true, MayHaveRun: true}, DuplicateEffect, true},
		"unsafe, sent once":      {WrittenAttempt{Unsafe: true}, 0, false},
	} {
		if rule, broken := c.w.ViolatedRule(); rule != c.rule || broken != c.broken {
			t.Errorf("%s: %v %t", name, rule, broken)
		}
	}
}

// Logs and metrics name every reason and rule.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for r := range NumReasons {
		seen[r.String()] = true
	}
	for r := range NumRules {
		seen[r.String()] = true
	}
	if len(seen) != int(NumReasons)+int(NumRules) || seen[""] || NumReasons.String() != "unknown" {
		t.Errorf("names: %v", seen)
	}
}
