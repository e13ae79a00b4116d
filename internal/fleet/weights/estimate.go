package weights

import (
	"math"
	"slices"
	"time"
)

// Endpoint is an endpoint in the leader's own list.
type Endpoint struct {
	ID      ID
	Kind    uint32  // of its hardware, within the same service
	Nominal float64 // listed weight
	Site    string  // where it is located; "": not known
	Ready   bool    // it takes new requests
	Warmth  float64 // fraction of its capacity that it is certain to have by now
}

// warm reports whether observations of e show its full capacity.
func (e *Endpoint) warm() bool { return e.Ready && e.Warmth >= 1 }

const (
	windowAnswers = 8               // answers needed for an observation, or
	windowTime    = 8 * time.Second // the time after which there is one anyway
	minServed     = 3               // answers of a class at an endpoint that are needed to compare the class
	classMemory   = 400.0           // effective number of answers in a class's factor

	kindSpread       = 0.35 // prior deviation of the log capacity between kinds, relative to the listed weights
	withinKindSpread = 0.30 // prior deviation of the log capacity within a kind
	minNoise         = 0.04 // minimum deviation of an observation, however many answers there are
	capacityDrift    = 0.02 // deviation of the drift of a log capacity, per second
	changeDeviation  = 0.5  // deviation of a log capacity right after a change
	changeSlack      = 0.7  // of an innovation that is ignored, in standard deviations
	changeThreshold  = 4.0  // sum of innovations that indicates a change

	successPrior      = 12.0 // attempts that an endpoint is assumed to have served before any
	successDecay      = 0.9  // decay of these counts per window
	throttledFraction = 0.1  // fraction declined above which the rate served is the whole capacity
	maxTimeRatio      = 4.0  // maximum ratio of one gateway's time per work to the median's
	maxLogCapacity    = 12.0 // bound on a log capacity, whatever is reported
)

// serverCounts are the possible numbers of parallel servers behind an endpoint.
var serverCounts = [...]float64{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// queueLength returns the mean number of requests that wait for a number of servers at a
// utilisation, by Sakasegawa's approximation (1977).
func queueLength(load, servers float64) float64 {
	return math.Pow(load, math.Sqrt(2*(servers+1))) / math.Max(1-load, 1e-3)
}

// utilisation returns the utilisation of a number of servers with inFlight requests on average,
// served or waiting. It converts the mean number in the system, which Little's law gives, to a
// fraction of the capacity, so that an endpoint with little load is not taken for a slow one.
func utilisation(inFlight, servers float64) float64 {
	low, high := 0.0, 1.0
	for range 30 {
		mid := (low + high) / 2
		if servers*mid+queueLength(mid, servers) < inFlight {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// cellKey is a class, with warm keys separate.
type cellKey struct {
	class Class
	warm  bool
}

// cellSum is a cell's totals.
type cellSum struct{ served, time, work float64 }

func (s *cellSum) ratio() float64 { return s.time / math.Max(s.work, 1e-9) }

// endpointState is what is known of one endpoint.
type endpointState struct {
	Endpoint
	since     time.Duration // start of the window
	cells     map[cellKey]*cellSum
	byGateway map[string]*cellSum // by gateway, of all classes, in standard work
	lostTime  float64             // seconds
	declined  float64
	successes float64 // decaying counts of attempts served and failed
	failures  float64

	logCapacity        float64                    // filtered log of the capacity
	variance           float64                    // of logCapacity; 0: there was no observation
	cusumUp, cusumDown float64                    // one-sided cumulative sums of innovations
	slowLog            [len(serverCounts)]float64 // slowly filtered log of the capacity, by number of servers
	ratios             [ratioBuckets]float64      // histogram in standard work, decaying
	observed           bool
	changes            int
	windows            int
}

// kindState is what is known of one kind.
type kindState struct {
	queueErrors  [len(serverCounts)]float64 // squared error of the predicted queues, by number of servers
	observations float64                    // effective number of observations
	serverIndex  int                        // index of the assumed number of servers
	mean         float64
	meanVariance float64 // variance of mean
}

// Estimator estimates the capacity of each endpoint from the stats of the whole fleet. Only the
// leader has one.
type Estimator struct {
	endpoints map[ID]*endpointState
	kinds     map[uint32]*kindState
	classes   map[cellKey]*mean
}

type mean struct{ value, weight float64 }

// Estimate is the estimate for one endpoint.
type Estimate struct {
	Endpoint
	Factor    float64 // on its nominal weight, relative to the fleet's mean
	Capacity  float64 // standard work per second; 0: there is no observation of any endpoint
	Deviation float64 // standard deviation of the log of Capacity
	Windows   int     // number of windows observed
	Changes   int     // number of changes detected
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{endpoints: map[ID]*endpointState{}, kinds: map[uint32]*kindState{}, classes: map[cellKey]*mean{}}
}

// SetEndpoints sets the listed endpoints and forgets all others. previous returns an endpoint's
// factor under the previous leader, which a new leader continues from; false: there is none.
func (e *Estimator) SetEndpoints(now time.Duration, list []Endpoint, previous func(ID) (float64, bool)) {
	listed := make(map[ID]bool, len(list))
	for _, l := range list[:min(len(list), MaxEndpoints)] {
		if !(l.Nominal > 0) || math.IsInf(l.Nominal, 0) {
			l.Nominal = 1
		}
		listed[l.ID] = true
		k := e.endpoints[l.ID]
		if k == nil {
			k = &endpointState{since: now, cells: map[cellKey]*cellSum{}, byGateway: map[string]*cellSum{}, successes: successPrior}
			if f, ok := previous(l.ID); ok {
				k.logCapacity, k.variance = math.Log(f*l.Nominal), withinKindSpread*withinKindSpread
			}
			e.endpoints[l.ID] = k
		}
		if !l.warm() { // observations of a cold endpoint do not show its capacity
			k.reset(now)
		}
		k.Endpoint = l
		if e.kinds[l.Kind] == nil {
			e.kinds[l.Kind] = &kindState{}
		}
	}
	for id := range e.endpoints {
		if !listed[id] {
			delete(e.endpoints, id)
		}
	}
	used := map[uint32]bool{}
	for _, k := range e.endpoints {
		used[k.Kind] = true
	}
	for id := range e.kinds {
		if !used[id] {
			delete(e.kinds, id)
		}
	}
}

func (k *endpointState) reset(now time.Duration) {
	k.since, k.lostTime, k.declined = now, 0, 0
	clear(k.cells)
	clear(k.byGateway)
}

// workFactor returns a class's factor from hinted to standard work.
func (e *Estimator) workFactor(k cellKey) float64 {
	m := e.classes[k]
	if m == nil {
		return 1
	}
	return math.Exp(m.value)
}

// WorkFactor returns the factor from hinted to standard work of a class, with warm keys separate.
func (e *Estimator) WorkFactor(class Class, warm bool) float64 {
	return e.workFactor(cellKey{class, warm})
}

// Observe adds a gateway's observations. Endpoints that are not listed are ignored.
func (e *Estimator) Observe(gateway string, stats []Stats) {
	for i := range stats {
		s := &stats[i]
		k := e.endpoints[s.ID]
		if k == nil || !k.warm() {
			continue
		}
		total := k.byGateway[gateway]
		if total == nil {
			total = &cellSum{}
			k.byGateway[gateway] = total
		}
		for _, c := range s.Cells {
			key := cellKey{c.Class, c.Warm}
			cell := k.cells[key]
			if cell == nil {
				if len(k.cells) >= 2*MaxCells {
					continue
				}
				cell = &cellSum{}
				k.cells[key] = cell
			}
			add := cellSum{float64(c.Served), float64(c.Time) / 1e6, float64(c.Work) / 1e6}
			cell.served, cell.time, cell.work = cell.served+add.served, cell.time+add.time, cell.work+add.work
			total.served += add.served
			total.time += add.time
			total.work += add.work * e.workFactor(key)
			k.successes += add.served
			k.addRatios(&c, e.workFactor(key))
		}
		k.lostTime += float64(s.LostTime) / 1e6
		k.failures += float64(s.Errors + s.TimedOut)
		k.declined += float64(s.Declined)
	}
}

// Update must be called each period. It evaluates the windows that are complete.
func (e *Estimator) Update(now time.Duration) {
	e.fitClasses()
	for _, k := range e.ordered() {
		k.variance += capacityDrift * capacityDrift * indicator(k.variance > 0)
		duration := (now - k.since).Seconds()
		served := 0.0
		for _, c := range k.cells {
			served += c.served
		}
		if duration <= 0 || served+k.declined < windowAnswers && now-k.since < windowTime {
			continue
		}
		if k.warm() && (served > 0 || k.lostTime > 0) {
			e.updateEndpoint(k, duration, served)
		}
		k.successes, k.failures = successPrior+(k.successes-successPrior)*successDecay, k.failures*successDecay
		k.reset(now)
	}
	e.updateKinds()
}

// ordered returns all endpoints by ID, so that equal stats give equal tables.
func (e *Estimator) ordered() []*endpointState {
	all := make([]*endpointState, 0, len(e.endpoints))
	for _, k := range e.endpoints {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *endpointState) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// fitClasses fits the ratio of time to hinted work of each class: the log of the ratio is the sum
// of a term for the class and one for the endpoint. So hints that are wrong for a class, warm
// keys, or a mix of classes that differs between endpoints do not make an endpoint look fast.
func (e *Estimator) fitClasses() {
	residuals, weight := map[cellKey]float64{}, map[cellKey]float64{}
	for _, k := range e.endpoints {
		offset, n := 0.0, 0.0
		for c, s := range k.cells {
			if s.served >= minServed {
				offset += s.served * (math.Log(s.ratio()) - math.Log(e.workFactor(c)))
				n += s.served
			}
		}
		if n == 0 {
			continue
		}
		for c, s := range k.cells {
			if s.served >= minServed {
				residuals[c] += s.served * (math.Log(s.ratio()) - math.Log(e.workFactor(c)) - offset/n)
				weight[c] += s.served
			}
		}
	}
	sum, total := 0.0, 0.0
	for c, n := range weight {
		m := e.classes[c]
		if m == nil {
			if len(e.classes) >= MaxEndpoints {
				continue
			}
			m = &mean{}
			e.classes[c] = m
		}
		m.weight = math.Min(m.weight+n, classMemory)
		m.value += residuals[c] / math.Max(m.weight, n)
		sum, total = sum+m.value*n, total+n
	}
	for _, m := range e.classes { // the common term of all classes belongs to none of them
		m.value -= sum / math.Max(total, 1) * indicator(total > 0)
		m.value = math.Max(-maxLogCapacity, math.Min(m.value, maxLogCapacity))
	}
}

// updateEndpoint evaluates a window of one endpoint.
func (e *Estimator) updateEndpoint(k *endpointState, duration, served float64) {
	work, busyTime := k.totals()
	if served == 0 { // nothing was answered: assume less than half of the previous capacity
		k.updateCapacity(k.logCapacity-math.Ln2, withinKindSpread)
		return
	}
	inFlight := (busyTime + k.lostTime) / duration
	rate := work / duration
	kind := e.kinds[k.Kind]
	noise := math.Sqrt(minNoise*minNoise + 1/served)
	k.windows++
	var logs [len(serverCounts)]float64
	for i, m := range serverCounts {
		logs[i] = math.Log(rate / math.Max(utilisation(inFlight, m), 1e-6))
		if k.declined > throttledFraction*(served+k.declined) {
			logs[i] = math.Min(logs[i], math.Log(rate))
		}
		logs[i] = math.Max(-maxLogCapacity, math.Min(logs[i], maxLogCapacity))
		if !k.observed {
			k.slowLog[i] = logs[i]
		}
		k.slowLog[i] += (logs[i] - k.slowLog[i]) / 20
	}
	k.scoreServers(kind, inFlight, rate, served)
	k.observed = true
	k.updateCapacity(logs[kind.serverIndex], noise)
}

const (
	noWaitQuantile = 0.2 // quantile of time over work that is taken as service without waiting
	ratioDecay     = 0.9 // decay of the ratio histogram per window
	maxQueueError  = 1.0 // bound on the error of one observation: a machine with a new noisy neighbour says nothing about queues
)

// addRatios adds a cell's histogram, shifted to standard work.
func (k *endpointState) addRatios(c *Cell, workFactor float64) {
	shift := int(math.Round(-ratiosOctave * math.Log2(workFactor)))
	for i, n := range c.Ratios {
		k.ratios[max(0, min(i+shift, ratioBuckets-1))] += float64(n)
	}
}

// serviceTime returns the time per second of work where nothing waits.
func (k *endpointState) serviceTime() float64 {
	total := 0.0
	for _, n := range k.ratios {
		total += n
	}
	remaining := total * noWaitQuantile
	for i, n := range k.ratios {
		if remaining <= n && n > 0 {
			return math.Exp2((float64(i-ratiosUnderOne) + remaining/n) / ratiosOctave)
		}
		remaining -= n
	}
	return 1
}

// scoreServers compares the queue with the predicted queue of each number of servers. The number
// of busy servers is the work completed per second times the service time of a second of work;
// the remaining requests in flight wait.
func (k *endpointState) scoreServers(kind *kindState, inFlight, rate, served float64) {
	busy := rate * k.serviceTime()
	waiting := math.Log1p(math.Max(inFlight-busy, 0))
	weight := served / (served + windowAnswers)
	for i, m := range serverCounts {
		deviation := waiting - math.Log1p(queueLength(math.Min(busy/m, 0.99), m))
		kind.queueErrors[i] += weight * math.Min(deviation*deviation, maxQueueError)
	}
	kind.observations += weight
	for i := range k.ratios {
		k.ratios[i] *= ratioDecay
	}
}

// totals returns the standard work completed and the seconds it took. If at least three gateways
// report on an endpoint, the time per work of each is clamped around the median. So a gateway
// that lies or has slow links shifts an estimate only by a bounded amount.
func (k *endpointState) totals() (work, busyTime float64) {
	median := 0.0
	if len(k.byGateway) >= 3 {
		ratios := make([]float64, 0, len(k.byGateway))
		for _, s := range k.byGateway {
			if s.work > 0 {
				ratios = append(ratios, s.ratio())
			}
		}
		if slices.Sort(ratios); len(ratios) >= 3 {
			median = ratios[len(ratios)/2]
		}
	}
	for _, name := range sortedKeys(k.byGateway) {
		s := k.byGateway[name]
		t := s.time
		if median > 0 {
			t = math.Max(s.work*median/maxTimeRatio, math.Min(t, s.work*median*maxTimeRatio))
		}
		work, busyTime = work+s.work, busyTime+t
	}
	return work, busyTime
}

func sortedKeys(m map[string]*cellSum) []string {
	all := make([]string, 0, len(m))
	for name := range m {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// updateCapacity filters an observed log capacity: a local level model, with two CUSUMs of
// innovations that detect a change, after which earlier observations have little weight.
func (k *endpointState) updateCapacity(observation, noise float64) {
	if k.variance == 0 {
		k.logCapacity, k.variance = observation, noise*noise
		return
	}
	innovation := observation - k.logCapacity
	z := innovation / math.Sqrt(k.variance+noise*noise)
	k.cusumUp, k.cusumDown = math.Max(0, k.cusumUp+z-changeSlack), math.Max(0, k.cusumDown-z-changeSlack)
	if k.cusumUp > changeThreshold || k.cusumDown > changeThreshold {
		k.variance = changeDeviation * changeDeviation
		k.cusumUp, k.cusumDown = 0, 0
		k.changes++
	}
	gain := k.variance / (k.variance + noise*noise)
	k.logCapacity += gain * innovation
	k.variance *= 1 - gain
}

// updateKinds selects the number of servers of each kind that best explains the queues, and
// computes the mean of the kind's endpoints.
func (e *Estimator) updateKinds() {
	ids := make([]uint32, 0, len(e.kinds))
	for id := range e.kinds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	all := e.ordered()
	for _, id := range ids {
		kind := e.kinds[id]
		kind.chooseServers(all, id)
		sum, weight := 0.0, 0.0
		for _, k := range all {
			if k.Kind == id && k.variance > 0 {
				w := 1 / (k.variance + withinKindSpread*withinKindSpread)
				sum, weight = sum+w*(k.logCapacity-math.Log(k.Nominal)), weight+w
			}
		}
		if kind.meanVariance = math.Inf(1); weight > 0 {
			kind.mean, kind.meanVariance = sum/weight, 1/weight+kind.serverVariance(all, id)
		}
	}
}

const (
	minChooseObservations = 20.0  // observations of a kind needed before its number of servers may change
	chooseMargin          = 0.8   // fraction of the current error that the error of a new number must be below
	queueErrorDecay       = 0.995 // decay of the errors per period
	errorScale            = 0.5   // error that makes a number of servers e times less likely
)

// chooseServers changes the number of servers if another one explains the observations better.
func (kind *kindState) chooseServers(all []*endpointState, id uint32) {
	best := kind.serverIndex
	for i := range serverCounts {
		if kind.queueErrors[i] < kind.queueErrors[best] {
			best = i
		}
	}
	if best != kind.serverIndex && kind.observations > minChooseObservations && kind.queueErrors[best] < chooseMargin*kind.queueErrors[kind.serverIndex]-errorScale {
		kind.serverIndex = best
		for _, k := range all {
			if k.Kind == id && k.observed {
				k.logCapacity, k.variance = k.slowLog[best], withinKindSpread*withinKindSpread
				k.cusumUp, k.cusumDown = 0, 0
			}
		}
	}
	for i := range kind.queueErrors {
		kind.queueErrors[i] *= queueErrorDecay
	}
	kind.observations *= queueErrorDecay
}

// serverVariance returns the variance of a kind's log capacity that is due to the uncertain
// number of servers, over the numbers that explain the observations about as well.
func (kind *kindState) serverVariance(all []*endpointState, id uint32) float64 {
	var logs [len(serverCounts)]float64
	n := 0.0
	for _, k := range all {
		if k.Kind == id && k.observed {
			for i := range serverCounts {
				logs[i] += k.slowLog[i]
			}
			n++
		}
	}
	if n == 0 {
		return 0
	}
	sum, square, weight := 0.0, 0.0, 0.0
	for i := range serverCounts {
		w := math.Exp(math.Min((kind.queueErrors[kind.serverIndex]-kind.queueErrors[i])/errorScale, 10))
		logMean := logs[i] / n
		sum, square, weight = sum+w*logMean, square+w*logMean*logMean, weight+w
	}
	m := sum / weight
	return math.Max(square/weight-m*m, 0)
}

// Estimates returns the estimates for all endpoints. An endpoint with few observations is drawn
// towards its kind, and a kind towards the listed weights. Errors don't count as throughput.
func (e *Estimator) Estimates() []Estimate {
	all := e.ordered()
	meanLog, weight := 0.0, 0.0
	for _, k := range all {
		if kind := e.kinds[k.Kind]; !math.IsInf(kind.meanVariance, 1) {
			w := 1 / (kind.meanVariance + kindSpread*kindSpread)
			meanLog, weight = meanLog+w*kind.mean, weight+w
		}
	}
	meanLog /= math.Max(weight, 1e-12)
	estimates := make([]Estimate, 0, len(all))
	sum, nominal := 0.0, 0.0
	for _, k := range all {
		kind := e.kinds[k.Kind]
		logFactor := 0.0
		if !math.IsInf(kind.meanVariance, 1) {
			logFactor = (kind.mean - meanLog) * kindSpread * kindSpread / (kindSpread*kindSpread + kind.meanVariance)
		}
		variance := withinKindSpread * withinKindSpread
		if k.variance > 0 {
			gain := variance / (variance + k.variance)
			logFactor += (k.logCapacity - math.Log(k.Nominal) - kind.mean) * gain
			variance *= 1 - gain
		}
		logFactor += math.Log(k.successes / (k.successes + k.failures))
		estimate := Estimate{Endpoint: k.Endpoint, Factor: math.Exp(logFactor), Capacity: indicator(weight > 0) * math.Exp(meanLog+logFactor) * k.Nominal, Deviation: math.Sqrt(variance), Windows: k.windows, Changes: k.changes}
		estimates = append(estimates, estimate)
		if k.warm() {
			sum, nominal = sum+k.Nominal*estimate.Factor, nominal+k.Nominal
		}
	}
	if sum > 0 { // the sum of weights stays that of the list
		for i := range estimates {
			estimates[i].Factor *= nominal / sum
		}
	}
	return estimates
}
