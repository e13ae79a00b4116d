package operator

import (
	"math"
	"slices"

	"spokegw/internal/broker"
)

type Team struct {
	Name  string
	Share float64
	Allow []Allow

	key string
}

// Allow is a set of requests that a team may send, with limits on their total.
type Allow struct {
	Service string
	Classes []string // empty: all
	Rate    float64  // requests per second; 0: no limit
	Burst   float64
	Work    float64 // endpoint seconds per second; 0: no limit
	Shared  bool    // the limits apply to the whole fleet

	key string
}

// Strangers are the common terms of all teams without a contract.
type Strangers struct {
	Share       float64
	Rate, Burst float64 // for all of these teams together, per service and over all its classes
}

func readTeam(t *table) Team {
	team := Team{key: t.key, Name: readName(t), Share: t.number("share", 0, 0, 1)}
	for _, a := range t.tables("allow", maxAllows) {
		team.Allow = append(team.Allow, readAllow(a))
	}
	if len(team.Allow) == 0 {
		t.r.fault(t.key, "at least one [[team.allow]] is expected")
	}
	t.end()
	return team
}

func readAllow(t *table) Allow {
	a := Allow{
		key: t.key, Service: t.str("service", ""), Classes: t.stringList("classes", broker.MaxClasses),
		Rate: t.number("rate", 0, 0.001, 1e6), Work: t.number("work", 0, 0.0001, 1e6),
	}
	a.Burst = t.number("burst", math.Max(1, a.Rate), 1, 1e7) // the default is one second's worth
	if t.has("burst") && !t.has("rate") {
		t.fault("burst", "a burst is expected with a rate only")
	}
	if a.Shared = t.oneOf("quota", "process", "process", "fleet") == "fleet"; a.Shared && !t.has("rate") && !t.has("work") {
		t.fault("quota", "a rate or work is expected beside it, which the fleet shares")
	}
	if a.Service == "" {
		t.fault("service", "the name of a service is expected")
	}
	if t.has("classes") && len(a.Classes) == 0 {
		t.fault("classes", "at least one class is expected; without the key all are meant")
	}
	t.end()
	return a
}

func readNoContract(t *table) *Strangers {
	if t == nil {
		return nil
	}
	action := t.oneOf("action", "refuse", "refuse", "share")
	s := &Strangers{Share: t.number("share", 0.01, 0, 1), Rate: t.number("rate", 0, 0.001, 1e6)}
	s.Burst = t.number("burst", math.Max(1, s.Rate), 1, 1e7)
	t.end()
	if action == "refuse" {
		if value, ok := t.values["action"]; ok && value != "refuse" {
			return nil // already reported as a fault
		}
		for _, k := range []string{"share", "rate", "burst"} {
			if t.has(k) {
				t.fault(k, `%s is expected with action = "share" only`, k)
			}
		}
		return nil
	}
	return s
}

// Terms returns the contracts for one service with the given classes, in their order. The file must
// have been checked.
func (f *File) Terms(service string, classes []string) broker.Terms {
	t := broker.Terms{Classes: len(classes)}
	for i := range f.Teams {
		c := broker.Contract{Team: f.Teams[i].Name, Share: f.Teams[i].Share}
		for _, a := range f.Teams[i].Allow {
			if a.Service == service {
				c.Calls = append(c.Calls, broker.CallLimits{Classes: a.classSet(classes), Rate: a.Rate, Burst: a.Burst, Work: a.Work, Shared: a.Shared})
			}
		}
		if len(c.Calls) > 0 {
			t.Contracts = append(t.Contracts, c)
		} else {
			t.Contracts = append(t.Contracts, broker.Contract{Team: c.Team}) // no calls here, but still a team with a contract
		}
	}
	if s := f.Strangers; s != nil {
		t.Uncontracted = &broker.Contract{Share: s.Share, Calls: []broker.CallLimits{{Classes: broker.AllClasses, Rate: s.Rate, Burst: s.Burst}}}
	}
	return t
}

func (a *Allow) classSet(classes []string) (bits broker.Classes) {
	if len(a.Classes) == 0 {
		return broker.AllClasses
	}
	for i, c := range classes {
		if slices.Contains(a.Classes, c) && i < broker.MaxClasses {
			bits |= 1 << i
		}
	}
	return bits
}
