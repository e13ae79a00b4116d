package permit

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each fact that changes between a decision and its effect blocks the attempt by itself, with its
// own reason.
func TestAttemptCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Reason
	}{
		"nothing has changed":                     {func(*Attempt) {}, Allowed},
		"cancelled":                               {func(a *Attempt) { a.Cancelled = true }, Cancelled},
		"its client has disconnected":             {func(a *Attempt) { a.ClientDisconnected = true }, ClientDisconnected},
		"its deadline is now":                     {func(a *Attempt) { a.Now = a.Deadline }, DeadlineExceeded},
		"just before its deadline":                {func(a *Attempt) { a.Now = a.Deadline - 1 }, Allowed},
		"the process has to have answered by now": {func(a *Attempt) { a.AnswerBy = a.Now }, ProcessEnding},
		"just before the process has to answer":   {func(a *Attempt) { a.AnswerBy = a.Now + 1 }, Allowed},
		"a repeat in its window":                  {func(a *Attempt) { a.DedupUntil = a.Now + MaxStall }, Allowed},
		"a repeat that may be written too late":   {func(a *Attempt) { a.DedupUntil = a.Now + MaxStall - 1 }, DedupWindowExpired},
		"unsafe, and none may have run":           {func(a *Attempt) { a.Unsafe = true }, Allowed},
		"unsafe, and an earlier one may have run": {func(a *Attempt) { a.Unsafe, a.MayHaveRun = true, true }, EffectUncertain},
		"safe, and an earlier one may have run":   {func(a *Attempt) { a.MayHaveRun = true }, Allowed},
		"its endpoint is draining":                {func(a *Attempt) { a.Endpoint = Draining }, EndpointDraining},
		"its endpoint was removed":                {func(a *Attempt) { a.Endpoint = Removed }, EndpointRemoved},
		"its endpoint was replaced":               {func(a *Attempt) { a.Endpoint = Replaced }, EndpointReplaced},
	} {
		a := Attempt{Now: 10 * ms, Deadline: time.Second}
		c.change(&a)
		if got := a.Check(); got != c.want || got.EndpointSpecific() != (a.Endpoint != Active) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// A connection is not closed while a request awaits its answer, or while received bytes are unread.
func TestCloseCheck(t *testing.T) {
	for facts, want := range map[Close]Reason{
		{}: Allowed, {AnswerPending: true}: AnswerPending, {UnreadData: true}: UnreadData, {AnswerPending: true, UnreadData: true}: AnswerPending,
	} {
		if got := facts.Check(); got != want {
			t.Errorf("%+v: got %v, want %v", facts, got, want)
		}
	}
}

// A call to discovery is made if none in flight may be answered in time, and the limit is not reached.
func TestCallCheck(t *testing.T) {
	for facts, want := range map[Call]Reason{
		{MaxInFlight: 3}: Allowed, {InFlight: 2, MaxInFlight: 3}: Allowed, {InFlight: 3, MaxInFlight: 3}: TooManyCalls, {InFlight: 1, AnyTimely: true, MaxInFlight: 3}: CallInFlight,
	} {
		if got := facts.Check(); got != want {
			t.Errorf("%+v: got %v, want %v", facts, got, want)
		}
	}
}

// A write that was not permitted is detected by the process that made it, as far as it can be.
func TestViolatedRule(t *testing.T) {
	for name, c := range map[string]struct {
		w      WrittenAttempt
		rule   Rule
		broken bool
	}{
		"an active endpoint":       {WrittenAttempt{At: time.Hour}, 0, false},
		"within the grace":         {WrittenAttempt{At: 2 * time.Second, Endpoint: Draining, NotifiedAt: time.Second, Grace: time.Second}, 0, false},
		"after the grace":          {WrittenAttempt{At: 2*time.Second + 1, Endpoint: Draining, NotifiedAt: time.Second, Grace: time.Second}, SendAfterDrain, true},
		"removed, after the grace": {WrittenAttempt{At: 3 * time.Second, Endpoint: Removed, NotifiedAt: time.Second, Grace: time.Second}, SendAfterDrain, true},
		"a repeat in its window":   {WrittenAttempt{At: ms, DedupUntil: ms}, 0, false},
		"a repeat after it":        {WrittenAttempt{At: 2 * ms, DedupUntil: ms}, DuplicateEffect, true},
		"unsafe, retried":          {WrittenAttempt{Unsafe: true, MayHaveRun: true}, DuplicateEffect, true},
		"unsafe, sent once":        {WrittenAttempt{Unsafe: true}, 0, false},
	} {
		if rule, broken := c.w.ViolatedRule(); rule != c.rule || broken != c.broken {
			t.Errorf("%s: got %v %t", name, rule, broken)
		}
	}
}

// Every reason and rule has its own name for logs and metrics.
func TestReasonAndRuleNames(t *testing.T) {
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
