package sites

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// Plan is what all gateways do about sites. The zero value means that all sites are healthy.
type Plan struct {
	Sites []SitePlan
	Admit []Admission // groups without an entry are admitted completely
	// RetryAfter is how long a refused client should wait.
	RetryAfter time.Duration
}

// SitePlan is the plan for one site.
type SitePlan struct {
	Site     uint32 // hash of the name
	State    State
	Fraction float64 // of the fleet that sends to the site
	// Factor is the factor for the weights of the site's endpoints, by the hash of the gateway's
	// site.
	Factor map[uint32]float64
}

// Admission is the admitted fraction of a group.
type Admission struct {
	Group
	Fraction float64
}

// Site is a planner's input about one site.
type Site struct {
	Name     string
	Ready    int     // number of endpoints
	Capacity float64 // current, in work per second
	Cold     bool    // some of its endpoints are cold, so its capacity will grow
}

const (
	minFactor, maxFactor = 0.5, 2.0 // bounds of a plan's factors
	maxAdmitRise         = 0.1      // maximum increase of an admitted fraction per period
	minAdmitChange       = 0.05     // smaller changes of an admitted fraction are ignored
	minRetryAfter        = 2 * time.Second
	flowDecay            = 0.8 // factor on flows after each period
)

// Planner makes plans. Only the leader has one.
type Planner struct {
	settings Settings
	detector *Detector
	home     map[string]string
	distance func(from, to string) float64
	flow     map[[2]string]float64 // work per second from gateways' sites to endpoints' sites, decaying
	demand   map[Group]*Demand     // in this period
	admit    map[Group]float64
}

// NewPlanner continues from the plan in force. home is the sites of gateways, distance the
// distance between two sites in any unit.
func NewPlanner(now time.Duration, settings Settings, home map[string]string, distance func(from, to string) float64, previous Plan) *Planner {
	states := map[string]State{}
	for _, name := range home {
		for _, s := range previous.Sites {
			if s.Site == Hash(name) {
				states[name] = s.State
			}
		}
	}
	p := &Planner{settings: settings, detector: NewDetector(now, home, states), home: home, distance: distance, flow: map[[2]string]float64{}, demand: map[Group]*Demand{}, admit: map[Group]float64{}}
	for _, a := range previous.Admit {
		p.admit[a.Group] = a.Fraction
	}
	return p
}

// SetHome sets the sites of gateways.
func (p *Planner) SetHome(home map[string]string) { p.home, p.detector.home = home, home }

// Observe adds a gateway's observations of an endpoint in a period: attempts served, attempts
// without an answer or a connection, and the work done.
func (p *Planner) Observe(gateway, site string, endpoint uint64, served, failed, work float64) {
	p.detector.Observe(gateway, site, endpoint, served, failed)
	from, known := p.home[gateway]
	key := [2]string{from, site}
	if _, tracked := p.flow[key]; known && (tracked || len(p.flow) < MaxSites*MaxSites) {
		p.flow[key] += work * (1 - flowDecay)
	}
}

// AddDemand adds a group's requests at the admission of some gateway, in a period of a second.
func (p *Planner) AddDemand(g Group, requests, work, worth float64) {
	d := p.demand[g]
	if d == nil {
		if len(p.demand) >= MaxGroups {
			return
		}
		d = &Demand{Group: g}
		p.demand[g] = d
	}
	d.Worth = (d.Worth*d.Work + worth*work) / math.Max(d.Work+work, 1e-12)
	d.MeanWork += requests
	d.Work += work
}

// Next returns the next plan and the changes of sites' states.
func (p *Planner) Next(now time.Duration, all []Site) (Plan, []Change) {
	all = all[:min(len(all), MaxSites)]
	ready, cold := map[string]int{}, map[string]bool{}
	for _, s := range all {
		ready[s.Name], cold[s.Name] = s.Ready, s.Cold
	}
	changes := p.detector.Step(now, ready, cold)
	plan := p.plan(now, all)
	for k := range p.flow {
		if p.flow[k] *= flowDecay; p.flow[k] < 1e-9 {
			delete(p.flow, k)
		}
	}
	clear(p.demand)
	return plan, changes
}

// anyDegraded reports whether any site is lost or returning.
func (p *Planner) anyDegraded(all []Site) bool {
	return slices.ContainsFunc(all, func(s Site) bool { return p.detector.State(s.Name) >= Lost })
}

func (p *Planner) plan(now time.Duration, all []Site) (plan Plan) {
	degraded := p.anyDegraded(all)
	factors := p.factors(all)
	for j, s := range all {
		state := p.detector.State(s.Name)
		if state == Healthy && !degraded {
			continue
		}
		sitePlan := SitePlan{Site: Hash(s.Name), State: state, Fraction: p.detector.Fraction(s.Name)}
		for i, from := range all {
			if f := factors[i][j]; degraded && f != 1 {
				if sitePlan.Factor == nil {
					sitePlan.Factor = map[uint32]float64{}
				}
				sitePlan.Factor[Hash(from.Name)] = f
			}
		}
		plan.Sites = append(plan.Sites, sitePlan)
	}
	p.updateAdmission(all, degraded)
	for _, g := range p.groups() {
		if fraction := p.admit[g]; fraction < 1 {
			plan.Admit = append(plan.Admit, Admission{g, fraction})
		}
	}
	if degraded {
		plan.RetryAfter = minRetryAfter
		for _, s := range all {
			if lostSite := p.detector.sites[s.Name]; lostSite != nil && lostSite.state == Lost {
				plan.RetryAfter = max(plan.RetryAfter, lostSite.wait-(now-lostSite.since))
			}
		}
	}
	return plan
}

func (p *Planner) groups() (all []Group) {
	for g := range p.admit {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b Group) int {
		if a.Class != b.Class {
			return int(a.Class) - int(b.Class)
		}
		return btoi(a.Guaranteed) - btoi(b.Guaranteed)
	})
	return all
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// usableCapacity returns how much load may be planned for a site.
func (p *Planner) usableCapacity(s Site) float64 {
	return p.settings.Utilisation * s.Capacity * p.detector.Fraction(s.Name)
}

// updateAdmission decides which fraction of each group is admitted. Demand counts refused
// requests too, so refusing does not appear to free capacity. A fraction grows in steps and
// shrinks at once.
func (p *Planner) updateAdmission(all []Site, degraded bool) {
	capacity := 0.0
	for _, s := range all {
		capacity += p.usableCapacity(s)
	}
	var demand []Demand
	for _, d := range p.demand {
		x := *d
		x.MeanWork = d.Work / math.Max(d.MeanWork, 1)
		demand = append(demand, x)
	}
	slices.SortFunc(demand, func(a, b Demand) int { return int(a.Class) - int(b.Class) })
	fractions := map[Group]float64{}
	if degraded {
		fractions = Admit(demand, capacity, p.settings.Floor)
	}
	for _, d := range demand {
		if _, known := p.admit[d.Group]; !known && len(p.admit) < MaxGroups { // further groups are admitted completely
			p.admit[d.Group] = 1
		}
	}
	for g, current := range p.admit {
		target, given := fractions[g]
		if !given {
			target = 1
		}
		switch next := math.Min(target, current+maxAdmitRise); {
		case next >= 1 && p.demand[g] == nil:
			delete(p.admit, g)
		case next >= 1, math.Abs(next-current) > minAdmitChange:
			p.admit[g] = next
		}
	}
}

// factors returns the factor that gateways of each site apply to each site's endpoints: load of
// lost sites moves to where there is capacity, the nearest first, and other load stays where it
// is.
func (p *Planner) factors(all []Site) Flow {
	n := len(all)
	factors := newFlow(n, n)
	displaced, capacity := make([]float64, n), make([]float64, n)
	for j, s := range all {
		if p.detector.Fraction(s.Name) == 1 { // a returning site gets only its own fraction, and no displaced load
			capacity[j] = p.usableCapacity(s)
		}
	}
	for i, from := range all {
		for j, to := range all {
			factors[i][j] = 1
			f, fraction := p.flow[[2]string{from.Name, to.Name}], p.detector.Fraction(to.Name)
			if from.Name == to.Name { // to its own gateways the site is healthy, as far as they know
				fraction = 1
			}
			displaced[i] += f * (1 - fraction)
			capacity[j] = math.Max(0, capacity[j]-f*fraction)
		}
	}
	placed, _ := Spread(displaced, capacity, func(i, j int) float64 { return p.distance(all[i].Name, all[j].Name) })
	for i, from := range all {
		sum, base := 0.0, 0.0
		for j, to := range all {
			f := p.flow[[2]string{from.Name, to.Name}] * p.detector.Fraction(to.Name)
			base += f
			sum += f + placed[i][j]
		}
		for j, to := range all {
			f := p.flow[[2]string{from.Name, to.Name}] * p.detector.Fraction(to.Name)
			if f > 1e-6*base && sum > 0 && p.detector.Fraction(to.Name) == 1 {
				factors[i][j] = math.Max(minFactor, math.Min((f+placed[i][j])/f*base/sum, maxFactor))
			}
		}
	}
	return factors
}

// Encoding of a plan: the RetryAfter time in milliseconds and the number of sites; for each site
// its hash, state, fraction in thousandths and number of factors, and for each factor the hash
// and the value in thousandths; then the number of groups, and for each the class, whether it is
// guaranteed, and the fraction in thousandths.

var errPlan = errors.New("sites: invalid plan")

// MaxPacked bounds an encoded plan, in bytes: 16 sites with factors for each other need less.
const MaxPacked = 4096

// Append appends the encoding of p to b.
func (p Plan) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(p.RetryAfter.Milliseconds()))
	b = append(b, byte(len(p.Sites)))
	for _, s := range p.Sites {
		b = binary.BigEndian.AppendUint32(b, s.Site)
		b = append(b, byte(s.State))
		b = binary.BigEndian.AppendUint16(b, thousandths(s.Fraction))
		b = append(b, byte(len(s.Factor)))
		var from []uint32
		for h := range s.Factor {
			from = append(from, h)
		}
		slices.Sort(from)
		for _, h := range from {
			b = binary.BigEndian.AppendUint32(b, h)
			b = binary.BigEndian.AppendUint16(b, thousandths(s.Factor[h]))
		}
	}
	b = append(b, byte(len(p.Admit)))
	for _, a := range p.Admit {
		b = binary.BigEndian.AppendUint16(b, a.Class)
		b = append(b, byte(btoi(a.Guaranteed)))
		b = binary.BigEndian.AppendUint16(b, thousandths(a.Fraction))
	}
	return b
}

func thousandths(x float64) uint16 { return uint16(math.Round(1000 * math.Max(0, math.Min(x, 60)))) }

// reader reads an encoded plan; after an error all values read are invalid.
type reader struct {
	b       []byte
	invalid bool
}

func (r *reader) next(n int) []byte {
	if len(r.b) < n {
		r.b, r.invalid = nil, true
		return make([]byte, n)
	}
	x := r.b[:n]
	r.b = r.b[n:]
	return x
}

func (r *reader) byte(limit int) int {
	x := int(r.next(1)[0])
	r.invalid = r.invalid || x > limit
	return min(x, limit)
}

func (r *reader) fraction(limit float64) float64 {
	x := float64(binary.BigEndian.Uint16(r.next(2))) / 1000
	r.invalid = r.invalid || x > limit
	return math.Min(x, limit)
}

func (r *reader) hash() uint32 { return binary.BigEndian.Uint32(r.next(4)) }

// Parse decodes a plan. Each value is bounded, and the whole plan is rejected if any is out of
// bounds.
func Parse(b []byte) (p Plan, err error) {
	if len(b) == 0 {
		return p, nil
	}
	ms, n := binary.Uvarint(b)
	if n <= 0 || ms > uint64(time.Hour.Milliseconds()) || len(b) > MaxPacked {
		return p, errPlan
	}
	p.RetryAfter = time.Duration(ms) * time.Millisecond
	r := &reader{b: b[n:]}
	for range r.byte(MaxSites) {
		s := SitePlan{Site: r.hash(), State: State(r.byte(int(Returning))), Fraction: r.fraction(1)}
		for range r.byte(MaxSites) {
			if s.Factor == nil {
				s.Factor = map[uint32]float64{}
			}
			from := r.hash()
			s.Factor[from] = r.fraction(maxFactor)
		}
		p.Sites = append(p.Sites, s)
	}
	for range r.byte(MaxGroups) {
		g := Group{Class: binary.BigEndian.Uint16(r.next(2)), Guaranteed: r.byte(1) == 1}
		p.Admit = append(p.Admit, Admission{g, r.fraction(1)})
	}
	if r.invalid || len(r.b) > 0 {
		return Plan{}, errPlan
	}
	return p, nil
}
