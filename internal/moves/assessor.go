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

// FaultKind is a kind of fault that is judged.
type FaultKind uint8

const (
	Failed   FaultKind = iota // an error, no answer, a connection that was lost or could not be had
	Late                      // an answer beyond the class's aim, or none
	Declined                  // the endpoint refused
	Slow                      // longer than half of the answers of the other pool
	NumFaultKinds
	// Worth is what was lost of all that the requests of all classes were worth. It is
	// judged of the service as a whole, beside the kinds of each class.
	Worth = NumFaultKinds
)

func (k FaultKind) String() string {
	return [...]string{"failed", "late", "turned away", "slow", "worth lost"}[k]
}

// ClassWorth is what an answer of a class is worth, in time and late.
type ClassWorth struct{ InTime, Late float64 }

// Guards are what is allowed of one class. A guard whose margin is 0 is off.
type Guards [NumFaultKinds]judge.Guard

// AttemptResult is one attempt that has ended, and can be judged.
type AttemptResult struct {
	Class    int
	New      bool   // of the new pool, else of the one that is left
	Endpoint uint32 // its number
	Failed   bool
	Declined bool
	Late     bool
	Cold     bool          // its endpoint has not been up for long: how slow it is tells nothing
	Took     time.Duration // of a good answer; 0: there was none
}

const (
	// falseAlarm is the chance that a good move is undone, over all its classes,
	// kinds of faults, steps and instants.
	falseAlarm = 0.01
	// enough is the evidence that takes a step further: a pool that is far worse
	// than allowed reaches it in one of so many cases, and is judged on after that.
	enough = 20
	// Seconds in which one of the pools saw nothing are put together with the next,
	// for so long at most.
	blockTime = 10 * time.Second
	// A fault is one endpoint's where it has so much of all that was bad in its
	// pool; no more than one in three can be left out so.
	onesOwn  = 0.7
	mostLeft = 3
	// A pool that was slow and is so much faster of late than before is warming up.
	improving  = 0.15
	mostWarms  = 3
	gotStep    = 0.3 // of the way to what a block saw of the share
	mostBlamed = 4096
	// A pool that is slow is blamed for it only so many times its warming time after
	// it first met requests: until then it goes no step further, and what is seen of
	// its pace then counts anew.
	patienceForSlow = 4
	fastMemory      = 40.0
	slowMemory      = 400.0
)

// allClasses stands for a class where all of them are judged together.
const allClasses = "all"

// ofClass is what is seen of a class.
type ofClass struct {
	tracks [NumFaultKinds]*judge.SequentialTest // nil: off
	block  [NumFaultKinds]judge.Block           // Slow's is the pace's
	pace   *judge.LatencyComparison
	fast   float64 // logarithm of the new pool's times over the other's, of late
	slow   float64 // and over longer
	n      float64
}

var errNotJudged = errors.New("that is not judged: a class of the service, and failed, late, turned-away or slow are expected")

// judges hold what was seen of a move, and say what it means. They are pure.
type judges struct {
	guards  []Guards
	classes []ofClass
	worths  []ClassWorth // over that of the dearest class
	all     ofWorth
	since   time.Duration      // what is seen is of
	got     float64            // part of the requests that met the new pool of late
	began   time.Duration      // of the block
	oldGone bool               // a whole block saw nothing of the pool that is left
	bad     map[uint32]float64 // of the new pool, by endpoint
	left    map[uint32]bool    // endpoints whose faults are their own
	warming time.Duration
	met     time.Duration // when the new pool first met requests; -1: not yet
	patient bool          // it is blamed for being slow no sooner than patienceForSlow tells
	warms   int
	ended   int // requests of the new pool
}

// ofWorth is what is seen of worth. A request is looked at with the chance of what it
// is worth beside the dearest, and counts as lost with that of the part of it that is:
// so what is bad is the part that is lost of all worth, and a fault like the others.
type ofWorth struct {
	guard judge.Guard
	track *judge.SequentialTest // nil: off
	block judge.Block
	rand  *rand.Rand
}

func newJudges(now time.Duration, c *Config) *judges {
	j := &judges{guards: c.Guards, warming: c.Warming, met: -1, patient: c.Warming > 0}
	dearest := 0.0
	for _, w := range c.Worth {
		dearest = max(dearest, w.InTime)
	}
	for _, w := range c.Worth {
		if dearest > 0 && dearest < math.Inf(1) {
			w = ClassWorth{max(w.InTime/dearest, 0), max(w.Late/dearest, 0)}
		}
		j.worths = append(j.worths, w)
	}
	j.all = ofWorth{guard: c.WorthGuard, rand: rand.New(rand.NewPCG(Salt(c.Name), uint64(now)))}
	j.forget(now)
	return j
}

// forget begins with nothing seen; what is left out stays so.
func (j *judges) forget(now time.Duration) {
	j.classes = make([]ofClass, len(j.guards))
	for i := range j.classes {
		c := &j.classes[i]
		c.pace = judge.NewLatencyComparison(max(j.guards[i][Slow].Margin, 1))
		for k, g := range j.guards[i] {
			if g.Margin > 0 {
				if FaultKind(k) == Slow {
					g.Margin = 1 // the pace has it
				}
				c.tracks[k] = judge.NewSequentialTest(g)
			}
		}
	}
	if j.all.track = nil; j.all.guard.Margin > 0 && len(j.worths) > 0 {
		j.all.track = judge.NewSequentialTest(j.all.guard)
	}
	j.all.block, j.since = judge.Block{}, now
	j.began, j.oldGone, j.bad = now, false, map[uint32]float64{}
	if j.left == nil {
		j.left = map[uint32]bool{}
	}
}

// level is the evidence at which the new pool is blamed.
func (j *judges) level() float64 {
	tests := one(j.all.track != nil)
	for _, c := range j.classes {
		for _, t := range c.tracks {
			if t != nil {
				tests++
			}
		}
	}
	return 2 * float64(max(tests, 1)) / falseAlarm // twice, for those that begin anew
}

// see takes in an attempt.
func (j *judges) see(s *AttemptResult) {
	if s.Class < 0 || s.Class >= len(j.classes) || s.New && j.left[s.Endpoint] {
		return
	}
	c := &j.classes[s.Class]
	if s.New {
		j.ended++
		if s.Failed || s.Declined || s.Late && !s.Cold {
			j.blame(s.Endpoint)
		}
	}
	j.lose(s)
	c.count(Failed, s.New, s.Failed)
	c.count(Declined, s.New, s.Declined)
	if s.New && s.Cold {
		return
	}
	if !s.Declined {
		c.count(Late, s.New, s.Late)
	}
	if s.Took > 0 {
		c.timed(s)
	}
}

// lose takes in what an attempt lost of what its request was worth. Of an endpoint
// that is cold, that it is late loses nothing.
func (j *judges) lose(s *AttemptResult) {
	if j.all.track == nil || s.Class >= len(j.worths) {
		return
	}
	w, lost := j.worths[s.Class], 0.0
	if j.all.rand.Float64() >= w.InTime {
		return
	}
	switch {
	case s.Failed || s.Declined:
		lost = 1
	case s.Late && !(s.New && s.Cold):
		lost = 1 - w.Late/w.InTime
	}
	j.all.block.Count(s.New, j.all.rand.Float64() < lost)
	if b := &j.all.block; b.New == judge.MaxBlock || b.Old == judge.MaxBlock {
		j.all.cut()
	}
}

func (w *ofWorth) cut() {
	if w.track != nil && w.block != (judge.Block{}) {
		w.track.Add(w.block)
	}
	w.block = judge.Block{}
}

// one is 1 for true, 0 for false.
func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// blame notes a fault of an endpoint of the new pool. Of more than mostBlamed, which
// are as many as a list may have, those that came first are known: no one of so many
// has most of what is bad.
func (j *judges) blame(endpoint uint32) {
	if _, known := j.bad[endpoint]; known || len(j.bad) < mostBlamed {
		j.bad[endpoint]++
	}
}

func (c *ofClass) count(k FaultKind, isNew, bad bool) {
	b := &c.block[k]
	if b.Count(isNew, bad); b.New == judge.MaxBlock || b.Old == judge.MaxBlock {
		c.cut(k)
	}
}

func (c *ofClass) timed(s *AttemptResult) {
	if !s.New {
		c.pace.AddOld(s.Took)
		return
	}
	c.pace.AddNew(s.Took)
	if m := c.pace.Median(); m > 0 {
		l := math.Log(s.Took.Seconds() / m.Seconds())
		c.n++
		c.fast += (l - c.fast) / min(c.n, fastMemory)
		c.slow += (l - c.slow) / min(c.n, slowMemory)
	}
}

func (c *ofClass) cut(k FaultKind) {
	b := c.block[k]
	if c.block[k] = (judge.Block{}); k == Slow {
		b = c.pace.TakeBlock()
	}
	if c.tracks[k] != nil && b.New+b.Old > 0 {
		c.tracks[k].Add(b)
	}
}

// told takes in what others have seen of the two pools over the same seconds. It
// counts as what is seen here; whose endpoint it was is not known.
func (j *judges) told(class int, k FaultKind, b judge.Block) error {
	if class < 0 || class >= len(j.classes) || k >= NumFaultKinds || j.classes[class].tracks[k] == nil {
		return errNotJudged
	}
	if !j.classes[class].tracks[k].Add(b) {
		return fmt.Errorf("requests of a pool, at most %d, and not more of them bad are expected", judge.MaxBlock)
	}
	if k == Failed {
		j.ended += b.New
	}
	return nil
}

// tick ends the block if it is time to.
func (j *judges) tick(now time.Duration) {
	age := now - j.began
	if age < time.Second {
		return
	}
	sum := judge.Block{}
	for i := range j.classes {
		b := j.classes[i].block[Failed]
		sum.New, sum.Old = sum.New+b.New, sum.Old+b.Old
	}
	isNew, isOld := sum.New > 0, sum.Old > 0
	if !(isNew && isOld) && age < blockTime {
		return
	}
	if j.oldGone = isNew && !isOld; isNew && j.met < 0 {
		j.met = j.began
	}
	j.began = now
	if n := sum.New + sum.Old; n > 0 {
		j.got += (float64(sum.New)/float64(n) - j.got) * gotStep
	}
	j.all.cut()
	for i := range j.classes {
		for k := range NumFaultKinds {
			j.classes[i].cut(k)
		}
	}
}

// verdict says what all that was seen means. members is how many endpoints the new
// pool has, share the part of the requests that it is asked to take.
func (j *judges) verdict(now time.Duration, names []string, members int) (v Assessment, left uint32, leaves bool) {
	v = Assessment{Sufficient: true, NewRequests: j.ended}
	level := j.level()
	if j.patient && j.met >= 0 && now >= j.met+patienceForSlow*j.warming {
		j.patient = false
		for i := range j.classes {
			j.classes[i].anew(Slow)
		}
	}
	for i := range j.classes {
		c := &j.classes[i]
		for k, t := range c.tracks {
			if t == nil {
				continue
			}
			j.weigh(&v, c, t, FaultKind(k), name(names, i), level, now)
		}
	}
	if t := j.all.track; t != nil {
		j.weigh(&v, nil, t, Worth, allClasses, level, now)
	}
	if v.Regression == "" {
		return v, 0, false
	}
	if id, ok := j.ownFault(members); ok {
		j.left[id] = true
		j.forget(now)
		return Assessment{Missing: "what is seen without an endpoint that fails by itself", NewRequests: j.ended}, id, true
	}
	return v, 0, false
}

func name(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return itoa(i)
}

// weigh takes one kind of fault of one class into a verdict.
func (j *judges) weigh(v *Assessment, c *ofClass, t *judge.SequentialTest, k FaultKind, class string, level float64, now time.Duration) {
	against, common := t.WorseEvidence(), t.CommonEvidence()
	if j.oldGone {
		against = t.WorseThanBound()
	}
	isNew, old := t.Rates()
	total := t.Total()
	what := fmt.Sprintf("%s: %.2f%% %s of %d, beside %.2f%% of %d", class, 100*isNew, k, total.New, 100*old, total.Old)
	switch {
	case against >= level && k == Slow && j.patient:
		v.Sufficient, v.Missing = false, class+": the new pool is slow, and may be warming up"
	case against >= level && k == Slow && j.faster(c):
		// It is not to be blamed for what is passing: it is looked at anew.
		j.warms++
		c.anew(Slow)
		v.Sufficient, v.Missing = false, class+": the new pool is slow and getting faster"
	case against >= level && v.Regression == "":
		v.Regression = fmt.Sprintf("%s, evidence %.3g of %.3g", what, against, level)
	case common >= level:
		v.CommonFault = "both pools: " + what
	}
	if k == Slow && j.oldGone {
		return // there is nothing to compare with
	}
	if total.New+total.Old > 0 && t.FineEvidence() < enough {
		v.Sufficient = false
		rate := float64(total.New) / max((now-j.since).Seconds(), 1)
		v.Missing = cmp.Or(v.Missing, fmt.Sprintf("%s: %d more requests to tell that not too many are %s, %s", class, t.RequestsNeeded(enough), k, within(t.TimeNeeded(enough, rate))))
	}
}

// anew forgets what was seen of one kind of fault.
func (c *ofClass) anew(k FaultKind) {
	if c.tracks[k] != nil {
		c.tracks[k] = judge.NewSequentialTest(judge.Guard{Margin: 1})
	}
}

// within is about how long something takes.
func within(d time.Duration) string {
	if d > 30*24*time.Hour {
		return "which takes too long at this rate"
	}
	return "about " + d.Round(time.Second).String()
}

// faster reports whether the new pool's answers have come sooner of late.
func (j *judges) faster(c *ofClass) bool {
	return j.warms < mostWarms && c.n > fastMemory && c.fast < c.slow-improving
}

// ownFault finds the one endpoint that has most of all that was bad.
func (j *judges) ownFault(members int) (id uint32, ok bool) {
	sum, worst := 0.0, 0.0
	for e, n := range j.bad {
		if sum += n; n > worst || n == worst && e < id {
			id, worst = e, n
		}
	}
	return id, worst >= 2 && worst > onesOwn*sum && (len(j.left)+1)*mostLeft <= members
}

// Evidence is a row of what an operator is shown.
type Evidence struct {
	Class         string
	Kind          FaultKind
	New, Old      float64 // parts that were bad
	Judged        [2]int  // requests judged, of the new pool and the other
	Bad           [2]int  // and those of them that were bad
	WorseEvidence float64 // 1: as good as nothing
	Threshold     float64 // at which the new pool is blamed
	FineEvidence  float64
	Needed        int // requests of the new pool until enough is known
}

// evidence is all that is weighed, of what something was seen of.
func (j *judges) evidence(names []string) (rows []Evidence) {
	level := j.level()
	row := func(class string, k FaultKind, t *judge.SequentialTest) {
		if t == nil || t.Total() == (judge.Block{}) {
			return
		}
		sum := t.Total()
		e := Evidence{Class: class, Kind: k, WorseEvidence: t.WorseEvidence(), Threshold: level, FineEvidence: t.FineEvidence(), Needed: t.RequestsNeeded(enough)}
		if j.oldGone {
			e.WorseEvidence = t.WorseThanBound()
		}
		e.New, e.Old = t.Rates()
		e.Judged, e.Bad = [2]int{sum.New, sum.Old}, [2]int{sum.NewBad, sum.OldBad}
		rows = append(rows, e)
	}
	for i := range j.classes {
		for k, t := range j.classes[i].tracks {
			row(name(names, i), FaultKind(k), t)
		}
	}
	slices.SortStableFunc(rows, func(a, b Evidence) int { return cmp.Compare(a.Class, b.Class) })
	row(allClasses, Worth, j.all.track)
	return rows
}

// TimeToEvidence is how long it takes to see enough of a guard at a rate of requests to
// the new pool, all of them good; 0 where it is off.
func TimeToEvidence(g judge.Guard, k FaultKind, rate float64) time.Duration {
	if g.Margin <= 0 {
		return 0
	}
	if k == Slow {
		g = judge.Guard{Margin: 1}
	}
	return judge.NewSequentialTest(g).TimeNeeded(enough, rate)
}
