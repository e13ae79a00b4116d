package sites

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// Plan is what all members do about sites. The zero value is none: all sites are whole.
type Plan struct {
	Sites []SitePlan
	Admit []Admission // what is not there is let in whole
	// RetryAfter is how long a client that is refused had better stay away.
	RetryAfter time.Duration
}

// SitePlan is where one site stands.
type SitePlan struct {
	Site     uint32 // by hash
	State    State
	Fraction float64 // of the fleet that meets it
	// Factor is by which gateways of each site, by hash, weigh the site's endpoints.
	Factor map[uint32]float64
}

// Admission is the part of a group that is let in.
type Admission struct {
	Group
	Fraction float64
}

// Site is what a planner is told of one.
type Site struct {
	Name     string
	Ready    int     // endpoints
	Capacity float64 // work a second, now
	Cold     bool    // some of its endpoints are, and it will have more
}

const (
	leastTurn, mostTurn = 0.5, 2.0 // bounds of a plan's factors
	admitRises          = 0.1      // by which more is let in, in a period, at most
	admitStill          = 0.05     // a part that changes by less stays
	leastReturn         = 2 * time.Second
	flowKeeps           = 0.8 // of flows, after a period
)

// Planner makes plans. It is the holder's.
type Planner struct {
	set   Settings
	judge *Detector
	home  map[string]string
	far   func(from, to string) float64
	flow  map[[2]string]float64 // work a second from gateways' sites to endpoints' sites, fading
	asked map[Group]*Demand     // in this period
	admit map[Group]float64
}

// NewPlanner goes on from the plan that was in force. home are the sites of gateways, far how
// far two sites are apart, in any unit.
func NewPlanner(now time.Duration, set Settings, home map[string]string, far func(from, to string) float64, before Plan) *Planner {
	states := map[string]State{}
	for _, name := range home {
		for _, s := range before.Sites {
			if s.Site == Hash(name) {
				states[name] = s.State
			}
		}
	}
	p := &Planner{set: set, judge: NewDetector(now, home, states), home: home, far: far, flow: map[[2]string]float64{}, asked: map[Group]*Demand{}, admit: map[Group]float64{}}
	for _, a := range before.Admit {
		p.admit[a.Group] = a.Fraction
	}
	return p
}

// SetHome takes other gateways' sites.
func (p *Planner) SetHome(home map[string]string) { p.home, p.judge.home = home, home }

// Observe takes what a gateway saw of an endpoint in a period: attempts served, those with no
// answer or connection, and the work that was done.
func (p *Planner) Observe(gateway, site string, endpoint uint64, served, missed, work float64) {
	p.judge.Observe(gateway, site, endpoint, served, missed)
	from, known := p.home[gateway]
	at := [2]string{from, site}
	if _, flows := p.flow[at]; known && (flows || len(p.flow) < MaxSites*MaxSites) {
		p.flow[at] += work * (1 - flowKeeps)
	}
}

// AddDemand takes what came to some gateway's door of a group, in a period of a second.
func (p *Planner) AddDemand(g Group, requests, work, worth float64) {
	d := p.asked[g]
	if d == nil {
		if len(p.asked) >= MaxGroups {
			return
		}
		d = &Demand{Group: g}
		p.asked[g] = d
	}
	d.Worth = (d.Worth*d.Work + worth*work) / math.Max(d.Work+work, 1e-12)
	d.MeanWork += requests
	d.Work += work
}

// Next makes the next plan, and tells what changed.
func (p *Planner) Next(now time.Duration, all []Site) (Plan, []Change) {
	all = all[:min(len(all), MaxSites)]
	ready, cold := map[string]int{}, map[string]bool{}
	for _, s := range all {
		ready[s.Name], cold[s.Name] = s.Ready, s.Cold
	}
	changes := p.judge.Step(now, ready, cold)
	plan := p.plan(now, all)
	for k := range p.flow {
		if p.flow[k] *= flowKeeps; p.flow[k] < 1e-9 {
			delete(p.flow, k)
		}
	}
	clear(p.asked)
	return plan, changes
}

// hurt reports whether any site is not what it was.
func (p *Planner) hurt(all []Site) bool {
	return slices.ContainsFunc(all, func(s Site) bool { return p.judge.State(s.Name) >= Lost })
}

func (p *Planner) plan(now time.Duration, all []Site) (plan Plan) {
	hurt := p.hurt(all)
	rows := p.rows(all)
	for j, s := range all {
		state := p.judge.State(s.Name)
		if state == Healthy && !hurt {
			continue
		}
		standing := SitePlan{Site: Hash(s.Name), State: state, Fraction: p.judge.Fraction(s.Name)}
		for i, from := range all {
			if f := rows[i][j]; hurt && f != 1 {
				if standing.Factor == nil {
					standing.Factor = map[uint32]float64{}
				}
				standing.Factor[Hash(from.Name)] = f
			}
		}
		plan.Sites = append(plan.Sites, standing)
	}
	p.let(all, hurt)
	for _, g := range p.groups() {
		if part := p.admit[g]; part < 1 {
			plan.Admit = append(plan.Admit, Admission{g, part})
		}
	}
	if hurt {
		plan.RetryAfter = leastReturn
		for _, s := range all {
			if w := p.judge.sites[s.Name]; w != nil && w.state == Lost {
				plan.RetryAfter = max(plan.RetryAfter, w.wait-(now-w.since))
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

// room is what may be planned for a site.
func (p *Planner) room(s Site) float64 {
	return p.set.Utilisation * s.Capacity * p.judge.Fraction(s.Name)
}

// let decides what is let in. Demand is what was asked for, so what is refused does not make
// room; more is let in step by step, less at once.
func (p *Planner) let(all []Site, hurt bool) {
	room := 0.0
	for _, s := range all {
		room += p.room(s)
	}
	var demand []Demand
	for _, d := range p.asked {
		x := *d
		x.MeanWork = d.Work / math.Max(d.MeanWork, 1)
		demand = append(demand, x)
	}
	slices.SortFunc(demand, func(a, b Demand) int { return int(a.Class) - int(b.Class) })
	part := map[Group]float64{}
	if hurt {
		part = Admit(demand, room, p.set.Floor)
	}
	for _, d := range demand {
		if _, known := p.admit[d.Group]; !known && len(p.admit) < MaxGroups { // beyond that all is let in
			p.admit[d.Group] = 1
		}
	}
	for g, was := range p.admit {
		to, asked := part[g]
		if !asked {
			to = 1
		}
		switch next := math.Min(to, was+admitRises); {
		case next >= 1 && p.asked[g] == nil:
			delete(p.admit, g)
		case next >= 1, math.Abs(next-was) > admitStill:
			p.admit[g] = next
		}
	}
}

// rows are by which factor gateways of each site weigh each site's endpoints: what went to
// lost sites is placed where there is room, the nearest first, and what stays is as it was.
func (p *Planner) rows(all []Site) Flow {
	n := len(all)
	rows := newFlow(n, n)
	displaced, room := make([]float64, n), make([]float64, n)
	for j, s := range all {
		if p.judge.Fraction(s.Name) == 1 { // what returns is filled by its part alone, and never beyond
			room[j] = p.room(s)
		}
	}
	for i, from := range all {
		for j, to := range all {
			rows[i][j] = 1
			f, part := p.flow[[2]string{from.Name, to.Name}], p.judge.Fraction(to.Name)
			if from.Name == to.Name { // within it is whole, for all that its gateways know
				part = 1
			}
			displaced[i] += f * (1 - part)
			room[j] = math.Max(0, room[j]-f*part)
		}
	}
	placed, _ := Spread(displaced, room, func(i, j int) float64 { return p.far(all[i].Name, all[j].Name) })
	for i, from := range all {
		sum, base := 0.0, 0.0
		for j, to := range all {
			f := p.flow[[2]string{from.Name, to.Name}] * p.judge.Fraction(to.Name)
			base += f
			sum += f + placed[i][j]
		}
		for j, to := range all {
			f := p.flow[[2]string{from.Name, to.Name}] * p.judge.Fraction(to.Name)
			if f > 1e-6*base && sum > 0 && p.judge.Fraction(to.Name) == 1 {
				rows[i][j] = math.Max(leastTurn, math.Min((f+placed[i][j])/f*base/sum, mostTurn))
			}
		}
	}
	return rows
}

// A plan is packed as the time until the return in milliseconds, and how many sites; of each
// its hash, state, part in thousandths and how many factors, and of each of those the hash
// and thousandths; then how many groups, and of each the class, whether it is owed, and the
// part in thousandths.

var errPlan = errors.New("sites: a plan that can't be meant")

// MaxPacked bounds a packed plan: 16 sites that are lost one to another need less.
const MaxPacked = 4096

// Append appends a plan's bytes.
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

// reader reads what was packed; once something is wrong, all is.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) next(n int) []byte {
	if len(r.b) < n {
		r.b, r.bad = nil, true
		return make([]byte, n)
	}
	x := r.b[:n]
	r.b = r.b[n:]
	return x
}

func (r *reader) byte(most int) int {
	x := int(r.next(1)[0])
	r.bad = r.bad || x > most
	return min(x, most)
}

func (r *reader) part(most float64) float64 {
	x := float64(binary.BigEndian.Uint16(r.next(2))) / 1000
	r.bad = r.bad || x > most
	return math.Min(x, most)
}

func (r *reader) hash() uint32 { return binary.BigEndian.Uint32(r.next(4)) }

// Parse reads a plan. Everything in it is bounded, and the whole is refused where anything
// is out of its bounds.
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
		s := SitePlan{Site: r.hash(), State: State(r.byte(int(Returning))), Fraction: r.part(1)}
		for range r.byte(MaxSites) {
			if s.Factor == nil {
				s.Factor = map[uint32]float64{}
			}
			from := r.hash()
			s.Factor[from] = r.part(mostTurn)
		}
		p.Sites = append(p.Sites, s)
	}
	for range r.byte(MaxGroups) {
		g := Group{Class: binary.BigEndian.Uint16(r.next(2)), Guaranteed: r.byte(1) == 1}
		p.Admit = append(p.Admit, Admission{g, r.part(1)})
	}
	if r.bad || len(r.b) > 0 {
		return Plan{}, errPlan
	}
	return p, nil
}
