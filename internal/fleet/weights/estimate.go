package weights

import (
	"math"
	"slices"
	"time"
)

// Endpoint is one that the holder of the duty knows from its own list.
type Endpoint struct {
	ID      ID
	Kind    uint32  // of its hardware, at the same service
	Nominal float64 // the list's weight
	Site    string  // where it stands; "": it is not told
	Ready   bool    // it takes new requests
	Warmth  float64 // part of its capacity that it is sure to have by now
}

// warm reports whether what is seen of it tells what it can do.
func (e *Endpoint) warm() bool { return e.Ready && e.Warmth >= 1 }

const (
	windowServed = 8               // answers that an observation needs, or
	windowTime   = 8 * time.Second // so long
	enoughServed = 3               // of a class at an endpoint, to be compared with others
	classMemory  = 400.0           // answers that a class's factor looks back over

	kindSpread  = 0.35 // of capacities over those listed, by kind, in the log, before anything is seen
	withinKind  = 0.30 // of endpoints within their kind
	leastNoise  = 0.04 // of an observation, however many answers there are
	drift       = 0.02 // of a capacity, in a second
	changeDrift = 0.5  // how little is known after a change
	changeSlack = 0.7  // of an innovation, in its own deviations, that is none
	changeSum   = 4.0  // of innovations that make a change

	successPrior = 12.0 // attempts that an endpoint is thought to have served well
	successKeeps = 0.9  // of what is known of that, after a window
	throttled    = 0.1  // part declined from which what was served is all that there is
	clampTime    = 4.0  // by which one gateway's time for its work may differ from the others'
	mostCapacity = 12.0 // in the log: bounds what any figures can come to
)

// servers are the numbers of servers behind an endpoint that are told apart.
var servers = [...]float64{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// queue is how many wait on the mean before so many servers of which a part is busy, by
// Sakasegawa's approximation (1977).
func queue(part, servers float64) float64 {
	return math.Pow(part, math.Sqrt(2*(servers+1))) / math.Max(1-part, 1e-3)
}

// busyPart is the part of so many servers that is busy where inside requests are there on
// the mean: those that are served and those that wait. It turns Little's law, which tells
// what is inside, into a part of the capacity: so one that is asked for little is not taken
// for slow.
func busyPart(inside, servers float64) float64 {
	low, high := 0.0, 1.0
	for range 30 {
		part := (low + high) / 2
		if servers*part+queue(part, servers) < inside {
			low = part
		} else {
			high = part
		}
	}
	return high
}

// key is a class, warm keys apart.
type key struct {
	class Class
	warm  bool
}

// sum is a cell's, as numbers.
type sum struct{ served, time, work float64 }

func (s *sum) ratio() float64 { return s.time / math.Max(s.work, 1e-9) }

// known is what is known of one endpoint.
type known struct {
	Endpoint
	since    time.Duration // of the window
	cells    map[key]*sum
	from     map[string]*sum // by gateway, of all classes, in standard work
	lost     float64         // seconds
	declined float64
	good     float64 // attempts served and not, fading
	bad      float64

	value    float64               // log of the capacity, as followed
	variance float64               // of it; 0: nothing was seen
	up, down float64               // sums of innovations
	slow     [len(servers)]float64 // by number of servers: log of the capacity, followed slowly
	ratios   [ratioBuckets]float64 // of standard work, fading
	seen     bool
	changes  int
	windows  int
}

// kind is what is known of one kind.
type kind struct {
	misses [len(servers)]float64 // by number of servers: how far queues were off, squared
	n      float64               // of looks
	at     int                   // the number of servers that is taken
	mean   float64
	noise  float64 // variance of that
}

// Estimator estimates what each endpoint can do, in the fleet's sums. It is the holder's.
type Estimator struct {
	endpoints map[ID]*known
	kinds     map[uint32]*kind
	classes   map[key]*mean
}

type mean struct{ value, weight float64 }

// Estimate is what one endpoint is taken to do.
type Estimate struct {
	Endpoint
	Factor    float64 // over its nominal weight, beside the fleet's mean
	Capacity  float64 // standard work a second; 0: nothing was seen of any
	Deviation float64 // of the log of it
	Windows   int     // that were looked at
	Changes   int     // that were found
}

// NewEstimator makes one that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{endpoints: map[ID]*known{}, kinds: map[uint32]*kind{}, classes: map[key]*mean{}}
}

// SetEndpoints takes the list: what is no longer in it is forgotten. before tells the factor
// that one had under the holder before, from which a new holder goes on; false: none.
func (e *Estimator) SetEndpoints(now time.Duration, list []Endpoint, before func(ID) (float64, bool)) {
	listed := make(map[ID]bool, len(list))
	for _, l := range list[:min(len(list), MaxEndpoints)] {
		if !(l.Nominal > 0) || math.IsInf(l.Nominal, 0) {
			l.Nominal = 1
		}
		listed[l.ID] = true
		k := e.endpoints[l.ID]
		if k == nil {
			k = &known{since: now, cells: map[key]*sum{}, from: map[string]*sum{}, good: successPrior}
			if f, ok := before(l.ID); ok {
				k.value, k.variance = math.Log(f*l.Nominal), withinKind*withinKind
			}
			e.endpoints[l.ID] = k
		}
		if !l.warm() { // what is seen of a cold one tells nothing of it
			k.reset(now)
		}
		k.Endpoint = l
		if e.kinds[l.Kind] == nil {
			e.kinds[l.Kind] = &kind{}
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

func (k *known) reset(now time.Duration) {
	k.since, k.lost, k.declined = now, 0, 0
	clear(k.cells)
	clear(k.from)
}

// standard is a class's factor from hinted to standard work.
func (e *Estimator) standard(k key) float64 {
	m := e.classes[k]
	if m == nil {
		return 1
	}
	return math.Exp(m.value)
}

// WorkFactor is the same by name.
func (e *Estimator) WorkFactor(class Class, warm bool) float64 { return e.standard(key{class, warm}) }

// Observe takes what a gateway saw. Endpoints that are not in the list are left out.
func (e *Estimator) Observe(gateway string, seen []Stats) {
	for i := range seen {
		s := &seen[i]
		k := e.endpoints[s.ID]
		if k == nil || !k.warm() {
			continue
		}
		part := k.from[gateway]
		if part == nil {
			part = &sum{}
			k.from[gateway] = part
		}
		for _, c := range s.Cells {
			at := key{c.Class, c.Warm}
			to := k.cells[at]
			if to == nil {
				if len(k.cells) >= 2*MaxCells {
					continue
				}
				to = &sum{}
				k.cells[at] = to
			}
			add := sum{float64(c.Served), float64(c.Time) / 1e6, float64(c.Work) / 1e6}
			to.served, to.time, to.work = to.served+add.served, to.time+add.time, to.work+add.work
			part.served += add.served
			part.time += add.time
			part.work += add.work * e.standard(at)
			k.good += add.served
			k.ratio(&c, e.standard(at))
		}
		k.lost += float64(s.LostTime) / 1e6
		k.bad += float64(s.Errors + s.TimedOut)
		k.declined += float64(s.Declined)
	}
}

// Update is to be called each period: it looks at what came since.
func (e *Estimator) Update(now time.Duration) {
	e.compare()
	for _, k := range e.ordered() {
		k.variance += drift * drift * indicator(k.variance > 0)
		span := (now - k.since).Seconds()
		served := 0.0
		for _, c := range k.cells {
			served += c.served
		}
		if span <= 0 || served+k.declined < windowServed && now-k.since < windowTime {
			continue
		}
		if k.warm() && (served > 0 || k.lost > 0) {
			e.observe(k, span, served)
		}
		k.good, k.bad = successPrior+(k.good-successPrior)*successKeeps, k.bad*successKeeps
		k.reset(now)
	}
	e.settleKinds()
}

// ordered are all endpoints by ID, so that equal sums give equal tables.
func (e *Estimator) ordered() []*known {
	all := make([]*known, 0, len(e.endpoints))
	for _, k := range e.endpoints {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *known) int {
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

// compare fits what classes take over their hints: the log of time over work is the sum of
// what the class and what the endpoint adds to it. So hints that lie by class, keys that are
// warm, and a mix of classes that differs from endpoint to endpoint make none look quick.
func (e *Estimator) compare() {
	off, weight := map[key]float64{}, map[key]float64{}
	for _, k := range e.endpoints {
		at, n := 0.0, 0.0
		for c, s := range k.cells {
			if s.served >= enoughServed {
				at += s.served * (math.Log(s.ratio()) - math.Log(e.standard(c)))
				n += s.served
			}
		}
		if n == 0 {
			continue
		}
		for c, s := range k.cells {
			if s.served >= enoughServed {
				off[c] += s.served * (math.Log(s.ratio()) - math.Log(e.standard(c)) - at/n)
				weight[c] += s.served
			}
		}
	}
	sum, all := 0.0, 0.0
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
		m.value += off[c] / math.Max(m.weight, n)
		sum, all = sum+m.value*n, all+n
	}
	for _, m := range e.classes { // what all classes have in common is none of them
		m.value -= sum / math.Max(all, 1) * indicator(all > 0)
		m.value = math.Max(-mostCapacity, math.Min(m.value, mostCapacity))
	}
}

// observe takes a window of one endpoint.
func (e *Estimator) observe(k *known, span, served float64) {
	work, spent := k.measured()
	if served == 0 { // all were silent: what it can do is less than half of what was thought
		k.follow(k.value-math.Ln2, withinKind)
		return
	}
	inside := (spent + k.lost) / span
	rate := work / span
	of := e.kinds[k.Kind]
	noise := math.Sqrt(leastNoise*leastNoise + 1/served)
	k.windows++
	var logs [len(servers)]float64
	for i, m := range servers {
		logs[i] = math.Log(rate / math.Max(busyPart(inside, m), 1e-6))
		if k.declined > throttled*(served+k.declined) {
			logs[i] = math.Min(logs[i], math.Log(rate))
		}
		logs[i] = math.Max(-mostCapacity, math.Min(logs[i], mostCapacity))
		if !k.seen {
			k.slow[i] = logs[i]
		}
		k.slow[i] += (logs[i] - k.slow[i]) / 20
	}
	k.look(of, inside, rate, served)
	k.seen = true
	k.follow(logs[of.at], noise)
}

const (
	unhurried  = 0.2 // quantile of times over work that stands for no waiting
	ratioKeeps = 0.9 // of what is known of them, after a window
	mostMiss   = 1.0 // of one look: a machine whose neighbour has changed tells nothing of queues
)

// ratio takes a cell's ratios, as of standard work.
func (k *known) ratio(c *Cell, standard float64) {
	shift := int(math.Round(-ratiosOctave * math.Log2(standard)))
	for i, n := range c.Ratios {
		k.ratios[max(0, min(i+shift, ratioBuckets-1))] += float64(n)
	}
}

// alone is the time that a second of work takes where nothing waits.
func (k *known) alone() float64 {
	all := 0.0
	for _, n := range k.ratios {
		all += n
	}
	left := all * unhurried
	for i, n := range k.ratios {
		if left <= n && n > 0 {
			return math.Exp2((float64(i-ratiosUnderOne) + left/n) / ratiosOctave)
		}
		left -= n
	}
	return 1
}

// look compares what waits with what would wait before so many servers: those that are busy
// are the work that is finished in a second, times what a second of it takes where nothing
// waits; the rest of those inside wait.
func (k *known) look(of *kind, inside, rate, served float64) {
	busy := rate * k.alone()
	waits := math.Log1p(math.Max(inside-busy, 0))
	weight := served / (served + windowServed)
	for i, m := range servers {
		miss := waits - math.Log1p(queue(math.Min(busy/m, 0.99), m))
		of.misses[i] += weight * math.Min(miss*miss, mostMiss)
	}
	of.n += weight
	for i := range k.ratios {
		k.ratios[i] *= ratioKeeps
	}
}

// measured are the standard work that was finished, and the seconds that it took. Where
// three gateways or more speak of an endpoint, the time that one tells for its work counts
// as far as it is within bounds of what the others tell: one that lies, or whose own links
// are slow, moves an estimate by so much at most.
func (k *known) measured() (work, spent float64) {
	usual := 0.0
	if len(k.from) >= 3 {
		ratios := make([]float64, 0, len(k.from))
		for _, s := range k.from {
			if s.work > 0 {
				ratios = append(ratios, s.ratio())
			}
		}
		if slices.Sort(ratios); len(ratios) >= 3 {
			usual = ratios[len(ratios)/2]
		}
	}
	for _, name := range sortedKeys(k.from) {
		s := k.from[name]
		t := s.time
		if usual > 0 {
			t = math.Max(s.work*usual/clampTime, math.Min(t, s.work*usual*clampTime))
		}
		work, spent = work+s.work, spent+t
	}
	return work, spent
}

func sortedKeys(m map[string]*sum) []string {
	all := make([]string, 0, len(m))
	for name := range m {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// follow takes an observation of the log of the capacity: a local level, and two sums of
// innovations that find a change, after which what was known counts for little.
func (k *known) follow(seen, noise float64) {
	if k.variance == 0 {
		k.value, k.variance = seen, noise*noise
		return
	}
	off := seen - k.value
	z := off / math.Sqrt(k.variance+noise*noise)
	k.up, k.down = math.Max(0, k.up+z-changeSlack), math.Max(0, k.down-z-changeSlack)
	if k.up > changeSum || k.down > changeSum {
		k.variance = changeDrift * changeDrift
		k.up, k.down = 0, 0
		k.changes++
	}
	gain := k.variance / (k.variance + noise*noise)
	k.value += gain * off
	k.variance *= 1 - gain
}

// settleKinds takes the number of servers of each kind that explains best what waits, and
// the mean of its endpoints.
func (e *Estimator) settleKinds() {
	ids := make([]uint32, 0, len(e.kinds))
	for id := range e.kinds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	all := e.ordered()
	for _, id := range ids {
		of := e.kinds[id]
		of.choose(all, id)
		sum, weight := 0.0, 0.0
		for _, k := range all {
			if k.Kind == id && k.variance > 0 {
				w := 1 / (k.variance + withinKind*withinKind)
				sum, weight = sum+w*(k.value-math.Log(k.Nominal)), weight+w
			}
		}
		if of.noise = math.Inf(1); weight > 0 {
			of.mean, of.noise = sum/weight, 1/weight+of.doubt(all, id)
		}
	}
}

const (
	chooseAfter = 20.0  // looks at a kind, before the number of its servers is changed
	chooseBy    = 0.8   // of the misses, below which another number has to come
	chooseKeeps = 0.995 // of misses, after each period
	doubtScale  = 0.5   // of misses, that make a number of servers e times less likely
)

// choose takes another number of servers where that explains what is seen better.
func (of *kind) choose(all []*known, id uint32) {
	best := of.at
	for i := range servers {
		if of.misses[i] < of.misses[best] {
			best = i
		}
	}
	if best != of.at && of.n > chooseAfter && of.misses[best] < chooseBy*of.misses[of.at]-doubtScale {
		of.at = best
		for _, k := range all {
			if k.Kind == id && k.seen {
				k.value, k.variance = k.slow[best], withinKind*withinKind
				k.up, k.down = 0, 0
			}
		}
	}
	for i := range of.misses {
		of.misses[i] *= chooseKeeps
	}
	of.n *= chooseKeeps
}

// doubt is the variance that not knowing the number of servers leaves of a kind's capacity:
// of the numbers that explain what is seen about as well.
func (of *kind) doubt(all []*known, id uint32) float64 {
	var logs [len(servers)]float64
	n := 0.0
	for _, k := range all {
		if k.Kind == id && k.seen {
			for i := range servers {
				logs[i] += k.slow[i]
			}
			n++
		}
	}
	if n == 0 {
		return 0
	}
	sum, square, weight := 0.0, 0.0, 0.0
	for i := range servers {
		w := math.Exp(math.Min((of.misses[of.at]-of.misses[i])/doubtScale, 10))
		x := logs[i] / n
		sum, square, weight = sum+w*x, square+w*x*x, weight+w
	}
	m := sum / weight
	return math.Max(square/weight-m*m, 0)
}

// Estimates are what all endpoints are taken to do: an endpoint is drawn to its kind as far
// as little was seen of it, and a kind to what is listed. Errors are no throughput.
func (e *Estimator) Estimates() []Estimate {
	all := e.ordered()
	usual, weight := 0.0, 0.0
	for _, k := range all {
		if of := e.kinds[k.Kind]; !math.IsInf(of.noise, 1) {
			w := 1 / (of.noise + kindSpread*kindSpread)
			usual, weight = usual+w*of.mean, weight+w
		}
	}
	usual /= math.Max(weight, 1e-12)
	out := make([]Estimate, 0, len(all))
	sum, nominal := 0.0, 0.0
	for _, k := range all {
		of := e.kinds[k.Kind]
		at := 0.0
		if !math.IsInf(of.noise, 1) {
			at = (of.mean - usual) * kindSpread * kindSpread / (kindSpread*kindSpread + of.noise)
		}
		variance := withinKind * withinKind
		if k.variance > 0 {
			part := variance / (variance + k.variance)
			at += (k.value - math.Log(k.Nominal) - of.mean) * part
			variance *= 1 - part
		}
		at += math.Log(k.good / (k.good + k.bad))
		x := Estimate{Endpoint: k.Endpoint, Factor: math.Exp(at), Capacity: indicator(weight > 0) * math.Exp(usual+at) * k.Nominal, Deviation: math.Sqrt(variance), Windows: k.windows, Changes: k.changes}
		out = append(out, x)
		if k.warm() {
			sum, nominal = sum+k.Nominal*x.Factor, nominal+k.Nominal
		}
	}
	if sum > 0 { // the sum of weights is held to that of the list
		for i := range out {
			out[i].Factor *= nominal / sum
		}
	}
	return out
}
