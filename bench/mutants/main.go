// Command mutants introduces one defect at a time into the code and runs the
// tests that should find it. A property that no mutant breaks has not been shown
// to be checked. The source files are not changed: each mutant is an overlay of
// the go command.
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

// mutant is a defect in one place of a file, and the property that it breaks.
type mutant struct {
	file, from, to string
	tests          string // regular expression of the tests that should find it
	property       string // as the tests print it: the text after "then: ", or the name of the failing test
}

// Tests by group. In the groups of namedByTest the property is the name of a test.
const (
	weightTests = "Test(CountedOnce|TornTable|FactorsMoveInSteps|AnswersNotUsed|LittleLoad|ChangeIsFollowed|LyingGateway|Assigned)"
	siteTests   = "Test(NoLoss|NoLossByFewObservers|Loss|Return|ReturnOfSmallSiteDoesNotStop|ReturnWithFewAttempts|UnusualReturns|FalseLosses|Spread|Admit|Enforcers|EveryGatewayProbes|EnforcerRisesInSteps|PlanForLoss)"

	permitTests  = "Test(AttemptCheck|CloseCheck|CallCheck|ViolatedRule)"
	gateTests    = "Test(GateCheckedBeforeFirstByte|CancelledWhileDialling)"
	drainTests   = "Test(AttemptNotSentAfterListChange|DrainEndsKeyWrite)"
	clockTests   = "TestSlowStartAfterClockChange"
	renewalTests = "Test(ListIsRenewedThoughCallsAreRefused|RefusalWhileDiscoveryRecovers)"
	watchTests   = "TestSlowDiscoveryAnswers"

	slowStartTests = "Test(SavedTokensAreBounded|EndpointDebtIsBounded|UnusedTokensAreSpent|BurstDoesNotOverloadColdEndpoints|FleetWithReplacedEndpoints|ColdServersAreSparedWhileTheyDecline|BudgetIsCheckedAfterProbes|PopularKeyDoesNotOverloadColdEndpoint)"

	// Tests of what judges sidecars while processes are killed: the sidecar's, and the judges' own.
	killTests         = "TestNoOtherLossDuringKills"
	verdictTests      = "TestVerdicts"
	trialJudgeTests   = "Test(DroppedByTheNextProcess|CutOffByAKill|DroppedByAProcessThatEnds|RefusedBeforeAKill|HeldRequestEndsWithItsProcess|ToldBeforeDiscoveryIsDown|HeldUp)"
	trialOutcomeTests = "TestOutcome"

	// Tests of where an answer ends.
	answerEndTests = "TestAnswerEndsWhereNetHTTPEndsIt"

	// Tests of configurations that change and clients that misbehave, over processes.
	reloadProcessTests = "TestReloadsAndMisbehavingClients"

	// Tests of a stop: of its schedule, of core, of the HTTP/1.1 front, and over processes on both paths.
	scheduleTests    = "Test(ScheduleEndsBeforeTheKill|LimitOfDeadlines|AcceptUntilOfLateSuccessorEnd|RequestedAtIsTheSignalsTime)"
	stopTests        = "Test(StopAnswers.*|RequestRead.*|HangingPeer.*|SecondStop.*)"
	stopFrontTests   = "Test(Incomplete.*AtStop|LongAnswerCutByStop.*|RequestBehind.*)"
	stopProcessTests = "Test(RequestTakenLateInUpgrade.*|FirstRequestLateInStop.*|StopDuringStart.*)"

	// Tests of what a front does with deadlines, ends of connections and long bodies.
	disconnectTests = "TestRequestEndsOnlyByEvidenceFromItsClient"
	interruptTests  = "TestInterruptLeavesCompleteBodyAlone"
	uploadTests     = "Test(WriteDeadlineFromHead.*|UploadToStalledEndpoint.*|TooMuchEarlyData.*)"

	attributionTests = "TestStallNotAttributedToEndpoint"
	shortageTests    = "Test(BurstAfterCommonStall|BurstAtManySidecars|InFlightAcrossStallDuringShortage|UncontractedOverload)"

	budgetTests   = "TestEveryOrder"
	chargeTests   = "TestChargesInEveryOrder"
	progressTests = "TestProgressModel"
	leaseTests    = "(TestEveryOrderOfLeases|TestSchedules|TestDelayedMessages)"
	electionTests = "(TestEveryOrderOfElection|TestVoteForEarlierCandidate)"
)

// Properties as the explorations print them.
const (
	totalExceeded        = "more is in use than there is"
	useMiscounted        = "what is counted is not what is in use"
	reserveKept          = "a part that has left keeps a reserve"
	refusedWithinReserve = "a part is refused within its reserve although there is room"
	attemptsMiscounted   = "the attempts that are counted are not those that are out"
	workInFlightWhenIdle = "nothing is out, and work is counted as out"
	chargeNotRefunded    = "nothing ran, and something is still charged"
	shareGrew            = "the share grew where it may not"
	stepSkipped          = "a step was not taken whole"
	continuedAfterEnd    = "what was over went on"
	regressionNotUndone  = "what is worse was not undone"
	invalidCommandTaken  = "a word was taken where it means nothing"
	movedByPause         = "a pause moved it"
	oldPoolNotRestored   = "undone, and some still meet the new pool"
	quotaExceeded        = "all together may admit more than the quota"
	twoLeaders           = "two hold the duty at once"
	voteForOtherCounted  = "a promise to another counts"
	termNotLater         = "a later holder has no later term"
	tokensOutOfBounds    = "a team has attempts below 0 or beyond what may be saved up"
)

// namedByTest lists the groups whose properties are names of failing tests.
var namedByTest = []string{
	weightTests, siteTests, permitTests, gateTests, drainTests, clockTests, renewalTests, watchTests, slowStartTests,
	scheduleTests, stopTests, stopFrontTests, stopProcessTests, disconnectTests, interruptTests, uploadTests, shortageTests, attributionTests, killTests, verdictTests, trialJudgeTests, trialOutcomeTests, answerEndTests, reloadProcessTests,
}

var mutants = []mutant{
	{"internal/budget/budget.go", "b.used+n > b.total || ", "", budgetTests, totalExceeded},
	{"internal/budget/budget.go", "	b.used -= n\n", "", budgetTests, refusedWithinReserve},
	{"internal/budget/budget.go", "	p.used -= n\n", "", budgetTests, useMiscounted},
	{"internal/budget/budget.go", "	p.setReserve(0)\n", "", budgetTests, reserveKept},
	{"internal/budget/budget.go", "p.budget.committed += max(p.used, n) - max(p.used, p.reserve)", "p.budget.committed += n - p.reserve", budgetTests, useMiscounted},
	{"internal/budget/budget.go", "max(p.used+n, p.reserve) - max(p.used, p.reserve)", "n", budgetTests, useMiscounted},
	{"internal/budget/budget.go", "p.used+n > p.reserve && b.committed+added > b.total", "b.committed+n > b.total", budgetTests, refusedWithinReserve},

	{"internal/front/http1/deadlines.go", "(time.Time) error { return nil }\n\nfunc (c *clientConn) beginWrite() { c.TCPConn.SetWriteDeadline(time.Now().Add(writeTimeout)) }", "(t time.Time) error { return c.TCPConn.SetWriteDeadline(t) }\n\nfunc (c *clientConn) beginWrite() {}", uploadTests, "TestWriteDeadlineFromHeadDoesNotLoseTheAnswer"},
	{"internal/front/upload.go", "if u.complete || u.ended {", "if u.ended {", interruptTests, "TestInterruptLeavesCompleteBodyAlone"},
	{"internal/core/disconnect.go", "if !x.connectionClosed() {", "if false {", disconnectTests, "TestRequestEndsOnlyByEvidenceFromItsClient"},
	{"internal/upstream/request.go", "return s.Source.EarliestEnd().Add(", "return time.Now().Add(", uploadTests, "TestUploadToStalledEndpointIsAnsweredInTime"},

	{"internal/broker/capacity.go", "if c.inFlight--; c.inFlight <= 0 {", "if c.inFlight <= 0 {", chargeTests, attemptsMiscounted},
	{"internal/broker/capacity.go", "	c.inFlight++\n", "	c.inFlight += 2\n", chargeTests, attemptsMiscounted},
	{"internal/broker/capacity.go", "		c.inFlight, c.inFlightWork, c.idleSince = 0, 0, now // discards rounding errors\n	}\n	c.inFlightWork = math.Max(c.inFlightWork-t.work, 0)\n", "		c.inFlight, c.idleSince = 0, now\n	}\n", chargeTests, workInFlightWhenIdle},
	{"internal/broker/broker.go", "	t.currentCall().work.charge(b.now, t.call.workLimit(), -t.work)\n", "", chargeTests, chargeNotRefunded},
	{"internal/broker/broker.go", "	t.currentCall().work.charge(b.now, t.call.workLimit(), -t.work)\n", "	t.call.work.charge(b.now, t.call.workLimit(), -t.work)\n", chargeTests, chargeNotRefunded},
	{"internal/broker/broker.go", "		b.shares.refund(&t.account.share, t.work)\n", "", chargeTests, chargeNotRefunded},
	{"internal/broker/broker.go", "if e == Declined || e == NotRun {", "if e == NotRun {", chargeTests, chargeNotRefunded},
	{"internal/broker/broker.go", "	if retry {\n		t.account.tokens", "	if false {\n		t.account.tokens", chargeTests, chargeNotRefunded},
	{"internal/broker/broker.go", "t.account.tokens = math.Min(t.account.tokens+1, t.account.maxTokens)", "t.account.tokens++", chargeTests, tokensOutOfBounds},
	{"internal/broker/broker.go", "a.tokens = math.Min(a.tokens+retryPerRequest, a.maxTokens)", "a.tokens += retryPerRequest", chargeTests, tokensOutOfBounds},

	{"internal/moves/progress.go", "gap > maxTickGap || gap < 0", "gap < 0", progressTests, movedByPause},
	{"internal/moves/progress.go", "		c.Since, c.EndedAtStart = now, a.NewRequests\n		if c.WaitingFor", "		if c.WaitingFor", progressTests, stepSkipped},
	{"internal/moves/progress.go", "case remaining > 0:", "case remaining > p.StepTime:", progressTests, stepSkipped},
	{"internal/moves/progress.go", "case a.NewRequests-c.EndedAtStart < p.StepRequests:", "case a.NewRequests < 0:", progressTests, stepSkipped},
	{"internal/moves/progress.go", "case !a.Sufficient:", "case false:", progressTests, stepSkipped},
	{"internal/moves/progress.go", "min(want, cond.ToCapacity)", "want", progressTests, shareGrew},
	{"internal/moves/progress.go", "		if a.Regression != \"\" {", "		if a.Regression != \"\" && c.Phase != Paused {", progressTests, regressionNotUndone},
	{"internal/moves/progress.go", "	c.Phase, c.Since = Undone, now\n", "	c.Phase, c.Since, c.Share = Undone, now, 0.1\n", progressTests, oldPoolNotRestored},
	{"internal/moves/progress.go", "	case c.Phase == Undone, c.Phase == Done:\n		return errFinished\n	case c.Phase != Waiting:", "	case c.Phase != Waiting && c.Phase != Undone:", progressTests, invalidCommandTaken},
	{"internal/moves/progress.go", "	if c.Phase == Waiting || c.Phase == Undone {\n		return\n	}\n	c.Step = 0", "	if c.Phase == Undone {\n		c.Phase = Moving\n	}\n	c.Step = 0", progressTests, shareGrew},
	{"internal/moves/progress.go", "	case cond.To == 0:\n		return \"no endpoint of the new pool is ready\"\n", "", progressTests, stepSkipped},

	{"internal/fleet/quota/participant.go", "Own: max(0, own-p.lent(now))", "Own: own", leaseTests, quotaExceeded},
	{"internal/fleet/quota/participant.go", "int64(now + p.settings.safeWait(p.settings.Lease))", "int64(now + p.settings.Lease*3/4)", leaseTests, quotaExceeded},
	{"internal/fleet/quota/participant.go", "	if now < p.floorUntil {\n", "	if false {\n", leaseTests, quotaExceeded},
	{"internal/fleet/quota/participant.go", " || now < p.floorUntil || p.lendTarget <= 0", " || p.lendTarget <= 0", leaseTests, quotaExceeded},
	{"internal/fleet/quota/participant.go", "clamp(r.Grant), sentAt+r.GrantTTL", "clamp(r.Grant), now+r.GrantTTL", leaseTests, quotaExceeded},
	{"internal/fleet/quota/participant.go", "e.seq <= r.Ack && ", "", leaseTests, quotaExceeded},
	{"internal/fleet/lease/lease.go", "		if answers <= f.maxAnswered {\n", "		if false {\n", leaseTests, quotaExceeded},
	{"internal/fleet/quota/participant.go", "		sum += p.loans[i].entries.maxAt(int64(now))", "		sum = p.loans[i].entries.maxAt(int64(now))", leaseTests, quotaExceeded},
	{"internal/fleet/quota/participant.go", "p.part-retained-otherLoans", "p.part-retained", leaseTests, quotaExceeded},
	{"internal/fleet/lease/lease.go", "	if seq <= f.Latest {\n", "	if false {\n", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "int64((sentAt + s.settings.Lease) / s.slotLength)", "int64((max(sentAt, a.lastReportAt) + s.settings.Lease*3/2) / s.slotLength)", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "endSlot := int64((a.lastReportAt+s.settings.safeWait(d))/s.slotLength) + 1", "endSlot := int64((a.lastReportAt+d/2)/s.slotLength) + 1", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "s.lent[s.nowSlot%window], s.granted[s.nowSlot%window] = 0, 0", "s.granted[s.nowSlot%window] = 0", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "e.incarnation == r.Incarnation && e.seq < r.Ack", "e.incarnation == r.Incarnation && e.seq <= r.Ack", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "if !known || r.ToIncarnation != s.incarnation {", "if !known {", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "			minimum = max(minimum, amount-(s.lent[k%window]-s.granted[k%window]))\n", "			_ = amount\n", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "a.grants.maxAt(k)+s.lent[k%window]-s.granted[k%window]", "a.grants.maxAt(k)+s.lent[k%window]", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "LoanInUse: a.loans.maxAt(s.nowSlot),", "LoanInUse: a.offered,", leaseTests, quotaExceeded},
	{"internal/fleet/quota/steward.go", "		s.granted[i] += a.grants.maxAt(s.nowSlot+int64(k)) - granted[k]\n", "", leaseTests, quotaExceeded},
	{"internal/fleet/quota/quota.go", "o.amount <= x.amount && o.end <= x.end", "o.end <= x.end", leaseTests, quotaExceeded},
	{"internal/fleet/quota/quota.go", "	if now < l.Until {\n", "	if l.Until > 0 {\n", leaseTests, quotaExceeded},
	{"internal/fleet/election/election.go", "sentAt+c.settings.Lease)", "max(sentAt, now)+c.settings.Lease*3/2)", electionTests, twoLeaders},
	{"internal/fleet/election/election.go", "now+v.settings.safeLease()\n", "now+v.settings.Lease/2\n", electionTests, twoLeaders},
	{"internal/fleet/election/election.go", "v.replies.Latest == 0 || now < v.noVoteUntil || ", "v.replies.Latest == 0 || ", electionTests, twoLeaders},
	{"internal/fleet/election/election.go", " || changed && now < v.voteExpires", " || changed && false", electionTests, twoLeaders},
	{"internal/fleet/election/election.go", "v.votedFor != v.peer.Name || v.votedIncarnation", "v.votedIncarnation", electionTests, twoLeaders},
	{"internal/fleet/election/election.go", " && r.ToIncarnation == c.incarnation {", " {", electionTests, voteForOtherCounted},
	{"internal/fleet/election/election.go", "c.expiries[(len(c.expiries)-1)/2]", "c.expiries[(len(c.expiries)+1)/2]", electionTests, termNotLater},
	{"internal/fleet/election/election.go", "known && r.Vote && r.ToIncarnation", "known && r.ToIncarnation", electionTests, twoLeaders},
	{"internal/fleet/election/election.go", "	c.maxTerm = max(c.maxTerm, r.Term)\n", "", electionTests, termNotLater},
	{"internal/fleet/election/election.go", "	if now >= c.LeaderUntil() {\n", "	if c.term > 0 && now >= c.LeaderUntil()+c.settings.Lease {\n", electionTests, twoLeaders},
	{"internal/fleet/election/election.go", "c.maxTerm.round()+1", "c.maxTerm.round()", electionTests, termNotLater},

	{"internal/fleet/weights/reporter.go", "	if p.parts&(1<<r.Part) != 0 {\n		return false\n	}\n", "", weightTests, "TestCountedOnce"},
	{"internal/fleet/weights/table.go", "	if a.Table.Less(r.version) {\n		return nil\n	}\n", "", weightTests, "TestTornTable"},
	{"internal/fleet/weights/table.go", "if r.received != 1<<a.Parts-1 {", "if r.received == 0 {", weightTests, "TestTornTable"},
	{"internal/fleet/weights/table.go", "step := maxStep * steps", "step := 10 * steps", weightTests, "TestFactorsMoveInSteps"},
	{"internal/fleet/weights/table.go", "	if now-r.confirmedAt > stale {\n		target = nil\n	}\n", "", weightTests, "TestFactorsMoveInSteps"},
	{"internal/fleet/weights/table.go", "logFactor += math.Max(-maxStep, math.Min(difference, maxStep))", "logFactor += difference", weightTests, "TestAssigned"},
	{"internal/fleet/weights/table.go", "math.Abs(difference) > math.Max(minMove, e.Deviation)", "math.Abs(difference) > 0", weightTests, "TestAssigned"},
	{"internal/fleet/weights/node.go", " || now-sent > n.lease", "", weightTests, "TestAnswersNotUsed"},
	{"internal/fleet/weights/node.go", "a.From != leadership.Leader || ", "", weightTests, "TestAnswersNotUsed"},
	{"internal/fleet/weights/node.go", " || a.Table.Term != leadership.Term", "", weightTests, "TestAnswersNotUsed"},
	{"internal/fleet/weights/estimate.go", "math.Log(k.successes / (k.successes + k.failures))", "0", weightTests, "TestLittleLoad"},
	{"internal/fleet/weights/estimate.go", "math.Max(utilisation(inFlight, m), 1e-6)", "math.Max(utilisation(inFlight, m), 1)", weightTests, "TestLittleLoad"},
	{"internal/fleet/weights/estimate.go", "		k.variance = changeDeviation * changeDeviation\n", "", weightTests, "TestChangeIsFollowed"},
	{"internal/fleet/weights/estimate.go", "if len(k.byGateway) >= 3 {", "if len(k.byGateway) >= 300 {", weightTests, "TestLyingGateway"},
	{"internal/fleet/sites/enforcer.go", "		if !selected {\n", "		if fraction < initialFraction {\n", siteTests, "TestReturnOfSmallSiteDoesNotStop"},
	{"internal/fleet/sites/sites.go", "	case s.undecided.total() >= minAttempts:\n", "	case false:\n", siteTests, "TestReturnWithFewAttempts"},
	{"internal/fleet/sites/sites.go", "a.gone >= minObservers && ", "", siteTests, "TestNoLossByFewObservers"},
	{"internal/fleet/sites/sites.go", "2*a.gone > a.observers && ", "", siteTests, "TestNoLossByFewObservers"},
	{"internal/fleet/sites/sites.go", "float64(a.dead) >= deadFraction*float64(a.tried) && ", "", siteTests, "TestFalseLosses"},
	{"internal/fleet/sites/sites.go", "	if d.home[gateway] == siteName { // the site may be alive internally, and cut off\n		return\n	}\n", "", siteTests, "TestLoss"},
	{"internal/fleet/sites/sites.go", "otherSites == 0 || ", "", siteTests, "TestNoLossByFewObservers"},
	{"internal/fleet/sites/sites.go", "s.wait = min(2*s.wait, maxReturnWait)", "s.wait = minReturnWait", siteTests, "TestReturn"},
	{"internal/fleet/sites/sites.go", "lost < len(d.sites)", "true", siteTests, "TestNoLoss"},
	{"internal/fleet/sites/sites.go", "s.fraction = max(initialFraction, s.fraction/2)", "s.fraction = max(initialFraction, s.fraction)", siteTests, "TestUnusualReturns"},
	{"internal/fleet/sites/sites.go", "max(1.5*s.fraction, s.fraction+minFractionStep)", "1", siteTests, "TestUnusualReturns"},
	{"internal/fleet/sites/enforcer.go", "math.Min(target, current+maxRise)", "math.Min(target, current+maxRise+1)", siteTests, "TestEnforcerRisesInSteps"},
	{"internal/fleet/sites/enforcer.go", "if turn%cycle != 0 {", "if len(ids) > 1<<20 {", siteTests, "TestEveryGatewayProbes"},
	{"internal/fleet/sites/enforcer.go", "first := (turn/cycle + ", "first := (0*turn + ", siteTests, "TestEveryGatewayProbes"},
	{"internal/fleet/sites/spread.go", "	capacity -= floor * sum\n", "", siteTests, "TestAdmit"},
	{"internal/fleet/sites/spread.go", "			amount = math.Min(amount, placed[v][previous[v]-n])\n", "", siteTests, "TestSpread"},
	{"internal/fleet/sites/plan.go", "return p.settings.Utilisation * s.Capacity * p.detector.Fraction(s.Name)", "return s.Capacity * p.detector.Fraction(s.Name)", siteTests, "TestPlanForLoss"},

	{"internal/permit/permit.go", "	case a.Cancelled:\n		return Cancelled\n", "", permitTests, "TestAttemptCheck"},
	{"internal/permit/permit.go", "	case a.ClientDisconnected:\n		return ClientDisconnected\n", "", permitTests, "TestAttemptCheck"},
	{"internal/permit/permit.go", "a.Now >= a.Deadline", "a.Now > a.Deadline", permitTests, "TestAttemptCheck"},
	{"internal/permit/permit.go", "a.Now+MaxStall > a.DedupUntil", "a.Now > a.DedupUntil", permitTests, "TestAttemptCheck"},
	{"internal/permit/permit.go", "case a.Unsafe && a.MayHaveRun:", "case false:", permitTests, "TestAttemptCheck"},
	{"internal/permit/permit.go", "{Allowed, EndpointDraining, EndpointRemoved", "{Allowed, Allowed, EndpointRemoved", permitTests, "TestAttemptCheck"},
	{"internal/permit/permit.go", "EndpointRemoved, EndpointReplaced}", "EndpointRemoved, Allowed}", permitTests, "TestAttemptCheck"},
	{"internal/permit/permit.go", "	case c.AnswerPending:\n		return AnswerPending\n", "", permitTests, "TestCloseCheck"},
	{"internal/permit/permit.go", "	case c.UnreadData:\n		return UnreadData\n", "", permitTests, "TestCloseCheck"},
	{"internal/permit/permit.go", "c.InFlight >= c.MaxInFlight", "c.InFlight > c.MaxInFlight", permitTests, "TestCallCheck"},
	{"internal/permit/violation.go", "w.At > w.NotifiedAt+w.Grace", "w.At > w.NotifiedAt+2*w.Grace", permitTests, "TestViolatedRule"},
	{"internal/permit/violation.go", "w.DedupUntil > 0 && w.At > w.DedupUntil", "false", permitTests, "TestViolatedRule"},
	{"internal/upstream/attempt.go", "if refused := t.checkStart(); refused != permit.Allowed {", "if refused := t.checkStart(); false {", gateTests, "TestGateCheckedBeforeFirstByte"},
	{"internal/upstream/attempt.go", "		t.constraints.Gate.FillFacts(facts)\n", "", gateTests, "TestGateCheckedBeforeFirstByte"},
	{"internal/upstream/attempt.go", "			if refused.EndpointSpecific() {\n", "			if false {\n", gateTests, "TestGateCheckedBeforeFirstByte"},
	{"internal/upstream/attempt.go", "	t.firstByteWritten()\n", "", gateTests, "TestGateCheckedBeforeFirstByte"},
	{"internal/upstream/attempt.go", " || errors.Is(cause, ErrEndpointUnavailable)", "", gateTests, "TestCancelledWhileDialling"},
	{"internal/core/endpoints.go", "			current.status.set(permit.Replaced, now)\n", "", drainTests, "TestAttemptNotSentAfterListChange"},
	{"internal/core/endpoints.go", "		status.set(endpointStatuses[p.Readiness], now)\n", "", drainTests, "TestAttemptNotSentAfterListChange"},
	{"internal/core/endpoints.go", "	e.status.set(permit.Removed, now)\n", "", drainTests, "TestAttemptNotSentAfterListChange"},
	{"internal/core/lists.go", "		s.endUnsent()\n", "", drainTests, "TestDrainEndsKeyWrite"},
	{"internal/core/started.go", "		at = max(at, now-since-listingDelay)\n", "", clockTests, "TestSlowStartAfterClockChange"},
	{"internal/core/started.go", "min(time.Duration(reportedMS)*time.Millisecond, now)", "time.Duration(reportedMS) * time.Millisecond", clockTests, "TestSlowStartAfterClockChange"},
	{"internal/core/started.go", "	if previous, ok := s.unlisted[id]; ok && previous.reportedMS == reportedMS {\n		return previous\n	}\n", "", clockTests, "TestSlowStartAfterClockChange"},
	{"policy/slowstart.go", "(s.answeredWork - b.countedWork) * b.rate", "3 * (s.answeredWork - b.countedWork) * b.rate", slowStartTests, "TestBurstDoesNotOverloadColdEndpoints"},
	{"policy/slowstart.go", "		b.fleet.slowStart.total.tokens -= work\n", "", slowStartTests, "TestBurstDoesNotOverloadColdEndpoints"},
	{"policy/slowstart.go", "b.fleet.slowStart.total.tokens >= 0 && ", "", slowStartTests, "TestBurstDoesNotOverloadColdEndpoints"},
	{"policy/slowstart.go", "math.Min(b.tokens+earned, burst)", "b.tokens + earned", slowStartTests, "TestSavedTokensAreBounded"},
	{"policy/slowstart.go", "tokens: -random(), ", "tokens: 1, ", slowStartTests, "TestBurstDoesNotOverloadColdEndpoints"},
	{"policy/slowstart.go", "baseRate * warmth * s.coldShare", "baseRate * warmth * 40", slowStartTests, "TestBurstDoesNotOverloadColdEndpoints"},
	{"policy/slowstart.go", "math.Min(b.provenShare(), math.Max(1+coldGrowth-total.rate, 0)) * work", "2 * work", slowStartTests, "TestFleetWithReplacedEndpoints"},
	{"policy/slowstart.go", "fleetBurst/float64(size)", "8+0*float64(size)", slowStartTests, "TestSavedTokensAreBounded"},
	{"policy/slowstart.go", "endpointBurst = 0.5", "endpointBurst = 5.0", slowStartTests, "TestSavedTokensAreBounded"},
	{"policy/slowstart.go", "fleetBurst, fleetUnused = 12.0, 2.0", "fleetBurst, fleetUnused = 120.0, 2.0", slowStartTests, "TestSavedTokensAreBounded"},
	{"policy/slowstart.go", "fleetBurst, fleetUnused = 12.0, 2.0", "fleetBurst, fleetUnused = 12.0, 200.0", slowStartTests, "TestUnusedTokensAreSpent"},
	{"policy/slowstart.go", "minBurst = 0.1", "minBurst = 5.0", slowStartTests, "TestSavedTokensAreBounded"},
	{"policy/slowstart.go", "math.Min(s.bucket.tokens+earned, endpointBurst)", "s.bucket.tokens + earned", slowStartTests, "TestSavedTokensAreBounded"},
	{"policy/slowstart.go", "math.Min(total.tokens+earned, b.fleet.slowStart.burstLimit(b.settings.FleetSize))", "total.tokens + earned", slowStartTests, "TestSavedTokensAreBounded"},
	{"policy/slowstart.go", "s.bucket.tokens >= -maxEndpointDebt && ", "", slowStartTests, "TestEndpointDebtIsBounded"},
	{"policy/slowstart.go", "	if start.total.tokens < math.Min(unused, minBurst) {\n", "	if unused >= 0 {\n", slowStartTests, "TestUnusedTokensAreSpent"},
	{"policy/slowstart.go", "	if start.total.tokens < math.Min(unused, minBurst) {\n", "	if unused < 0 {\n", slowStartTests, "TestUnusedTokensAreSpent"},
	{"policy/slowstart.go", "s.bucket.tokens >= 0 && other.bucket.tokens >= 0", "true", slowStartTests, "TestPopularKeyDoesNotOverloadColdEndpoint"},
	{"policy/slowstart.go", "	b.fleet.slowStart.answeredWork += work\n", "", slowStartTests, "TestFleetWithReplacedEndpoints"},
	{"policy/request.go", "permitted := func(s *server) bool { return b.maySend(r, s) && b.withinBudget(r, s) }", "permitted := func(s *server) bool { return b.maySend(r, s) }", slowStartTests, "TestBurstDoesNotOverloadColdEndpoints"},
	{"policy/request.go", "	b.charge(r, s)\n", "", slowStartTests, "TestBurstDoesNotOverloadColdEndpoints"},
	{"policy/probe.go", " && b.withinBudget(r, s) }", " }", slowStartTests, "TestBudgetIsCheckedAfterProbes"},
	{"policy/discovery.go", "d.currentAt == 0 || age >= renewWithin", "true", renewalTests, "TestListIsRenewedThoughCallsAreRefused"},
	{"policy/discovery.go", "drift-d.jitter", "drift+d.jitter", renewalTests, "TestRefusalWhileDiscoveryRecovers"},
	{"policy/discovery.go", "max(watchEndSpread-age, minFirstRetrySpread)", "minFirstRetrySpread", renewalTests, "TestListIsRenewedThoughCallsAreRefused"},
	{"internal/discovery/watch.go", "	w.reportLost(w.firstCallTime >= minBusyTime)\n", "", watchTests, "TestSlowDiscoveryAnswers"},
	{"internal/discovery/watch.go", "		w.cancelCall(w.calls[len(w.calls)-1])\n	}\n	w.startCall(ctx, true)", "		w.cancelCall(w.calls[0])\n	}\n	w.startCall(ctx, true)", watchTests, "TestSlowDiscoveryAnswers"},
	{"internal/discovery/watch.go", "	w.cancelCalls()\n	w.counts.answered", "	w.counts.answered", watchTests, "TestSlowDiscoveryAnswers"},

	{"internal/front/http1/plain.go", "	kept = p.write(&a, last)\n", "	kept = time.Now().UnixNano()%300 != 0 && p.write(&a, last)\n", killTests, "TestNoOtherLossDuringKills"},
	{"internal/front/http1/plain.go", "	kept = p.write(&a, last)\n", "	if time.Now().UnixNano()%300 == 0 {\n		os.Exit(1)\n	}\n	kept = p.write(&a, last)\n", killTests, "TestNoOtherLossDuringKills"},
	{"internal/shutdown/shutdown.go", "acceptTime = 600 * time.Millisecond", "acceptTime = 0 * time.Millisecond", killTests, "TestNoOtherLossDuringKills"},
	{"internal/lab/process/disturbance.go", " && !end.Before(d.From) && !d.laterThan(begun)", " && !d.laterThan(begun)", verdictTests, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", " && !end.Before(d.From) && !d.laterThan(begun)", " && !end.Before(d.From)", verdictTests, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", "d.Cause == Killed && ", "", verdictTests, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", "closed = closed.Add(takesNew)", "closed = d.From", verdictTests, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", "(d.Until.IsZero() || !from.After(d.Until))", "true", verdictTests, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", " && made.After(d.From.Add(takesNew))", "", verdictTests, "TestVerdicts"},
	{"internal/lab/federation/judge.go", "	if e.droppedBefore(r) {\n", "	if false {\n", verdictTests, "TestVerdicts"},
	{"internal/lab/federation/judge.go", " && !e.reached(r.ID, end)\n", "\n", verdictTests, "TestVerdicts"},
	{"internal/lab/federation/judge.go", "(d.Until.IsZero() || over.Before(d.Until))", "true", verdictTests, "TestVerdicts"},
	{"internal/lab/federation/judge.go", "late := r.Took-heldUp >", "late := false && r.Took-heldUp >", verdictTests, "TestVerdicts"},
	{"internal/lab/process/disturbance.go", " && !end.Before(d.From) && !d.laterThan(begun)", " && !end.Before(d.From)", trialJudgeTests, "TestDroppedByTheNextProcess"},
	{"internal/lab/process/disturbance.go", "	case Stopped: // the system takes them\n		return false\n", "", verdictTests, "TestVerdicts"},
	{"internal/lab/trial/client.go", "	case side.done.Cut(c.begun, s.at.Add(took)): // its process was killed: its client sends again\n", "", trialJudgeTests, "TestCutOffByAKill"},
	{"internal/lab/trial/client.go", "!side.done.ClosedDoor(begun, made) && ", "false && ", trialJudgeTests, "TestRefusedBeforeAKill"},
	{"internal/lab/trial/registry.go", "	if !at.IsZero() && at.Before(told) {\n", "	if !at.IsZero() && at.Before(told) && r.down == NoFault {\n", trialJudgeTests, "TestToldBeforeDiscoveryIsDown"},
	{"internal/lab/trial/judge.go", "return most > permit.MaxStall", "_, most = h.Within(time.Time{}, time.Now())\n	return most > permit.MaxStall", trialJudgeTests, "TestHeldUp"},
	{"internal/broker/capacity.go", "meanWait > excessiveWait && c.queuedSince == noTime && meanWait <= severeWait", "false", shortageTests, "TestBurstAfterCommonStall"},
	{"internal/broker/capacity.go", "	c.queuedSince = noTime\n	c.openWindow(now)\n}", "	c.openWindow(now)\n}", shortageTests, "TestBurstAfterCommonStall"},
	{"internal/broker/capacity.go", "	relevant := t.admitted > c.queuedSince", "	relevant := true", shortageTests, "TestBurstAfterCommonStall"},
	{"internal/broker/capacity.go", "(c.inFlightWork-c.beforeStall.work)/rate", "c.inFlightWork/rate", shortageTests, "TestInFlightAcrossStallDuringShortage"},
	{"internal/broker/capacity.go", "	if c.queueDelayAt(rate) <= severeWait*c.target.value {\n		return\n	}\n", "", shortageTests, "TestBurstAtManySidecars"},
	{"internal/broker/capacity.go", "		c.servedInBurst += t.work\n", "", shortageTests, "TestBurstAtManySidecars"},
	{"internal/broker/capacity.go", "unseenAnswers*c.inFlightWork/c.inFlight", "1e3", shortageTests, "TestUncontractedOverload"},
	{"internal/core/delay.go", "return max(own, s.stalledSince(a.decided, time.Now()))", "return own", attributionTests, "TestStallNotAttributedToEndpoint"},
	{"internal/permit/permit.go", "a.AnswerBy > 0 && a.Now >= a.AnswerBy", "false", permitTests, "TestAttemptCheck"},
	{"internal/shutdown/shutdown.go", "s.KilledAt.Add(-permit.MaxStall)", "s.KilledAt.Add(-saveLead + 0*permit.MaxStall)", scheduleTests, "TestScheduleEndsBeforeTheKill"},
	{"internal/shutdown/shutdown.go", "min(longestDeadline, maxDeadline)", "longestDeadline", scheduleTests, "TestScheduleEndsBeforeTheKill"},
	{"internal/shutdown/shutdown.go", "earlier(aloneSince.Add(acceptTime), s.AnswerBy.Add(-acceptLead))", "aloneSince.Add(acceptTime)", scheduleTests, "TestAcceptUntilOfLateSuccessorEnd"},
	{"internal/shutdown/shutdown.go", "return earlier(deadline, s.AnswerBy)", "return deadline", scheduleTests, "TestLimitOfDeadlines"},
	{"internal/shutdown/shutdown.go", "	s.AnswerBy = s.ExitBy.Add(-exitTime)\n", "	s.AnswerBy = s.ExitBy.Add(maxDeadline)\n", stopProcessTests, "TestRequestTakenLateInUpgradeIsAnsweredBeforeTheKill"},
	{"internal/shutdown/shutdown.go", "	s.AnswerBy = s.ExitBy.Add(-exitTime)\n", "	s.AnswerBy = s.ExitBy.Add(maxDeadline)\n", stopProcessTests, "TestFirstRequestLateInStopIsAnsweredBeforeTheKill"},
	{"internal/core/stop.go", "time.Until(st.schedule.AnswerBy), st.answerOpen", "time.Hour, st.answerOpen", stopTests, "TestStopAnswersRequestThatWaitsForDisk"},
	{"internal/core/stop.go", "	c.deadline = c.exchange.core.stopSchedule().Limit(own)\n", "	c.deadline = own\n", stopTests, "TestRequestReadDuringStopHasTheProcessesTime"},
	{"internal/core/stop.go", "	if !x.core.stopSchedule().AnswersOver(time.Now()) {\n		return nil\n	}\n	x.recordCut", "	if true {\n		return nil\n	}\n	x.recordCut", stopTests, "TestRequestReadAfterLastAnswersIsRefused"},
	{"internal/core/stop.go", "c.stop.CompareAndSwap(nil, st)", "c.stop.Swap(st) != st", stopTests, "TestSecondStopDoesNotMoveTheFirst"},
	{"internal/core/stop.go", "				stream.Abort()\n", "", stopFrontTests, "TestLongAnswerCutByStopLooksIncomplete"},
	{"internal/core/service.go", "c.req.Stream == nil && !publishes", "c.req.Stream == nil && (!publishes || publishes)", stopTests, "TestHangingPeerDoesNotHoldUpTheAnswer"},
	{"internal/front/http1/conntable.go", "			c.cancelRead()\n", "", stopFrontTests, "TestIncompleteRequestIsAnsweredAtStop"},
	{"internal/front/http1/plain.go", "			p.refuseIncompleteHead(err)\n", "", stopFrontTests, "TestIncompleteRequestIsAnsweredAtStop"},
	{"internal/front/http1/conns.go", "			c.refuseIncompleteHead(err)\n", "", stopFrontTests, "TestIncompleteLaterRequestIsAnsweredAtStop"},
	{"internal/lab/trial/client.go", "reused && took > crossesAtMost+c.play.judge.slack()", "false", trialJudgeTests, "TestHeldRequestEndsWithItsProcess"},
	{"internal/framing/answer.go", "		if a.Chunked {\n", "		if false {\n", answerEndTests, "TestAnswerEndsWhereNetHTTPEndsIt"},
	{"internal/upstream/body.go", "	case !a.HasBody():\n", "	case false:\n", answerEndTests, "TestAnswerEndsWhereNetHTTPEndsIt"},
	{"internal/framing/framing.go", "h.Chunked && !hasTransferCodings(head)", "false", reloadProcessTests, "TestReloadsAndMisbehavingClients"},
	{"internal/core/ids.go", "	s.open[h] = struct{}{}\n	return", "	s.ended.add(h)\n	return", reloadProcessTests, "TestReloadsAndMisbehavingClients"},
	{"internal/wire/codec.go", "	if c.Effect != keyedEffect {\n		return nil", "	if true {\n		return nil", reloadProcessTests, "TestReloadsAndMisbehavingClients"},
	{"internal/wire/keys.go", "\"classes[]\": {\"aim_ms\", ", "\"classes[]\": {\"aim_ms\", \"dedup_window_ms\", \"key_scope\", ", reloadProcessTests, "TestReloadsAndMisbehavingClients"},
	{"bench/trial/main.go", "return !v.HeldUp }", "return false }", trialOutcomeTests, "TestOutcome"},
}

var of = flag.String("of", "", "run only mutants of files whose path contains this")

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
		case property != m.property:
			missed++
			fmt.Printf("found after %2d events, but as %q: %s: %s\n", events, property, m.file, strings.TrimSpace(m.from))
		default:
			fmt.Printf("found after %2d events: %s\n", events, property)
		}
	}
	fmt.Printf("%d mutants, %d missed or found as another property\n", tried, missed)
	if missed > 0 {
		return fmt.Errorf("%d are not found", missed)
	}
	return nil
}

var (
	eventLine    = regexp.MustCompile(`(?m)^[^\n]*?\b(\d+)\. `)
	propertyLine = regexp.MustCompile(`then: (.*)`)
	failedTest   = regexp.MustCompile(`--- FAIL: (\w+)`)
)

// testedPackage returns the folder of the package whose tests find a mutant: that of its file,
// unless tests of another package cover the file.
func testedPackage(m mutant) string {
	switch m.tests {
	case leaseTests:
		return "internal/fleet/quota"
	case answerEndTests:
		return "internal/upstream"
	case killTests, stopProcessTests, reloadProcessTests:
		return "cmd/spokegw"
	case stopFrontTests, uploadTests:
		return "internal/front/http1"
	case verdictTests:
		return "internal/lab/federation"
	case trialJudgeTests:
		return "internal/lab/trial"
	}
	return filepath.Dir(m.file)
}

// try runs the tests with the mutant in place. It returns the length of the counterexample and
// the property that it breaks; "" where no test fails.
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
	original, err := filepath.Abs(m.file)
	if err != nil {
		return 0, "", err
	}
	json, _ := json.Marshal(map[string]any{"Replace": map[string]string{original: changed}})
	if err := os.WriteFile(overlay, json, 0o600); err != nil {
		return 0, "", err
	}
	// The exit code is not needed: the output says which tests fail.
	args := []string{"test", "-count=1", "-vet=off", "-timeout", "60s", "-overlay", overlay, "-run", "^" + m.tests + "$", "./" + testedPackage(m)}
	switch m.tests {
	case leaseTests:
		args = append(args, "-explore-depth", "6", "-schedules", "400")
	case electionTests:
		args = append(args, "-explore-depth", "6")
	}
	output, _ := exec.Command("go", args...).CombinedOutput()
	found := propertyLine.FindSubmatch(output)
	if slices.Contains(namedByTest, m.tests) {
		found = failedTest.FindSubmatch(output)
		for _, test := range failedTest.FindAllSubmatch(output, -1) {
			if string(test[1]) == m.property { // other tests may fail before it
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
	return len(eventLine.FindAllSubmatch(output, -1)), string(found[1]), nil
}
