// Command mutants breaks the code on purpose, one place at a time, and runs the
// explorations that ought to find it. A property that no mutant breaks has not
// been shown to be checked. The sources are not touched: each mutant is an
// overlay of the go command.
//
//	go run ./bench/mutants [-of internal/fleet]
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// mutant is a change of one place and the property that it breaks.
type mutant struct {
	file, from, to string
	test           string // that explores the file's package
	breaks         string // in the words of the property
}

const (
	measures = "Test(ToldOnce|TornTable|BackInSteps|AnswersNotUsed|AskedForLittle|ChangeIsFollowed|Liar|Assigned)"
	losses   = "Test(NoLoss|NoLossByFew|Loss|Return|OddReturns|FalseLosses|Spread|Admit|Doors|EveryGatewayLooks|DoorRises|PlanForLoss)"

	// Of these, too, each test is a property.
	effects  = "Test(AttemptIsHeldBackByEachFact|CloseOverWhatIsOwed|CallWhereNoneIsInTime|WrittenThoughItMayNot)"
	gates    = "Test(GateIsAskedBeforeTheFirstByte|EndedWhileItWaitsIsNotSent)"
	drains   = "TestEndpointThatDrains(WhileAnAttemptWaits|WhileAKeyIsKept)"
	clocks   = "TestSlowStartThoughTheClockWasSet"
	renewals = "Test(RenewedInTimeThoughCallsAreRefused|RefusedOnceMoreAsDiscoveryComesBack)"
	watches  = "TestSlowDiscoveryIsHeard"

	starts = "Test(SavedUpAtMost|OneEndpointIsNotSentWhatIsDueToAll|CreditThatDrawsLeaveIsSpent|BurstDoesNotPushColdEndpointsOver|ManyMeetReplacedEndpoints|ColdServersAreSparedWhileMostIsTurnedAway|HeldForProbesAndOverItsBudget|PopularKeyDoesNotPushOneColdEndpointOver)"

	// Of what judges sidecars beside kills: the sidecar's, and the judges' own.
	besideKills  = "TestNothingIsLostBesideKills"
	verdicts     = "TestVerdicts"
	trialJudge   = "Test(DroppedByTheNextProcess|CutOffByAKill|DroppedByAProcessThatEnds|RefusedBeforeAKill|ToldBeforeDiscoveryIsDown|HeldUp)"
	trialOutcome = "TestOutcome"

	unread    = "TestStallIsNotBlamed"
	shortages = "Test(BurstAfterACommonHoldUp|BurstAtManySidecars|BacklogOfAHoldUpWhileShort|StrangersInCrowd)"

	budgets = "TestEveryOrder"
	charges = "TestChargesInEveryOrder"
	courses = "TestCourseInEveryOrder"
	leases  = "(TestEveryOrderOfLeases|TestSchedules|TestLateWord)"
	duties  = "(TestEveryOrderOfDuty|TestPromiseToFormerSelf)"

	over     = "more is in use than there is"
	counted  = "what is counted is not what is in use"
	gone     = "a part that has left keeps a reserve"
	starved  = "a part is refused within its reserve although there is room"
	attempts = "the attempts that are counted are not those that are out"
	out      = "nothing is out, and work is counted as out"
	kept     = "nothing ran, and something is still charged"
	grew     = "the share grew where it may not"
	jumped   = "a step was not taken whole"
	went     = "what was over went on"
	blamed   = "what is worse was not undone"
	word     = "a word was taken where it means nothing"
	paused   = "a pause moved it"
	left     = "undone, and some still meet the new pool"
	exceeded = "all together may admit more than the quota"
	two      = "two hold the duty at once"
	another  = "a promise to another counts"
	term     = "a later holder has no later term"
	tokens   = "a team has attempts below 0 or beyond what may be saved up"
)

var mutants = []mutant{
	{"internal/budget/budget.go", "b.used+n > b.total || ", "", budgets, over},
	{"internal/budget/budget.go", "	b.used -= n\n", "", budgets, starved},
	{"internal/budget/budget.go", "	p.used -= n\n", "", budgets, counted},
	{"internal/budget/budget.go", "	p.setReserve(0)\n", "", budgets, gone},
	{"internal/budget/budget.go", "p.budget.claimed += max(p.used, n) - max(p.used, p.reserve)", "p.budget.claimed += n - p.reserve", budgets, counted},
	{"internal/budget/budget.go", "max(p.used+n, p.reserve) - max(p.used, p.reserve)", "n", budgets, counted},
	{"internal/budget/budget.go", "p.used+n > p.reserve && b.claimed+more > b.total", "b.claimed+n > b.total", budgets, starved},

	{"internal/broker/capacity.go", "if c.attempts--; c.attempts <= 0 {", "if c.attempts <= 0 {", charges, attempts},
	{"internal/broker/capacity.go", "	c.attempts++\n", "	c.attempts += 2\n", charges, attempts},
	{"internal/broker/capacity.go", "		c.attempts, c.out, c.emptied = 0, 0, now // rounding errors do not pile up\n	}\n	c.out = math.Max(c.out-t.work, 0)\n", "		c.attempts, c.emptied = 0, now\n	}\n", charges, out},
	{"internal/broker/broker.go", "	t.standing().work.charge(b.now, t.call.workLimit(), -t.work)\n", "", charges, kept},
	{"internal/broker/broker.go", "	t.standing().work.charge(b.now, t.call.workLimit(), -t.work)\n", "	t.call.work.charge(b.now, t.call.workLimit(), -t.work)\n", charges, kept},
	{"internal/broker/broker.go", "		b.shares.refund(&t.account.share, t.work)\n", "", charges, kept},
	{"internal/broker/broker.go", "if e == Declined || e == Unrun {", "if e == Unrun {", charges, kept},
	{"internal/broker/broker.go", "	if again {\n		t.account.tokens", "	if false {\n		t.account.tokens", charges, kept},
	{"internal/broker/broker.go", "t.account.tokens = math.Min(t.account.tokens+1, t.account.most)", "t.account.tokens++", charges, tokens},
	{"internal/broker/broker.go", "a.tokens = math.Min(a.tokens+retryPerRequest, a.most)", "a.tokens += retryPerRequest", charges, tokens},

	{"internal/moves/course.go", "gap > pause || gap < 0", "gap < 0", courses, paused},
	{"internal/moves/course.go", "		c.Since, c.EndedAtStart = now, v.NewRequests\n		if c.WaitingFor", "		if c.WaitingFor", courses, jumped},
	{"internal/moves/course.go", "case lacking > 0:", "case lacking > p.StepTime:", courses, jumped},
	{"internal/moves/course.go", "case v.NewRequests-c.EndedAtStart < p.StepRequests:", "case v.NewRequests < 0:", courses, jumped},
	{"internal/moves/course.go", "case !v.Sufficient:", "case false:", courses, jumped},
	{"internal/moves/course.go", "min(want, at.ToCapacity)", "want", courses, grew},
	{"internal/moves/course.go", "		if v.Regression != \"\" {", "		if v.Regression != \"\" && c.Phase != Paused {", courses, blamed},
	{"internal/moves/course.go", "	c.Phase, c.Since = Undone, now\n", "	c.Phase, c.Since, c.Share = Undone, now, 0.1\n", courses, left},
	{"internal/moves/course.go", "	case c.Phase == Undone, c.Phase == Done:\n		return errOver\n	case c.Phase != Waiting:", "	case c.Phase != Waiting && c.Phase != Undone:", courses, word},
	{"internal/moves/course.go", "	if c.Phase == Waiting || c.Phase == Undone {\n		return\n	}\n	c.Step = 0", "	if c.Phase == Undone {\n		c.Phase = Moving\n	}\n	c.Step = 0", courses, grew},
	{"internal/moves/course.go", "	case at.To == 0:\n		return \"no endpoint of the new pool is ready\"\n", "", courses, jumped},

	{"internal/fleet/quota/holder.go", "Own: max(0, own-h.outstanding(now))", "Own: own", leases, exceeded},
	{"internal/fleet/quota/holder.go", "int64(now + h.set.surely(h.set.Lease))", "int64(now + h.set.Lease*3/4)", leases, exceeded},
	{"internal/fleet/quota/holder.go", "	if now < h.fresh {\n", "	if false {\n", leases, exceeded},
	{"internal/fleet/quota/holder.go", " || now < h.fresh || h.ask <= 0", " || h.ask <= 0", leases, exceeded},
	{"internal/fleet/quota/holder.go", "clamp(r.Grant), at+r.For", "clamp(r.Grant), now+r.For", leases, exceeded},
	{"internal/fleet/quota/holder.go", "e.seq <= r.Heard && ", "", leases, exceeded},
	{"internal/fleet/lease/lease.go", "		if answers <= r.anchor {\n", "		if false {\n", leases, exceeded},
	{"internal/fleet/quota/holder.go", "		sum += h.ceded[i].entries.most(int64(now))", "		sum = h.ceded[i].entries.most(int64(now))", leases, exceeded},
	{"internal/fleet/quota/holder.go", "h.part-keep-others", "h.part-keep", leases, exceeded},
	{"internal/fleet/lease/lease.go", "	if seq <= r.Latest {\n", "	if false {\n", leases, exceeded},
	{"internal/fleet/quota/steward.go", "int64((at + s.set.Lease) / s.slot)", "int64((max(at, a.heardAt) + s.set.Lease*3/2) / s.slot)", leases, exceeded},
	{"internal/fleet/quota/steward.go", "last := int64((a.heardAt+s.set.surely(d))/s.slot) + 1", "last := int64((a.heardAt+d/2)/s.slot) + 1", leases, exceeded},
	{"internal/fleet/quota/steward.go", "s.ceded[s.now%window], s.granted[s.now%window] = 0, 0", "s.granted[s.now%window] = 0", leases, exceeded},
	{"internal/fleet/quota/steward.go", "e.incarnation == r.Incarnation && e.seq < r.Heard", "e.incarnation == r.Incarnation && e.seq <= r.Heard", leases, exceeded},
	{"internal/fleet/quota/steward.go", "if !known || r.ToIncarnation != s.incarnation {", "if !known {", leases, exceeded},
	{"internal/fleet/quota/steward.go", "			to = max(to, most-(s.ceded[k%window]-s.granted[k%window]))\n", "			_ = most\n", leases, exceeded},
	{"internal/fleet/quota/steward.go", "a.grants.most(k)+s.ceded[k%window]-s.granted[k%window]", "a.grants.most(k)+s.ceded[k%window]", leases, exceeded},
	{"internal/fleet/quota/steward.go", "Relied: a.cessions.most(s.now),", "Relied: a.offered,", leases, exceeded},
	{"internal/fleet/quota/steward.go", "		s.granted[i] += a.grants.most(s.now+int64(k)) - granted[k]\n", "", leases, exceeded},
	{"internal/fleet/quota/quota.go", "o.amount <= x.amount && o.end <= x.end", "o.end <= x.end", leases, exceeded},
	{"internal/fleet/quota/quota.go", "	if now < l.Until {\n", "	if l.Until > 0 {\n", leases, exceeded},
	{"internal/fleet/duty/duty.go", "at+s.set.Lease)", "max(at, now)+s.set.Lease*3/2)", duties, two},
	{"internal/fleet/duty/duty.go", "now+v.set.surely()\n", "now+v.set.Lease/2\n", duties, two},
	{"internal/fleet/duty/duty.go", "v.replies.Latest == 0 || now < v.fresh || ", "v.replies.Latest == 0 || ", duties, two},
	{"internal/fleet/duty/duty.go", " || other && now < v.promised", " || other && false", duties, two},
	{"internal/fleet/duty/duty.go", "v.promisedTo != v.choice.Name || v.promisedIs", "v.promisedIs", duties, two},
	{"internal/fleet/duty/duty.go", " && r.ToIncarnation == s.incarnation {", " {", duties, another},
	{"internal/fleet/duty/duty.go", "s.ends[(len(s.ends)-1)/2]", "s.ends[(len(s.ends)+1)/2]", duties, term},
	{"internal/fleet/duty/duty.go", "known && r.Promise && r.ToIncarnation", "known && r.ToIncarnation", duties, two},
	{"internal/fleet/duty/duty.go", "	s.known = max(s.known, r.Term)\n", "", duties, term},
	{"internal/fleet/duty/duty.go", "	if now >= s.Until() {\n", "	if s.term > 0 && now >= s.Until()+s.set.Lease {\n", duties, two},
	{"internal/fleet/duty/duty.go", "s.known.round()+1", "s.known.round()", duties, term},

	{"internal/fleet/weights/meter.go", "	if t.parts&(1<<r.Part) != 0 {\n		return false\n	}\n", "", measures, "TestToldOnce"},
	{"internal/fleet/weights/table.go", "	if a.Table.Less(c.number) {\n		return nil\n	}\n", "", measures, "TestTornTable"},
	{"internal/fleet/weights/table.go", "if c.has != 1<<a.Parts-1 {", "if c.has == 0 {", measures, "TestTornTable"},
	{"internal/fleet/weights/table.go", "step := stepPart * steps", "step := 10 * steps", measures, "TestBackInSteps"},
	{"internal/fleet/weights/table.go", "	if now-c.fresh > stale {\n		target = nil\n	}\n", "", measures, "TestBackInSteps"},
	{"internal/fleet/weights/table.go", "at += math.Max(-stepPart, math.Min(off, stepPart))", "at += off", measures, "TestAssigned"},
	{"internal/fleet/weights/table.go", "math.Abs(off) > math.Max(stillPart, e.Deviation)", "math.Abs(off) > 0", measures, "TestAssigned"},
	{"internal/fleet/weights/node.go", " || now-sent > n.lease", "", measures, "TestAnswersNotUsed"},
	{"internal/fleet/weights/node.go", "a.From != d.Holder || ", "", measures, "TestAnswersNotUsed"},
	{"internal/fleet/weights/node.go", " || a.Table.Term != d.Term", "", measures, "TestAnswersNotUsed"},
	{"internal/fleet/weights/estimate.go", "math.Log(k.good / (k.good + k.bad))", "0", measures, "TestAskedForLittle"},
	{"internal/fleet/weights/estimate.go", "math.Max(busyPart(inside, m), 1e-6)", "math.Max(busyPart(inside, m), 1)", measures, "TestAskedForLittle"},
	{"internal/fleet/weights/estimate.go", "		k.variance = changeDrift * changeDrift\n", "", measures, "TestChangeIsFollowed"},
	{"internal/fleet/weights/estimate.go", "if len(k.from) >= 3 {", "if len(k.from) >= 300 {", measures, "TestLiar"},
	{"internal/fleet/sites/sites.go", "v.gone >= leastObservers && ", "", losses, "TestNoLossByFew"},
	{"internal/fleet/sites/sites.go", "2*v.gone > v.observers && ", "", losses, "TestNoLossByFew"},
	{"internal/fleet/sites/sites.go", "float64(v.dead) >= deadAt*float64(v.tried) && ", "", losses, "TestFalseLosses"},
	{"internal/fleet/sites/sites.go", "	if j.home[gateway] == siteName { // it may be alive within, and cut off\n		return\n	}\n", "", losses, "TestLoss"},
	{"internal/fleet/sites/sites.go", "elsewhere == 0 || ", "", losses, "TestNoLossByFew"},
	{"internal/fleet/sites/sites.go", "s.wait = min(2*s.wait, longestWait)", "s.wait = firstWait", losses, "TestReturn"},
	{"internal/fleet/sites/sites.go", "gone < len(j.sites)", "true", losses, "TestNoLoss"},
	{"internal/fleet/sites/sites.go", "s.part = max(firstPart, s.part/2)", "s.part = max(firstPart, s.part)", losses, "TestOddReturns"},
	{"internal/fleet/sites/sites.go", "max(1.5*s.part, s.part+partStep)", "1", losses, "TestOddReturns"},
	{"internal/fleet/sites/door.go", "math.Min(part, was+rise)", "math.Min(part, was+rise+1)", losses, "TestDoorRises"},
	{"internal/fleet/sites/door.go", "if turn%uint64(cycle) != 0 {", "if len(listed) > 1<<20 {", losses, "TestEveryGatewayLooks"},
	{"internal/fleet/sites/door.go", "first := (turn/uint64(cycle) + ", "first := (0*turn + ", losses, "TestEveryGatewayLooks"},
	{"internal/fleet/sites/spread.go", "	room -= floor * sum\n", "", losses, "TestAdmit"},
	{"internal/fleet/sites/spread.go", "			amount = math.Min(amount, placed[v][from[v]-n])\n", "", losses, "TestSpread"},
	{"internal/fleet/sites/plan.go", "return p.set.Utilisation * s.Capacity * p.judge.Part(s.Name)", "return s.Capacity * p.judge.Part(s.Name)", losses, "TestPlanForLoss"},

	{"internal/permit/permit.go", "	case a.CalledOff:\n		return CalledOff\n", "", effects, "TestAttemptIsHeldBackByEachFact"},
	{"internal/permit/permit.go", "	case a.ClientLeft:\n		return ClientLeft\n", "", effects, "TestAttemptIsHeldBackByEachFact"},
	{"internal/permit/permit.go", "a.Now >= a.Deadline", "a.Now > a.Deadline", effects, "TestAttemptIsHeldBackByEachFact"},
	{"internal/permit/permit.go", "a.Now+HoldUp > a.RepeatBy", "a.Now > a.RepeatBy", effects, "TestAttemptIsHeldBackByEachFact"},
	{"internal/permit/permit.go", "case a.Unsafe && a.MayHaveRun:", "case false:", effects, "TestAttemptIsHeldBackByEachFact"},
	{"internal/permit/permit.go", "{Allowed, EndpointDrains, EndpointGone", "{Allowed, Allowed, EndpointGone", effects, "TestAttemptIsHeldBackByEachFact"},
	{"internal/permit/permit.go", "EndpointGone, EndpointReplaced}", "EndpointGone, Allowed}", effects, "TestAttemptIsHeldBackByEachFact"},
	{"internal/permit/permit.go", "	case c.Answering:\n		return Answering\n", "", effects, "TestCloseOverWhatIsOwed"},
	{"internal/permit/permit.go", "	case c.Waiting:\n		return Unread\n", "", effects, "TestCloseOverWhatIsOwed"},
	{"internal/permit/permit.go", "c.Out >= c.Most", "c.Out > c.Most", effects, "TestCallWhereNoneIsInTime"},
	{"internal/permit/violation.go", "w.At > w.Since+w.Grace", "w.At > w.Since+2*w.Grace", effects, "TestWrittenThoughItMayNot"},
	{"internal/permit/violation.go", "w.RepeatBy > 0 && w.At > w.RepeatBy", "false", effects, "TestWrittenThoughItMayNot"},
	{"internal/upstream/attempt.go", "if refused := t.permitted(); refused != permit.Allowed {", "if refused := t.permitted(); false {", gates, "TestGateIsAskedBeforeTheFirstByte"},
	{"internal/upstream/attempt.go", "		t.terms.Gate.Look(facts)\n", "", gates, "TestGateIsAskedBeforeTheFirstByte"},
	{"internal/upstream/attempt.go", "			if refused.OfEndpoint() {\n", "			if false {\n", gates, "TestGateIsAskedBeforeTheFirstByte"},
	{"internal/upstream/attempt.go", "	t.wrote()\n", "", gates, "TestGateIsAskedBeforeTheFirstByte"},
	{"internal/upstream/attempt.go", " || errors.Is(cause, ErrNotThere)", "", gates, "TestEndedWhileItWaitsIsNotSent"},
	{"internal/core/endpoints.go", "			known.listing.becomes(permit.Replaced, now)\n", "", drains, "TestEndpointThatDrainsWhileAnAttemptWaits"},
	{"internal/core/endpoints.go", "		l.becomes(listings[p.Readiness], now)\n", "", drains, "TestEndpointThatDrainsWhileAnAttemptWaits"},
	{"internal/core/endpoints.go", "	e.listing.becomes(permit.Gone, now)\n", "", drains, "TestEndpointThatDrainsWhileAnAttemptWaits"},
	{"internal/core/lists.go", "		s.endUnsent()\n", "", drains, "TestEndpointThatDrainsWhileAKeyIsKept"},
	{"internal/core/started.go", "		at = max(at, now-since-listedWithin)\n", "", clocks, "TestSlowStartThoughTheClockWasSet"},
	{"internal/core/started.go", "min(time.Duration(told)*time.Millisecond, now)", "time.Duration(told) * time.Millisecond", clocks, "TestSlowStartThoughTheClockWasSet"},
	{"internal/core/started.go", "	if before, ok := s.gone[id]; ok && before.told == told {\n		return before\n	}\n", "", clocks, "TestSlowStartThoughTheClockWasSet"},
	{"policy/slowstart.go", "(f.answered - b.counted) * b.rate", "3 * (f.answered - b.counted) * b.rate", starts, "TestBurstDoesNotPushColdEndpointsOver"},
	{"policy/slowstart.go", "		b.fleet.slowStart.all.tokens -= work\n", "", starts, "TestBurstDoesNotPushColdEndpointsOver"},
	{"policy/slowstart.go", "b.fleet.slowStart.all.tokens >= 0 && ", "", starts, "TestBurstDoesNotPushColdEndpointsOver"},
	{"policy/slowstart.go", "math.Min(b.tokens+earned, burst)", "b.tokens + earned", starts, "TestSavedUpAtMost"},
	{"policy/slowstart.go", "tokens: -random(), ", "tokens: 1, ", starts, "TestBurstDoesNotPushColdEndpointsOver"},
	{"policy/slowstart.go", "baseRate * warmth * f.coldShare", "baseRate * warmth * 40", starts, "TestBurstDoesNotPushColdEndpointsOver"},
	{"policy/slowstart.go", "math.Min(b.provenPart(), math.Max(1+growth-all.rate, 0)) * work", "2 * work", starts, "TestManyMeetReplacedEndpoints"},
	{"policy/slowstart.go", "fleetBurst/float64(size)", "8+0*float64(size)", starts, "TestSavedUpAtMost"},
	{"policy/slowstart.go", "endpointBurst = 0.5", "endpointBurst = 5.0", starts, "TestSavedUpAtMost"},
	{"policy/slowstart.go", "fleetBurst, fleetUnused = 12.0, 2.0", "fleetBurst, fleetUnused = 120.0, 2.0", starts, "TestSavedUpAtMost"},
	{"policy/slowstart.go", "fleetBurst, fleetUnused = 12.0, 2.0", "fleetBurst, fleetUnused = 12.0, 200.0", starts, "TestCreditThatDrawsLeaveIsSpent"},
	{"policy/slowstart.go", "leastBurst = 0.1", "leastBurst = 5.0", starts, "TestSavedUpAtMost"},
	{"policy/slowstart.go", "math.Min(by.bucket.tokens+earned, endpointBurst)", "by.bucket.tokens + earned", starts, "TestSavedUpAtMost"},
	{"policy/slowstart.go", "math.Min(all.tokens+earned, b.fleet.slowStart.burst(b.set.FleetSize))", "all.tokens + earned", starts, "TestSavedUpAtMost"},
	{"policy/slowstart.go", "s.bucket.tokens >= -endpointDebt && ", "", starts, "TestOneEndpointIsNotSentWhatIsDueToAll"},
	{"policy/slowstart.go", "	if start.all.tokens < math.Min(waiting, leastBurst) {\n", "	if waiting >= 0 {\n", starts, "TestCreditThatDrawsLeaveIsSpent"},
	{"policy/slowstart.go", "	if start.all.tokens < math.Min(waiting, leastBurst) {\n", "	if waiting < 0 {\n", starts, "TestCreditThatDrawsLeaveIsSpent"},
	{"policy/slowstart.go", "s.bucket.tokens >= 0 && than.bucket.tokens >= 0", "true", starts, "TestPopularKeyDoesNotPushOneColdEndpointOver"},
	{"policy/slowstart.go", "	b.fleet.slowStart.answered += work\n", "", starts, "TestManyMeetReplacedEndpoints"},
	{"policy/request.go", "ok := func(s *server) bool { return b.maySend(r, s) && b.withinBudget(r, s) }", "ok := func(s *server) bool { return b.maySend(r, s) }", starts, "TestBurstDoesNotPushColdEndpointsOver"},
	{"policy/request.go", "	b.charge(r, s)\n", "", starts, "TestBurstDoesNotPushColdEndpointsOver"},
	{"policy/probe.go", " && b.withinBudget(r, s) }", " }", starts, "TestHeldForProbesAndOverItsBudget"},
	{"policy/discovery.go", "n.current == 0 || age >= currentFor", "true", renewals, "TestRenewedInTimeThoughCallsAreRefused"},
	{"policy/discovery.go", "drift-n.part", "drift+n.part", renewals, "TestRefusedOnceMoreAsDiscoveryComesBack"},
	{"policy/discovery.go", "max(watchSpread-age, shortestLost)", "shortestLost", renewals, "TestRenewedInTimeThoughCallsAreRefused"},
	{"internal/discovery/watch.go", "	w.lost(w.usual >= worked)\n", "", watches, "TestSlowDiscoveryIsHeard"},
	{"internal/discovery/watch.go", "		w.drop(w.calls[len(w.calls)-1])\n	}\n	w.begin(ctx, true)", "		w.drop(w.calls[0])\n	}\n	w.begin(ctx, true)", watches, "TestSlowDiscoveryIsHeard"},
	{"internal/discovery/watch.go", "	w.callOff()\n	w.counts.answered", "	w.counts.answered", watches, "TestSlowDiscoveryIsHeard"},

	{"internal/front/http1/plain.go", "	kept = p.write(&a, last)\n", "	kept = time.Now().UnixNano()%300 != 0 && p.write(&a, last)\n", besideKills, "TestNothingIsLostBesideKills"},
	{"internal/front/http1/plain.go", "	kept = p.write(&a, last)\n", "	if time.Now().UnixNano()%300 == 0 {\n		os.Exit(1)\n	}\n	kept = p.write(&a, last)\n", besideKills, "TestNothingIsLostBesideKills"},
	{"internal/front/http1/server.go", "acceptAfterStop = 600 * time.Millisecond", "acceptAfterStop = 0 * time.Millisecond", besideKills, "TestNothingIsLostBesideKills"},
	{"internal/lab/process/disturbance.go", " && !end.Before(d.From) && !d.laterThan(begun)", " && !d.laterThan(begun)", verdicts, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", " && !end.Before(d.From) && !d.laterThan(begun)", " && !end.Before(d.From)", verdicts, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", "d.Cause == Killed && ", "", verdicts, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", "closed = closed.Add(takesNew)", "closed = d.From", verdicts, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", "(d.Until.IsZero() || !from.After(d.Until))", "true", verdicts, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", " && made.After(d.From.Add(takesNew))", "", verdicts, "TestVerdicts"},
	{"internal/lab/federation/judge.go", "	if e.droppedBefore(r) {\n", "	if false {\n", verdicts, "TestVerdicts"},
	{"internal/lab/federation/judge.go", " && !e.reached(r.ID, end)\n", "\n", verdicts, "TestVerdicts"},
	{"internal/lab/federation/judge.go", "(d.Until.IsZero() || over.Before(d.Until))", "true", verdicts, "TestVerdicts"},
	{"internal/lab/federation/judge.go", "late := r.Took-heldUp >", "late := false && r.Took-heldUp >", verdicts, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", " && !end.Before(d.From) && !d.laterThan(begun)", " && !end.Before(d.From)", trialJudge, "TestDroppedByTheNextProcess"},
	{"internal/lab/process/disturbance.go", "	case Stopped: // the system takes them\n		return false\n", "", verdicts, "TestVerdicts"},
	{"internal/lab/trial/client.go", "	case side.done.Cut(c.begun, s.at.Add(took)): // its process was killed: its client sends again\n", "", trialJudge, "TestCutOffByAKill"},
	{"internal/lab/trial/client.go", "!side.done.ClosedDoor(begun, made) && ", "false && ", trialJudge, "TestRefusedBeforeAKill"},
	{"internal/lab/trial/registry.go", "	if !at.IsZero() && at.Before(told) {\n", "	if !at.IsZero() && at.Before(told) && r.down == NoFault {\n", trialJudge, "TestToldBeforeDiscoveryIsDown"},
	{"internal/lab/trial/judge.go", "return most > permit.HoldUp", "_, most = h.Within(time.Time{}, time.Now())\n	return most > permit.HoldUp", trialJudge, "TestHeldUp"},
	{"internal/broker/capacity.go", "waited > much && c.waiting == none && waited <= farTooMuch", "false", shortages, "TestBurstAfterACommonHoldUp"},
	{"internal/broker/capacity.go", "	c.waiting = none\n	c.open(now)\n}", "	c.open(now)\n}", shortages, "TestBurstAfterACommonHoldUp"},
	{"internal/broker/capacity.go", "	tells := t.admitted > c.waiting", "	tells := true", shortages, "TestBurstAfterACommonHoldUp"},
	{"internal/broker/capacity.go", "(c.out-c.behind.work)/rate", "c.out/rate", shortages, "TestBacklogOfAHoldUpWhileShort"},
	{"internal/broker/capacity.go", "	if c.queueAt(rate) <= farTooMuch*c.aim.value {\n		return\n	}\n", "", shortages, "TestBurstAtManySidecars"},
	{"internal/broker/capacity.go", "		c.through += t.work\n", "", shortages, "TestBurstAtManySidecars"},
	{"internal/broker/capacity.go", "unseen*c.out/c.attempts", "1e3", shortages, "TestStrangersInCrowd"},
	{"internal/core/delay.go", "return max(own, s.stalledSince(a.decided, time.Now()))", "return own", unread, "TestStallIsNotBlamed"},
	{"bench/trial/main.go", "return !v.HeldUp }", "return false }", trialOutcome, "TestOutcome"},
}

var of = flag.String("of", "", "only mutants of files with this in their path")

func main() {
	flag.Parse()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "spokegw-mutants-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	missed := 0
	tried := 0
	for i, m := range mutants {
		if !strings.Contains(m.file, *of) {
			continue
		}
		tried++
		events, property, err := try(m, filepath.Join(dir, fmt.Sprint(i)))
		if err != nil {
			return err
		}
		switch {
		case property == "":
			missed++
			fmt.Printf("MISSED  %s: %s\n", m.file, strings.TrimSpace(m.from))
		case property != m.breaks:
			missed++
			fmt.Printf("found after %2d events, but as %q: %s: %s\n", events, property, m.file, strings.TrimSpace(m.from))
		default:
			fmt.Printf("found after %2d events: %s\n", events, property)
		}
	}
	fmt.Printf("%d mutants, %d missed or taken for something else\n", tried, missed)
	if missed > 0 {
		return fmt.Errorf("%d are not found", missed)
	}
	return nil
}

var (
	numbered = regexp.MustCompile(`(?m)^[^\n]*?\b(\d+)\. `)
	end      = regexp.MustCompile(`then: (.*)`)
	failed   = regexp.MustCompile(`--- FAIL: (\w+)`)
)

// tested is the folder whose tests find a mutant: that of its file, but for what serves others.
func tested(m mutant) string {
	switch m.test {
	case leases:
		return "internal/fleet/quota"
	case besideKills:
		return "cmd/spokegw"
	case verdicts:
		return "internal/lab/federation"
	case trialJudge:
		return "internal/lab/trial"
	}
	return filepath.Dir(m.file)
}

// try runs the exploration with the mutant in place. It tells the length of the
// counterexample and the property that it breaks; "" where there is none.
func try(m mutant, folder string) (events int, property string, err error) {
	text, err := os.ReadFile(m.file)
	if err != nil {
		return 0, "", err
	}
	if n := strings.Count(string(text), m.from); n != 1 {
		return 0, "", fmt.Errorf("%s has %q %d times, once is expected", m.file, m.from, n)
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		return 0, "", err
	}
	changed, overlay := filepath.Join(folder, "changed.go"), filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.from, m.to, 1)), 0o600); err != nil {
		return 0, "", err
	}
	place, err := filepath.Abs(m.file)
	if err != nil {
		return 0, "", err
	}
	json, _ := json.Marshal(map[string]any{"Replace": map[string]string{place: changed}})
	if err := os.WriteFile(overlay, json, 0o600); err != nil {
		return 0, "", err
	}
	// The exit code tells nothing that the output does not.
	args := []string{"test", "-count=1", "-vet=off", "-timeout", "60s", "-overlay", overlay, "-run", "^" + m.test + "$", "./" + tested(m)}
	switch m.test {
	case leases:
		args = append(args, "-explore-depth", "6", "-schedules", "400")
	case duties:
		args = append(args, "-explore-depth", "6")
	}
	output, _ := exec.Command("go", args...).CombinedOutput()
	found := end.FindSubmatch(output)
	if slices.Contains([]string{measures, losses, effects, gates, drains, clocks, renewals, watches, starts, shortages, unread, besideKills, verdicts, trialJudge, trialOutcome}, m.test) { // each test is a property
		found = failed.FindSubmatch(output)
		for _, test := range failed.FindAllSubmatch(output, -1) {
			if string(test[1]) == m.breaks { // others may fail before it
				found = test
			}
		}
	}
	if found == nil {
		if strings.Contains(string(output), "build failed") {
			return 0, "", fmt.Errorf("a mutant of %s can't be built: %s", m.file, output)
		}
		return 0, "", nil
	}
	return len(numbered.FindAllSubmatch(output, -1)), string(found[1]), nil
}
