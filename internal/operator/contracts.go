package operator

import (
	"math"
	"slices"

	"spokegw/internal/broker"
)

// Team is one team's contract.
type Team struct {
	Name  string
	Share float64
	Allow []Allow

	key string
}

// Allow are calls that a team may make, with limits over all of them together.
type Allow struct {
	Service string
	Classes []string // empty: all
	Rate    float64  // requests a second; 0: no limit
	Burst   float64
	Work    float64 // seconds of endpoint work a second; 0: no limit
	Shared  bool    // the limits are the whole fleet's

	key string
}

// Strangers are the terms of those without a contract.
type Strangers struct {
	Share       float64
	Rate, Burst float64 // over all of them and all classes of a service
}

func readTeam(t *table) Team {
	team := Team{key: t.key, Name: name(t), Share: t.number("share", 0, 0, 1)}
	for _, a := range t.tables("allow", maxCalls) {
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
		key: t.key, Service: t.text("service", ""), Classes: t.texts("classes", broker.MaxClasses),
		Rate: t.number("rate", 0, 0.001, 1e6), Work: t.number("work", 0, 0.0001, 1e6),
	}
	a.Burst = t.number("burst", math.Max(1, a.Rate), 1, 1e7) // a second's worth
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

func readStrangers(t *table) *Strangers {
	if t == nil {
		return nil
	}
	action := t.oneOf("action", "refuse", "refuse", "share")
	s := &Strangers{Share: t.number("share", 0.01, 0, 1), Rate: t.number("rate", 0, 0.001, 1e6)}
	s.Burst = t.number("burst", math.Max(1, s.Rate), 1, 1e7)
	t.end()
	if action == "refuse" {
		if given, ok := t.values["action"]; ok && given != "refuse" {
			return nil // that is a fault already
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

// Terms are the contracts with one service, whose classes are in this order.
// The file has been checked.
func (f *File) Terms(service string, classes []string) broker.Terms {
	t := broker.Terms{Classes: len(classes)}
	for i := range f.Teams {
		c := broker.Contract{Team: f.Teams[i].Name, Share: f.Teams[i].Share}
		for _, a := range f.Teams[i].Allow {
			if a.Service == service {
				c.Calls = append(c.Calls, broker.CallLimits{Classes: a.set(classes), Rate: a.Rate, Burst: a.Burst, Work: a.Work, Shared: a.Shared})
			}
		}
		if len(c.Calls) > 0 {
			t.Contracts = append(t.Contracts, c)
		} else {
			t.Contracts = append(t.Contracts, broker.Contract{Team: c.Team}) // known, with no call here: no stranger
		}
	}
	if s := f.Strangers; s != nil {
		t.Uncontracted = &broker.Contract{Share: s.Share, Calls: []broker.CallLimits{{Classes: broker.AllClasses, Rate: s.Rate, Burst: s.Burst}}}
	}
	return t
}

func (a *Allow) set(classes []string) (set broker.Classes) {
	if len(a.Classes) == 0 {
		return broker.AllClasses
	}
	for i, c := range classes {
		if slices.Contains(a.Classes, c) && i < broker.MaxClasses {
			set |= 1 << i
		}
	}
	return set
}
