package core

import (
	"math"
	"strconv"
	"testing"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/fleet/sites"
	"spokegw/internal/fleet/weights"
	"spokegw/internal/learnt"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// measuring is a service with two endpoints in each of two zones.
func measuring(t testing.TB) (*Core, *Service) {
	c, s := alone(t)
	s.EnableMeasurement()
	var list []discovery.Entry
	for i, zone := range []string{"a", "a", "b", "b"} {
		list = append(list, discovery.Entry{ID: "s-" + strconv.Itoa(i), Addr: "127.0.0.1:1", Kind: "std", Zone: zone, State: "active", Weight: 1})
	}
	s.UpdateEndpoints(list, true)
	return c, s
}

// What attempts come to is told once, by endpoint and class, what is called off as overtaken
// only where a later attempt answered; and what nobody asks for takes bounded room.
func TestMeasured(t *testing.T) {
	c, s := measuring(t)
	call := &call{exchange: open(t, c, "1"), by: 1}
	s.mu.Lock()
	to := s.endpoints.byName["s-1"].ID
	for n, r := range []policy.Result{policy.Cancelled, policy.Served, policy.Cancelled, policy.NoAnswer, policy.Errored, policy.NoConnection, policy.Declined, policy.NotSent} {
		s.measure(call, &attempt{n: n, endpoint: to}, upstream.Answer{Result: r, Elapsed: time.Second})
	}
	s.mu.Unlock()
	for range 2 {
		for _, sums := range s.TakeObservations() {
			if sums.ID == weights.AdmissionID("") {
				continue
			}
			if len(sums.Cells) != 1 || sums.Cells[0].Served != 1 || sums.Superseded != 1 || sums.TimedOut != 1 || sums.Errors != 2 || sums.Unreached != 1 || sums.Declined != 1 || sums.LostTime != 3e6 {
				if sums.LostTime > 0 {
					t.Errorf("%+v", sums)
				}
			}
		}
	}
	for i := range 3 * weights.MaxEndpoints {
		s.UpdateEndpoints([]discovery.Entry{{ID: "n-" + strconv.Itoa(i), Addr: "127.0.0.1:1", Kind: "std", State: "active"}}, false)
		s.mu.Lock()
		s.measure(call, &attempt{endpoint: s.endpoints.byName["n-"+strconv.Itoa(i)].ID}, upstream.Answer{Result: policy.Errored})
		held := len(s.measured.sums)
		s.mu.Unlock()
		if held > weights.MaxEndpoints {
			t.Fatalf("%d endpoints' sums are held", held)
		}
	}
}

// Factors are the sizes that the module draws by, also after a list, until there are none.
func TestFactorsInForce(t *testing.T) {
	_, s := measuring(t)
	speeds := func() float64 { // of the kind, once the module has drawn
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastID++
		s.balancer.Request(s.now(), policy.Request{ID: s.lastID, TimeLeft: time.Second})
		for _, st := range learnt.EndpointStatuses(s.now(), s.balancer) {
			return st.Speed
		}
		return 0
	}
	s.mu.Lock()
	factors := map[weights.ID]float64{}
	for _, e := range s.endpoints.byName {
		factors[s.weightID(e)] = 4
	}
	s.mu.Unlock()
	s.SetFactors(factors)
	if x := speeds(); math.Abs(x-4) > 1e-9 {
		t.Errorf("speed %v with factors of 4", x)
	}
	s.UpdateEndpoints(s.DiscoveryEntries(), true)
	if x := speeds(); math.Abs(x-4) > 1e-9 {
		t.Errorf("speed %v after another list", x)
	}
	s.SetFactors(nil)
	if x := speeds(); x != 1 {
		t.Errorf("speed %v with no factors", x)
	}
}

// lostPlan is one in which a site is lost and half of a class is let in.
func lostPlan(now time.Duration, site string, admit float64) *sites.Enforcer {
	d := sites.NewEnforcer("g", "elsewhere", 1000) // of which few look
	h := sites.Plan{RetryAfter: 4 * time.Second, Sites: []sites.SitePlan{{Site: sites.Hash(site), State: sites.Lost}}}
	if admit < 1 {
		h.Admit = []sites.Admission{{Group: sites.Group{Class: uint16(weights.NewClass("", "tile"))}, Fraction: admit}}
	}
	d.Apply(now, h, nil)
	return d
}

// An endpoint of a lost site gets nothing new, whatever list comes meanwhile, and is met
// again with the site; nobody is let in whom the plan has no room for, and each is told
// when to come back.
func TestSiteInForce(t *testing.T) {
	c, s := measuring(t)
	usable := func() (n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastID++
		s.balancer.Request(s.now(), policy.Request{ID: s.lastID, TimeLeft: time.Second})
		for _, st := range learnt.EndpointStatuses(s.now(), s.balancer) {
			if st.SelectionWeight > 0 {
				n++
			}
		}
		return n
	}
	if n := usable(); n != 4 {
		t.Fatalf("%d of 4 are met", n)
	}
	s.SetSiteAdmission(lostPlan(time.Second, "b", 1))
	if n := usable(); n != 2 {
		t.Errorf("%d are met while a site of two is lost", n)
	}
	s.UpdateEndpoints(s.DiscoveryEntries(), true)
	if n := usable(); n != 2 {
		t.Errorf("%d are met after another list", n)
	}
	s.SetSiteAdmission(nil)
	if n := usable(); n != 4 {
		t.Errorf("%d are met when it is whole", n)
	}
	s.SetSiteAdmission(lostPlan(time.Second, "b", 0))
	_, refused := c.Open(&Head{Method: "GET", Target: "/tile/1", Host: "b", Header: map[string][]string{"Req-Id": {"1"}, "Req-Deadline": {"30m"}}})
	if refused == nil || refused.Status != 503 || refused.RetryAfter < 2*time.Second || refused.RetryAfter > 6*time.Second {
		t.Errorf("%+v", refused)
	}
	if seen := s.TakeObservations(); len(seen) != 1 || seen[0].Cells[0].Served != 1 {
		t.Errorf("what is refused is not counted as asked for: %+v", seen)
	}
}

// BenchmarkMeasure is what an attempt's end costs more where the fleet has weights, and
// BenchmarkDoor a request at the door of a plan.
func BenchmarkMeasure(b *testing.B) {
	c, s := measuring(b)
	call := &call{exchange: open(b, c, "1")}
	a := &attempt{endpoint: s.endpoints.byName["s-1"].ID}
	b.ReportAllocs()
	for b.Loop() {
		s.measure(call, a, upstream.Answer{Result: policy.Served, Elapsed: time.Millisecond})
	}
}

func BenchmarkDoor(b *testing.B) {
	c, s := measuring(b)
	x := open(b, c, "1")
	s.SetSiteAdmission(lostPlan(time.Second, "b", 0.999999))
	b.ReportAllocs()
	for b.Loop() {
		s.letIn(x)
	}
}
