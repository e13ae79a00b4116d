package policy

import "math"

const (
	speedPrior       = 6.0  // weight of the prior speed, in samples: the first outliers must not shift a kind
	sampleWindow     = 60.0 // window of an estimate, in samples: most of a minute at one request per second
	classFitExponent = 3.0  // answer times include waiting, which is the same for all classes: this factor restores a class's own deviation
	maxTimeRatio     = 6.0  // bound of one sample's ratio: beyond it a heavy tail says nothing about the server
	unqueuedQuantile = 0.3  // quantile of answer times that stands for no queueing
)

// mean is a moving average: after window samples, each new one weighs 1/window.
type mean struct{ value, weight float64 }

func (m *mean) add(x, window float64) {
	m.weight = math.Min(m.weight+1, window)
	m.value += (x - m.value) / m.weight
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// shrunk is the mean, shrunk towards 0 while it has few samples.
func (m *mean) shrunk() float64 { return m.value * m.weight / (m.weight + speedPrior) }

// classTime is the answer time of a class's requests without queueing, in seconds: per hinted second of work, if any.
type classTime struct {
	perWork, samples float64 // a low quantile, tracked in the log, 0: unknown; number of samples, up to sampleWindow
	work             mean    // hinted seconds, or 1
}

func (c *classTime) add(perWork, work float64) {
	c.work.add(work, sampleWindow)
	c.samples = math.Min(c.samples+1, sampleWindow)
	step := 1 / math.Sqrt(c.samples)
	if c.perWork == 0 {
		c.perWork = perWork
	}
	c.perWork = math.Min(math.Max(perWork, c.perWork*math.Exp(-step*(1-unqueuedQuantile))), c.perWork*math.Exp(step*unqueuedQuantile))
}

// kindSpeed estimates the relative speed of a kind from answer times over their class's
// mean, waiting included: a kind with more load than its cores can carry loses share.
type kindSpeed struct {
	slowness mean    // log of answer time over class mean
	classFit []mean  // by class: the same over slowness
	prior    float64 // from the nominal size
}

// addSample records an answer that took ratio times its class's mean, for its cell as well.
func (k *kindSpeed) addSample(class int, ratio float64, cell *mean) {
	logRatio := math.Log(math.Min(math.Max(ratio, 1/maxTimeRatio), maxTimeRatio))
	k.slowness.add(logRatio, sampleWindow)
	k.classFit[class].add(logRatio-k.slowness.value, sampleWindow)
	cell.add(logRatio-k.slowness.value, sampleWindow)
}

// value is the speed over all classes, forClass that for one class: a kind that is fast
// for one class may be slow for another, which no setting states.
func (k *kindSpeed) value() float64 { return k.prior * math.Exp(-k.slowness.shrunk()) }
func (k *kindSpeed) forClass(class int) float64 {
	return k.value() * math.Exp(-k.classFit[class].shrunk()*classFitExponent)
}
