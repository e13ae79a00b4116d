package operator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"spokegw/internal/moves"
	"spokegw/internal/moves/judge"
)

const (
	maxMoves      = 32 // per file; moves.MaxMoves bounds those of one service
	maxSteps      = 32
	maxMoveGuards = 64
)

// Move shifts a service's requests from one pool of its endpoints to another.
type Move struct {
	Service string
	moves.Config
	Guards []MoveGuard // the first one that names a class, or all classes, applies to it

	key string
}

// MoveGuard sets the limits for some classes.
type MoveGuard struct {
	Classes []string // empty: all
	moves.Guards

	key string
}

// GuardsOf returns the limits for a class.
func (m *Move) GuardsOf(class string) moves.Guards {
	for _, g := range m.Guards {
		if len(g.Classes) == 0 || slices.Contains(g.Classes, class) {
			return g.Guards
		}
	}
	return defaultGuards
}

// defaultGuards apply to a class that no guard of a move names.
var defaultGuards = moves.Guards{
	moves.Failed:   {Bound: 0.005, Margin: 1.5},
	moves.Late:     {Bound: 0.02, Margin: 1.5},
	moves.Declined: {Bound: 0.02, Margin: 1.5},
	moves.Slow:     {Margin: 1.15},
}

func readMove(t *table) Move {
	m := Move{key: t.key, Service: t.str("service", "")}
	m.Name = readName(t)
	m.Steps = t.percentages("steps", []string{"1%", "5%", "25%", "50%", "100%"})
	m.StepTime = t.duration("step-time", time.Minute, time.Second, 24*time.Hour)
	m.StepRequests = int(t.number("step-requests", 100, 1, 1e9))
	m.Watch = t.duration("watch", 10*time.Minute, 0, 7*24*time.Hour)
	m.Auto = t.oneOf("begin", "operator", "operator", "itself") == "itself"
	m.Warming = t.duration("warming", 30*time.Second, 0, time.Hour)
	m.Headroom = t.number("headroom", 2, 1, 100)
	m.Connections = t.number("connections", 0, 1, 1e6)
	m.WorthGuard = judge.Guard{Bound: t.number("worth-lost", 0.01, 0.00001, 0.45), Margin: t.number("worth-lost-margin", 1.5, 1, 100)}
	m.From, m.To = readSelector(t, "from"), readSelector(t, "to")
	for _, g := range t.tables("guard", maxMoveGuards) {
		m.Guards = append(m.Guards, readMoveGuard(g))
	}
	t.end()
	if m.Service == "" {
		t.fault("service", "the name of a service is expected")
	}
	if m.From == m.To {
		t.r.fault(t.key, "from and to pick the same endpoints, %s; two pools are expected", m.From.String())
	}
	return m
}

// percentages reads a list of increasing percentages, such as "25%", as fractions.
func (t *table) percentages(key string, fallback []string) (fractions []float64) {
	texts := fallback
	if t.has(key) {
		texts = t.stringList(key, maxSteps)
	}
	for _, text := range texts {
		number, isPercentage := strings.CutSuffix(text, "%")
		x, err := strconv.ParseFloat(number, 64)
		if x /= 100; err != nil || !isPercentage || !(x > 0 && x <= 1) || len(fractions) > 0 && x <= fractions[len(fractions)-1] {
			t.fault(key, `rising parts such as "1%%", "25%%", "100%%" are expected, not %.20q`, text)
			return []float64{1}
		}
		fractions = append(fractions, x)
	}
	if len(fractions) == 0 {
		t.fault(key, "at least one step is expected")
		return []float64{1}
	}
	return fractions
}

func readSelector(t *table, key string) moves.Selector {
	s := moves.Any()
	st := t.table(key)
	if st == nil {
		t.r.fault(t.key, "%s is missing: [move.%s] with kind, zone, id-prefix, label or pod is expected", key, key)
		return s
	}
	s.Kind, s.Zone, s.IDPrefix = st.str("kind", ""), st.str("zone", ""), st.str("id-prefix", "")
	if s.Label = st.str("label", ""); s.Label != "" && !strings.Contains(s.Label, "=") {
		st.fault("label", "name=value is expected, not %.60q", s.Label)
	}
	s.Pod = int(st.number("pod", -1, 0, 1<<31))
	st.end()
	if s == moves.Any() {
		t.fault(key, "kind, zone, id-prefix, label or pod is expected: this picks every endpoint")
	}
	return s
}

func readMoveGuard(t *table) MoveGuard {
	g := MoveGuard{key: t.key, Classes: t.stringList("classes", 64), Guards: defaultGuards}
	for _, k := range []struct {
		kind moves.FaultKind
		key  string
	}{{moves.Failed, "failed"}, {moves.Late, "late"}, {moves.Declined, "turned-away"}} {
		d := defaultGuards[k.kind]
		g.Guards[k.kind] = judge.Guard{Bound: t.number(k.key, d.Bound, 0.00001, 0.45), Margin: t.number(k.key+"-margin", d.Margin, 1, 100)}
	}
	g.Guards[moves.Slow].Margin = t.number("slow", defaultGuards[moves.Slow].Margin, 1, 100)
	if !get(t, "judge-slow", "true or false", true) {
		g.Guards[moves.Slow] = judge.Guard{}
	}
	t.end()
	return g
}

// checkMoves checks the moves for consistency with one another and with the services.
func (f *File) checkMoves() {
	r := f.reader
	names, perService := map[string]bool{}, map[string]int{}
	for i := range f.Moves {
		m := &f.Moves[i]
		if names[m.Name] {
			r.fault(m.key+".name", "the move %q is defined twice", m.Name)
		}
		names[m.Name] = true
		serviceIndex := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == m.Service })
		if serviceIndex < 0 {
			if m.Service != "" {
				r.fault(m.key+".service", "there is no service %.60q", m.Service)
			}
			continue
		}
		if perService[m.Service]++; perService[m.Service] == moves.MaxMoves+1 {
			r.fault(m.key, "%d moves over service %q are too many, %d are allowed", perService[m.Service], m.Service, moves.MaxMoves)
		}
		for j := range f.Moves[:i] {
			if o := &f.Moves[j]; o.Service == m.Service && o.From == m.To && o.To == m.From {
				r.fault(m.key, "it goes the other way round than move %q; only one of them is expected", o.Name)
			}
		}
		f.checkMoveGuards(m, &f.Services[serviceIndex])
	}
}

func (f *File) checkMoveGuards(m *Move, s *Service) {
	for _, g := range m.Guards {
		for _, c := range g.Classes {
			if !s.Platform && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == c }) {
				f.reader.fault(g.key+".classes", "service %q has no class %.60q", s.Name, c)
			}
		}
	}
}

// checkPlatformGuards checks the guards of moves of the platform's service, whose classes are not
// in the file.
func (f *File) checkPlatformGuards(classes []string) {
	for i := range f.Moves {
		m := &f.Moves[i]
		if !slices.ContainsFunc(f.Services, func(s Service) bool { return s.Name == m.Service && s.Platform }) {
			continue
		}
		for _, g := range m.Guards {
			for _, c := range g.Classes {
				if !slices.Contains(classes, c) {
					f.reader.fault(g.key+".classes", "the platform's service %q has no class %.60q, it has %s", m.Service, c, strings.Join(classes, ", "))
				}
			}
		}
	}
}
