package moves

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"spokegw/internal/moves/judge"
)

func itoa(n int) string { return strconv.Itoa(n) }

// FaultKind is a type of fault that is judged.
type FaultKind uint8

const (
	Failed   FaultKind = iota // an error, no answer, or a connection that failed or could not be opened
	Late                      // an answer beyond the latency target of the class, or none
	Declined                  // the endpoint declined the request
	Slow                      // slower than the median answer of the old pool
	NumFaultKinds
	// Worth is the lost part of the total worth of the requests of all classes. It is
	// judged for the whole service, in addition to the kinds of each class.
	Worth = NumFaultKinds
)

func (k FaultKind) String() string {
	return [...]string{"failed", "late", "turned away", "slow", "worth lost"}[k]
}

// ClassWorth is the worth of an answer of a class, in time and late.
type ClassWorth struct{ InTime, Late float64 }

// Guards are the limits for one class. A guard with a margin of 0 is off.
type Guards [NumFaultKinds]judge.Guard

// AttemptResult is a finished attempt that can be judged.
type AttemptResult struct {
	Class    int
	New      bool   // in the new pool, else in the old one
	Endpoint uint32 // number of the endpoint
	Failed   bool
	Declined bool
	Late     bool
	Cold     bool          // the endpoint started recently: its latency is not judged
	Took     time.Duration // latency of a successful answer; 0: none
}

const (
	// falseAlarmRate is the probability that a good move is undone, over all its classes,
	// fault kinds, steps and times.
	falseAlarmRate = 0.01
	// sufficientEvidence completes a step: a pool far worse than allowed reaches it in
	// one of so many cases, and judging continues after that.
	sufficientEvidence = 20
	// Seconds in which one of the pools had no requests are merged with the next ones
	// into a block of at most this duration.
	maxBlockTime = 10 * time.Second
	// Faults are attributed to a single endpoint if it has more than ownFaultFraction of
	// its pool's faults; at most one endpoint in membersPerExcluded is excluded this way.
	ownFaultFraction   = 0.7
	membersPerExcluded = 3
	// A slow pool whose recent log latency ratio is lower than before by this much is
	// warming up.
	improvementMargin  = 0.15
	maxWarmingRestarts = 3
	shareSmoothing     = 0.3 // smoothing factor of the observed share
	maxFaultyEndpoints = 4096
	// Slowness counts against the new pool only after this many times its warming time
	// since it first received requests. Until then it blocks further steps, and its
	// latency evidence restarts afterwards.
	slowGraceFactor = 4
	shortTermWindow = 40.0
	longTermWindow  = 400.0
)

// allClasses is the class name for evidence over all classes together.
const allClasses = "all"

// classEvidence holds the observations of one class.
type classEvidence struct {
	tests     [NumFaultKinds]*judge.SequentialTest // nil: off
	blocks    [NumFaultKinds]judge.Block           // Slow has its block in latency
	latency   *judge.LatencyComparison
	shortTerm float64 // log ratio of new to old latency, short-term average
	longTerm  float64 // the same, long-term average
	samples   float64
}

var errNoSuchEvidence = errors.New("no such evidence: expected a class of the service, and failed, late, turned-away or slow")

// assessor holds the observations of a move and assesses them. It is pure.
type assessor struct {
	guards          []Guards
	classes         []classEvidence
	worths          []ClassWorth // relative to the highest worth of a class
	worth           worthEvidence
	since           time.Duration      // start of the observations
	newShare        float64            // recent fraction of the requests on the new pool
	blockStart      time.Duration      // start of the block
	oldUnused       bool               // the last block has no request of the old pool
	faults          map[uint32]float64 // faults in the new pool, by endpoint
	excluded        map[uint32]bool    // endpoints excluded for faults of their own
	warming         time.Duration
	firstNewAt      time.Duration // when the new pool first received requests; -1: not yet
	slowGrace       bool          // slowness does not count against it yet, see slowGraceFactor
	warmingRestarts int
	newRequests     int // finished requests of the new pool
}

// worthEvidence holds the observations of worth. A request is sampled with the ratio of
// its worth to the highest worth as probability, and counts as lost with the fraction
// lost as probability: the fault rate is then the lost fraction of the total worth,
// judged like any other fault.
type worthEvidence struct {
	guard judge.Guard
	test  *judge.SequentialTest // nil: off
	block judge.Block
	rand  *rand.Rand
}

func newAssessor(now time.Duration, c *Config) *assessor {
	a := &assessor{guards: c.Guards, warming: c.Warming, firstNewAt: -1, slowGrace: c.Warming > 0}
	maxWorth := 0.0
	for _, w := range c.Worth {
		maxWorth = max(maxWorth, w.InTime)
	}
	for _, w := range c.Worth {
		if maxWorth > 0 && maxWorth < math.Inf(1) {
			w = ClassWorth{max(w.InTime/maxWorth, 0), max(w.Late/maxWorth, 0)}
		}
		a.worths = append(a.worths, w)
	}
	a.worth = worthEvidence{guard: c.WorthGuard, rand: rand.New(rand.NewPCG(Salt(c.Name), uint64(now)))}
	a.reset(now)
	return a
}

// reset discards all observations, except for the excluded endpoints.
func (a *assessor) reset(now time.Duration) {
	a.classes = make([]classEvidence, len(a.guards))
	for i := range a.classes {
		c := &a.classes[i]
		c.latency = judge.NewLatencyComparison(max(a.guards[i][Slow].Margin, 1))
		for k, g := range a.guards[i] {
			if g.Margin > 0 {
				if FaultKind(k) == Slow {
					g.Margin = 1 // the latency comparison applies the margin
				}
				c.tests[k] = judge.NewSequentialTest(g)
			}
		}
	}
	if a.worth.test = nil; a.worth.guard.Margin > 0 && len(a.worths) > 0 {
		a.worth.test = judge.NewSequentialTest(a.worth.guard)
	}
	a.worth.block, a.since = judge.Block{}, now
	a.blockStart, a.oldUnused, a.faults = now, false, map[uint32]float64{}
	if a.excluded == nil {
		a.excluded = map[uint32]bool{}
	}
}

// threshold is the evidence at which the new pool is judged worse.
func (a *assessor) threshold() float64 {
	tests := boolToInt(a.worth.test != nil)
	for _, c := range a.classes {
		for _, t := range c.tests {
			if t != nil {
				tests++
			}
		}
	}
	return 2 * float64(max(tests, 1)) / falseAlarmRate // doubled for tests that restart
}

// observe records an attempt.
func (a *assessor) observe(r *AttemptResult) {
	if r.Class < 0 || r.Class >= len(a.classes) || r.New && a.excluded[r.Endpoint] {
		return
	}
	c := &a.classes[r.Class]
	if r.New {
		a.newRequests++
		if r.Failed || r.Declined || r.Late && !r.Cold {
			a.countFault(r.Endpoint)
		}
	}
	a.observeWorth(r)
	c.count(Failed, r.New, r.Failed)
	c.count(Declined, r.New, r.Declined)
	if r.New && r.Cold {
		return
	}
	if !r.Declined {
		c.count(Late, r.New, r.Late)
	}
	if r.Took > 0 {
		c.observeLatency(r)
	}
}

// observeWorth records the lost worth of an attempt. Lateness of a cold endpoint costs
// nothing.
func (a *assessor) observeWorth(r *AttemptResult) {
	if a.worth.test == nil || r.Class >= len(a.worths) {
		return
	}
	w, lost := a.worths[r.Class], 0.0
	if a.worth.rand.Float64() >= w.InTime {
		return
	}
	switch {
	case r.Failed || r.Declined:
		lost = 1
	case r.Late && !(r.New && r.Cold):
		lost = 1 - w.Late/w.InTime
	}
	a.worth.block.Count(r.New, a.worth.rand.Float64() < lost)
	if b := &a.worth.block; b.New == judge.MaxBlock || b.Old == judge.MaxBlock {
		a.worth.closeBlock()
	}
}

func (w *worthEvidence) closeBlock() {
	if w.test != nil && w.block != (judge.Block{}) {
		w.test.Add(w.block)
	}
	w.block = judge.Block{}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countFault counts a fault of an endpoint of the new pool. Beyond maxFaultyEndpoints,
// which is as many as a list may have, only those seen first are tracked: with so many,
// no single one has most of the faults.
func (a *assessor) countFault(endpoint uint32) {
	if _, known := a.faults[endpoint]; known || len(a.faults) < maxFaultyEndpoints {
		a.faults[endpoint]++
	}
}

func (c *classEvidence) count(k FaultKind, isNew, bad bool) {
	b := &c.blocks[k]
	if b.Count(isNew, bad); b.New == judge.MaxBlock || b.Old == judge.MaxBlock {
		c.closeBlock(k)
	}
}

func (c *classEvidence) observeLatency(r *AttemptResult) {
	if !r.New {
		c.latency.AddOld(r.Took)
		return
	}
	c.latency.AddNew(r.Took)
	if m := c.latency.Median(); m > 0 {
		l := math.Log(r.Took.Seconds() / m.Seconds())
		c.samples++
		c.shortTerm += (l - c.shortTerm) / min(c.samples, shortTermWindow)
		c.longTerm += (l - c.longTerm) / min(c.samples, longTermWindow)
	}
}

func (c *classEvidence) closeBlock(k FaultKind) {
	b := c.blocks[k]
	if c.blocks[k] = (judge.Block{}); k == Slow {
		b = c.latency.TakeBlock()
	}
	if c.tests[k] != nil && b.New+b.Old > 0 {
		c.tests[k].Add(b)
	}
}

// addEvidence adds a block observed by others over the same seconds. It counts like local
// observations, except that the endpoint is unknown.
func (a *assessor) addEvidence(class int, k FaultKind, b judge.Block) error {
	if class < 0 || class >= len(a.classes) || k >= NumFaultKinds || a.classes[class].tests[k] == nil {
		return errNoSuchEvidence
	}
	if !a.classes[class].tests[k].Add(b) {
		return fmt.Errorf("invalid block: expected 0 to %d requests for each pool and no more faults than requests", judge.MaxBlock)
	}
	if k == Failed {
		a.newRequests += b.New
	}
	return nil
}

// closeBlocks ends the current block if it is due.
func (a *assessor) closeBlocks(now time.Duration) {
	age := now - a.blockStart
	if age < time.Second {
		return
	}
	sum := judge.Block{}
	for i := range a.classes {
		b := a.classes[i].blocks[Failed]
		sum.New, sum.Old = sum.New+b.New, sum.Old+b.Old
	}
	isNew, isOld := sum.New > 0, sum.Old > 0
	if !(isNew && isOld) && age < maxBlockTime {
		return
	}
	if a.oldUnused = isNew && !isOld; isNew && a.firstNewAt < 0 {
		a.firstNewAt = a.blockStart
	}
	a.blockStart = now
	if n := sum.New + sum.Old; n > 0 {
		a.newShare += (float64(sum.New)/float64(n) - a.newShare) * shareSmoothing
	}
	a.worth.closeBlock()
	for i := range a.classes {
		for k := range NumFaultKinds {
			a.classes[i].closeBlock(k)
		}
	}
}

// assess returns the assessment of all observations. members is the number of endpoints
// of the new pool. If the faults are those of a single endpoint it is excluded, and ok is
// true.
func (a *assessor) assess(now time.Duration, names []string, members int) (result Assessment, excluded uint32, ok bool) {
	result = Assessment{Sufficient: true, NewRequests: a.newRequests}
	threshold := a.threshold()
	if a.slowGrace && a.firstNewAt >= 0 && now >= a.firstNewAt+slowGraceFactor*a.warming {
		a.slowGrace = false
		for i := range a.classes {
			a.classes[i].restart(Slow)
		}
	}
	for i := range a.classes {
		c := &a.classes[i]
		for k, t := range c.tests {
			if t == nil {
				continue
			}
			a.assessFault(&result, c, t, FaultKind(k), className(names, i), threshold, now)
		}
	}
	if t := a.worth.test; t != nil {
		a.assessFault(&result, nil, t, Worth, allClasses, threshold, now)
	}
	if result.Regression == "" {
		return result, 0, false
	}
	if id, ok := a.singleFault(members); ok {
		a.excluded[id] = true
		a.reset(now)
		return Assessment{Missing: "new evidence after excluding a faulty endpoint", NewRequests: a.newRequests}, id, true
	}
	return result, 0, false
}

func className(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return itoa(i)
}

// assessFault adds one fault kind of one class to an assessment.
func (a *assessor) assessFault(result *Assessment, c *classEvidence, t *judge.SequentialTest, k FaultKind, class string, threshold float64, now time.Duration) {
	worse, common := t.WorseEvidence(), t.CommonEvidence()
	if a.oldUnused {
		worse = t.WorseThanBound()
	}
	isNew, old := t.Rates()
	total := t.Total()
	rates := fmt.Sprintf("%s: %.2f%% %s of %d, compared with %.2f%% of %d", class, 100*isNew, k, total.New, 100*old, total.Old)
	switch {
	case worse >= threshold && k == Slow && a.slowGrace:
		result.Sufficient, result.Missing = false, class+": the new pool is slow, and may be warming up"
	case worse >= threshold && k == Slow && a.speedingUp(c):
		// The slowness is temporary: judge it anew.
		a.warmingRestarts++
		c.restart(Slow)
		result.Sufficient, result.Missing = false, class+": the new pool is slow and getting faster"
	case worse >= threshold && result.Regression == "":
		result.Regression = fmt.Sprintf("%s, evidence %.3g of %.3g", rates, worse, threshold)
	case common >= threshold:
		result.CommonFault = "both pools: " + rates
	}
	if k == Slow && a.oldUnused {
		return // there is no old pool to compare with
	}
	if total.New+total.Old > 0 && t.FineEvidence() < sufficientEvidence {
		result.Sufficient = false
		rate := float64(total.New) / max((now-a.since).Seconds(), 1)
		result.Missing = cmp.Or(result.Missing, fmt.Sprintf("%s: %d more requests to rule out too many %s, %s", class, t.RequestsNeeded(sufficientEvidence), k, formatWait(t.TimeNeeded(sufficientEvidence, rate))))
	}
}

// restart discards the observations of one fault kind.
func (c *classEvidence) restart(k FaultKind) {
	if c.tests[k] != nil {
		c.tests[k] = judge.NewSequentialTest(judge.Guard{Margin: 1})
	}
}

// formatWait formats an approximate duration.
func formatWait(d time.Duration) string {
	if d > 30*24*time.Hour {
		return "which takes too long at the current rate"
	}
	return "about " + d.Round(time.Second).String()
}

// speedingUp reports whether the latency of the new pool has improved recently.
func (a *assessor) speedingUp(c *classEvidence) bool {
	return a.warmingRestarts < maxWarmingRestarts && c.samples > shortTermWindow && c.shortTerm < c.longTerm-improvementMargin
}

// singleFault returns the endpoint that has most of the faults, if one does.
func (a *assessor) singleFault(members int) (id uint32, ok bool) {
	sum, worst := 0.0, 0.0
	for e, n := range a.faults {
		if sum += n; n > worst || n == worst && e < id {
			id, worst = e, n
		}
	}
	return id, worst >= 2 && worst > ownFaultFraction*sum && (len(a.excluded)+1)*membersPerExcluded <= members
}

// Evidence is one row of the evidence shown to operators.
type Evidence struct {
	Class         string
	Kind          FaultKind
	New, Old      float64 // fault rates
	Judged        [2]int  // judged requests of the new and the old pool
	Bad           [2]int  // faults among them
	WorseEvidence float64 // 1: none
	Threshold     float64 // value of WorseEvidence at which the new pool is judged worse
	FineEvidence  float64
	Needed        int // requests of the new pool until the evidence suffices
}

// evidence returns the rows of all tests with observations.
func (a *assessor) evidence(names []string) (rows []Evidence) {
	threshold := a.threshold()
	row := func(class string, k FaultKind, t *judge.SequentialTest) {
		if t == nil || t.Total() == (judge.Block{}) {
			return
		}
		sum := t.Total()
		e := Evidence{Class: class, Kind: k, WorseEvidence: t.WorseEvidence(), Threshold: threshold, FineEvidence: t.FineEvidence(), Needed: t.RequestsNeeded(sufficientEvidence)}
		if a.oldUnused {
			e.WorseEvidence = t.WorseThanBound()
		}
		e.New, e.Old = t.Rates()
		e.Judged, e.Bad = [2]int{sum.New, sum.Old}, [2]int{sum.NewBad, sum.OldBad}
		rows = append(rows, e)
	}
	for i := range a.classes {
		for k, t := range a.classes[i].tests {
			row(className(names, i), FaultKind(k), t)
		}
	}
	slices.SortStableFunc(rows, func(a, b Evidence) int { return cmp.Compare(a.Class, b.Class) })
	row(allClasses, Worth, a.worth.test)
	return rows
}

// TimeToEvidence is the time until the evidence for a guard suffices at a rate of
// requests to the new pool, if none is faulty; 0 if the guard is off.
func TimeToEvidence(g judge.Guard, k FaultKind, rate float64) time.Duration {
	if g.Margin <= 0 {
		return 0
	}
	if k == Slow {
		g = judge.Guard{Margin: 1}
	}
	return judge.NewSequentialTest(g).TimeNeeded(sufficientEvidence, rate)
}
