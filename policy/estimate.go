package policy

import "math"

const (
	speedPrior   = 6.0  // samples the prior speed counts for: first outliers must not move a kind
	sampleMemory = 60.0 // samples an estimate looks back over: at one request a second most of a minute
	fitPower     = 3.0  // answer times hold waiting, alike for all classes: they show this part of a fit
	speedClamp   = 6.0  // bound of one sample's ratio: beyond it a heavy tail tells nothing of the server
	unhurried    = 0.3  // quantile of answer times that stands for no queueing
)

// mean is a mean that forgets: samples past memory weigh one over memory.
type mean struct{ value, weight float64 }

func (m *mean) add(x, memory float64) {
	m.weight = math.Min(m.weight+1, memory)
	m.value += (x - m.value) / m.weight
}

// indicator is 1 for true, 0 for false.
func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// shrunk is the mean, drawn to 0 while it has few samples.
func (m *mean) shrunk() float64 { return m.value * m.weight / (m.weight + speedPrior) }

// classTime is what a class's requests take when they do not queue, in seconds: per hinted second of work, if any.
type classTime struct {
	per, n float64 // a low quantile, followed in the log, 0: not known yet; samples
	work   mean    // hinted seconds, or 1
}

func (c *classTime) add(per, work float64) {
	c.work.add(work, sampleMemory)
	c.n = math.Min(c.n+1, sampleMemory)
	step := 1 / math.Sqrt(c.n)
	if c.per == 0 {
		c.per = per
	}
	c.per = math.Min(math.Max(per, c.per*math.Exp(-step*(1-unhurried))), c.per*math.Exp(step*unhurried))
}

// kindSpeed estimates the relative speed of a kind from answer times over their
// class's mean, waiting included: a kind with more than its cores carry loses.
type kindSpeed struct {
	slowness mean    // log of time over class mean
	fit      []mean  // of each class: the same over slowness
	prior    float64 // from the nominal size
}

// sample adds one answer that took ratio times its class's mean, for its cell too.
func (k *kindSpeed) sample(class int, ratio float64, cell *mean) {
	l := math.Log(math.Min(math.Max(ratio, 1/speedClamp), speedClamp))
	k.slowness.add(l, sampleMemory)
	k.fit[class].add(l-k.slowness.value, sampleMemory)
	cell.add(l-k.slowness.value, sampleMemory)
}

// value is the speed over all classes, at that for one. Failure answered: a
// kind that is quick at one class may be slow at another, told by no setting.
func (k *kindSpeed) value() float64 { return k.prior * math.Exp(-k.slowness.shrunk()) }
func (k *kindSpeed) at(class int) float64 {
	return k.value() * math.Exp(-k.fit[class].shrunk()*fitPower)
}
