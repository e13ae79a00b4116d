package moves_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spokegw/internal/discovery"
	"spokegw/internal/lab/pools"
	"spokegw/internal/moves"
)

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestMoves(t *testing.T) {
	onNew := func(p *pools.Play, s *moves.AttemptResult) bool { return s.New }
	never := func(p *pools.Play, s *moves.AttemptResult) bool { return false }
	surge := func(second int) float64 {
		if second > 60 && second < 120 {
			return 1.5
		}
		return 1
	}
	for name, c := range map[string]struct {
		pools.Course
		undone bool
		harmed float64 // maximum fraction of all requests; 0: not checked
	}{
		"a good pool":          {pools.Course{Bad: pools.Failing(0, never)}, false, 0},
		"a fault of 20%":       {pools.Course{Bad: pools.Failing(0.2, onNew)}, true, 0.01},
		"a fault of 5%":        {pools.Course{Bad: pools.Failing(0.05, onNew)}, true, 0.01},
		"declined":             {pools.Course{Bad: func(p *pools.Play, s *moves.AttemptResult) { s.Declined = s.New && p.Rand.Float64() < 0.3 }}, true, 0.01},
		"2% of one class":      {pools.Course{Bad: pools.Failing(0.02, func(p *pools.Play, s *moves.AttemptResult) bool { return s.New && s.Class == 1 })}, true, 0.01},
		"above a share of 40%": {pools.Course{Bad: pools.Failing(0.1, func(p *pools.Play, s *moves.AttemptResult) bool { return s.New && p.Share() > 0.4 })}, true, 0.02},
		"while watching":       {pools.Course{Bad: pools.Failing(0.1, func(p *pools.Play, s *moves.AttemptResult) bool { return s.New && p.Progress().Phase == moves.Watching })}, true, 0},
		"every 10 seconds":     {pools.Course{Bad: pools.Failing(0.1, func(p *pools.Play, s *moves.AttemptResult) bool { return s.New && p.Second/10%2 == 1 })}, true, 0.01},
		"permanently slow": {pools.Course{Slower: func(p *pools.Play, s *moves.AttemptResult) float64 {
			if s.New {
				return 1.3
			}
			return 1
		}}, true, 0},
		"slow while cold": {pools.Course{Slower: func(p *pools.Play, s *moves.AttemptResult) float64 {
			if s.New {
				return 1 + 3*math.Exp(-(p.Now-p.Met).Seconds()/10)
			}
			return 1
		}}, false, 0},
		"slow for longer, and improving": {pools.Course{Slower: func(p *pools.Play, s *moves.AttemptResult) float64 {
			if s.New && p.Now-p.Met < 90*time.Second {
				return 2 - (p.Now-p.Met).Seconds()/90
			}
			return 1
		}}, false, 0},
		"a surge that slows both": {pools.Course{Load: surge, Slower: func(p *pools.Play, s *moves.AttemptResult) float64 { return surge(p.Second) * surge(p.Second) }}, false, 0},
		"a fault of both pools":   {pools.Course{Bad: pools.Failing(0.2, func(p *pools.Play, s *moves.AttemptResult) bool { return p.Second > 70 && p.Second < 100 })}, false, 0},
		"one endpoint of five":    {pools.Course{Bad: pools.Failing(0.3, func(p *pools.Play, s *moves.AttemptResult) bool { return s.Endpoint == 7 })}, false, 0},
		"several faults, each within its bound": {pools.Course{Bad: func(p *pools.Play, s *moves.AttemptResult) {
			if s.New {
				x := p.Rand.Float64()
				s.Failed, s.Declined = x < 0.0045, x > 0.985
			}
		}}, true, 0.03},
		"two endpoints of five": {pools.Course{Bad: pools.Failing(0.3, func(p *pools.Play, s *moves.AttemptResult) bool { return s.Endpoint == 7 || s.Endpoint == 8 })}, true, 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				c.Seed, c.Rate, c.Seconds = seed, 300, 7200
				p := c.Run()
				if c.undone && p.UndoneAt < 0 || !c.undone && p.DoneAt < 0 {
					t.Errorf("seed %d: undone at %d s, done at %d s\n%v\n%+v", seed, p.UndoneAt, p.DoneAt, p.Log, p.Progress())
				}
				if harmed := float64(p.Harmed) / float64(p.Asked); c.harmed > 0 && harmed > c.harmed {
					t.Errorf("seed %d: %.2f%% of all requests were harmed in %d s\n%v", seed, 100*harmed, p.UndoneAt, p.Log)
				}
			}
		})
	}
}

// With one request a minute a move waits and reports for what; with ten thousand a second
// it proceeds at the pace of its steps.
func TestRates(t *testing.T) {
	p := pools.Course{Rate: 1.0 / 60, Seconds: 7200}.Run()
	if c := p.Progress(); c.Phase != moves.Moving || c.Step != 0 || c.WaitingFor == "" {
		t.Errorf("%+v", c)
	}
	p = pools.Course{Rate: 10_000, Seconds: 400}.Run()
	if p.DoneAt < 0 || p.DoneAt > 320 {
		t.Errorf("done at %d s; %v", p.DoneAt, p.Log)
	}
}

// A smaller new pool gets what it has capacity for, and the move waits. A new pool
// without ready endpoints halts the move, and so does an old pool that loses half of its
// own; the move resumes afterwards.
func TestCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		at   func(p *pools.Play)
		most float64 // final share
		done bool
	}{
		"a fifth of the endpoints": {func(p *pools.Play) {
			for i := 6; i < 10; i++ {
				p.Members[i].Ready = false
			}
		}, 0.4, false},
		"cold endpoints": {func(p *pools.Play) {
			for i := 5; i < 10; i++ {
				p.Members[i].Warmth = 0.2
			}
		}, 0.2, false},
		"new pool unavailable for a while": {func(p *pools.Play) {
			for i := 5; i < 10; i++ {
				p.Members[i].Ready = p.Second < 40 || p.Second > 80
			}
		}, 1, true},
		"half of the old pool unavailable for a while": {func(p *pools.Play) {
			for i := range 3 {
				p.Members[i].Ready = p.Second < 40 || p.Second > 80
			}
		}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := pools.Course{Rate: 300, Seconds: 3600, Each: c.at}.Run()
			if p.Share() != c.most || (p.DoneAt >= 0) != c.done {
				t.Errorf("share %v, done at %d s; %v\n%+v", p.Share(), p.DoneAt, p.Log, p.Progress())
			}
		})
	}
}

// A step waits while the new pool has as many attempts in flight as allowed, and reports
// that.
func TestConnections(t *testing.T) {
	config := pools.Config()
	config.Connections = 4
	p := pools.Course{Config: config, Rate: 300, Seconds: 1200, Each: func(p *pools.Play) {
		for i := pools.Size; i < 2*pools.Size; i++ {
			p.Members[i].InFlight = 10 * p.Share() // 5 at a share of 0.5
		}
	}}.Run()
	if c := p.Progress(); p.Share() != 0.5 || c.Phase != moves.Moving || !strings.Contains(c.WaitingFor, "capacity for only 50%") {
		t.Errorf("share %v; %+v", p.Share(), c)
	}
}

// An undo is limited by the capacity of the old pool, and completes when that is back.
// The move does not start again by itself.
func TestUndoWithLittleCapacity(t *testing.T) {
	var shares []float64
	config := pools.Config()
	config.Steps, config.Watch = []float64{0.5, 1}, time.Hour
	p := pools.Course{Config: config, Rate: 300, Seconds: 900, Each: func(p *pools.Play) {
		if p.Second == 400 {
			if err := p.Undo(p.Now, "requested by the test"); err != nil {
				t.Error(err)
			}
		}
		for i := range 4 { // one of five is left, which can take the load of two
			p.Members[i].Ready = p.Second < 390 || p.Second > 450
		}
		if p.Second > 400 {
			shares = append(shares, p.Share())
		}
	}}.Run()
	if shares[0] != 0.6 || p.UndoneAt < 450 || p.Share() != 0 {
		t.Errorf("shares %v, undone at %d s", shares[:2], p.UndoneAt)
	}
	if p.Begin(p.Now) == nil {
		t.Error("an undone move was started again")
	}
}

// Neither a process stall nor a restart in the middle of a move advances it.
func TestStallAndRestart(t *testing.T) {
	m := moves.New(0, pools.Config())
	members := []moves.Member{{ID: 1, From: true, Ready: true, Warmth: 1}, {ID: 2, To: true, Ready: true, Warmth: 1}}
	m.Conditions(members)
	m.Tick(time.Second, nil)
	for s := 2; s < 20; s++ {
		m.Tick(time.Duration(s)*time.Second, nil)
	}
	share, step := m.Share(), m.Progress().Step
	m.Tick(time.Hour, nil)
	m.Tick(time.Hour+time.Second, nil)
	if m.Share() != share || m.Progress().Step != step {
		t.Errorf("after a stall the share is %v", m.Share())
	}
	r := m.Record()
	next := moves.New(time.Minute, pools.Config())
	if !next.Restore(time.Minute, r) || next.Share() != share || next.Progress().Phase != moves.Moving {
		t.Errorf("%+v", next.Progress())
	}
	for name, modify := range map[string]func(*moves.Record){
		"a share over 1": func(r *moves.Record) { r.Share = 1.5 }, "NaN share": func(r *moves.Record) { r.Share = math.NaN() }, "another pool": func(r *moves.Record) { r.To.Kind = "c" },
		"undone with a share": func(r *moves.Record) { r.Phase = moves.Undone }, "unknown phase": func(r *moves.Record) { r.Phase = "x" }, "a long reason": func(r *moves.Record) { r.Why = string(make([]byte, 1000)) },
	} {
		bad := r
		modify(&bad)
		if fresh := moves.New(0, pools.Config()); fresh.Restore(0, bad) || fresh.Share() != 0 || fresh.Progress().Phase != moves.Waiting {
			t.Errorf("invalid record accepted (%s): %+v", name, fresh.Progress())
		}
	}
}

// Retired moves are undone before they are dropped.
func TestRetire(t *testing.T) {
	p := pools.Course{Rate: 300, Seconds: 100}.Run()
	p.Retire()
	if p.Removable() {
		t.Error("removable at a share of ", p.Share())
	}
	for s := 1; s < 4; s++ {
		p.Tick(p.Now+time.Duration(s)*time.Second, nil)
	}
	if !p.Removable() || p.Share() != 0 {
		t.Errorf("%+v", p.Progress())
	}
}

// The share of keys routed to the new pool is as configured; masks allow one pool of each
// move, and the mask of an endpoint that was used allows it.
func TestPlaces(t *testing.T) {
	const n = 20_000
	salt := moves.Salt("new")
	routed := 0
	for k := range uint64(n) {
		routed += boolToInt(moves.Position(k, salt) < 0.25)
	}
	if math.Abs(float64(routed)/n-0.25) > 0.02 {
		t.Errorf("%d of %d keys are routed to the new pool at a share of 0.25", routed, n)
	}
	rapid.Check(t, func(rt *rapid.T) {
		position := moves.Position(rapid.Uint64().Draw(rt, "key"), rapid.Uint64().Draw(rt, "salt"))
		if position < 0 || position >= 1 {
			rt.Errorf("position %v is outside [0, 1)", position)
		}
		pools := moves.Pools{From: rapid.Uint8().Draw(rt, "from"), To: rapid.Uint8().Draw(rt, "to")}
		pools.To &^= pools.From
		mask := moves.Mask(rapid.Uint8().Draw(rt, "mask"))
		want := true
		for i := range 8 {
			bit := uint8(1) << i
			isNew := uint8(mask)&bit != 0
			want = want && !(isNew && pools.From&bit != 0) && !(!isNew && pools.To&bit != 0)
		}
		if !mask.WithEndpoint(pools).Allows(pools) {
			rt.Errorf("mask %b of a request to pools %+v does not allow them", mask, pools)
		}
		if mask.Allows(pools) != want {
			rt.Errorf("mask %b, pools %+v: %v", mask, pools, !want)
		}
	})
}

// A key changes pools at most once during a move, and not at a restart.
func TestKeysMoveOnce(t *testing.T) {
	changes, was := map[uint64]int{}, map[uint64]bool{}
	p := pools.Course{Rate: 400, Seconds: 3600, Each: func(p *pools.Play) {
		for k := range uint64(500) {
			if is := p.RoutesToNew(k * 0x9e3779b97f4a7c15); is != was[k] {
				changes[k]++
				was[k] = is
			}
		}
		if next := moves.New(p.Now, pools.Config()); p.Second%60 == 59 {
			if next.Restore(p.Now, p.Record()); next.RoutesToNew(7) != p.RoutesToNew(7) {
				t.Fatal("a restored move routes the key to another pool")
			}
		}
	}}.Run()
	for k, n := range changes {
		if n != 1 {
			t.Errorf("key %d changed pools %d times", k, n)
		}
	}
	if len(changes) != 500 || p.DoneAt < 0 {
		t.Errorf("%d keys changed pools; done at %d s", len(changes), p.DoneAt)
	}
}

func TestSelectors(t *testing.T) {
	e := discovery.Entry{ID: "maps-12", Kind: "std", Zone: "z1", Cell: 3, Labels: discovery.Labels{"v": "2"}}
	for _, c := range []struct {
		s    moves.Selector
		fits bool
	}{
		{moves.Any(), true}, {moves.Selector{Kind: "std", Pod: -1}, true}, {moves.Selector{Kind: "std", Zone: "z2", Pod: -1}, false},
		{moves.Selector{IDPrefix: "maps-1", Pod: 3}, true}, {moves.Selector{IDPrefix: "maps-123", Pod: -1}, false}, {moves.Selector{Pod: 0}, false},
		{moves.Selector{Label: "v=2", Pod: -1}, true}, {moves.Selector{Label: "v=3", Pod: -1}, false}, {moves.Selector{Label: "w=", Pod: -1}, true},
	} {
		if c.s.Matches(&e) != c.fits {
			t.Errorf("%s: %v", c.s.String(), !c.fits)
		}
	}
}

// Good moves complete although both pools have some faults: one in a hundred may be
// undone over its whole run. bench/moves runs thousands.
func TestFalseAlarms(t *testing.T) {
	undone := 0
	const courses = 6
	for seed := range uint64(courses) {
		c := pools.Course{Seed: seed + 100, Rate: 120, Seconds: 3600, Bad: func(p *pools.Play, s *moves.AttemptResult) { s.Failed = p.Rand.Float64() < 0.004 }}
		if p := c.Run(); p.UndoneAt >= 0 {
			undone++
			t.Log(p.Log)
		}
	}
	if undone > 0 {
		t.Errorf("%d of %d good moves were undone", undone, courses)
	}
}
