package operator

import (
	"strings"
	"testing"
	"time"

	"spokegw/internal/moves"
)

const validMoveFile = `[[service]]
name = "maps"

[[service]]
name = "lifts"
endpoints = ["127.0.0.1:9001"]
[[service.class]]
name = "lift-state"
effect = "unsafe"
aim = "200ms"
deadline = "1s"

[[move]]
name = "std-new"
service = "maps"
steps = ["0.5%", "50%", "100%"]
step-time = "10s"
begin = "itself"
from.kind = "std-1core"
to = { kind = "std-2core", pod = 3 }

[[move.guard]]
classes = ["map-tile"]
failed = 0.01
slow = 1.3

[[move.guard]]
judge-slow = false

[[move]]
name = "lifts-new"
service = "lifts"
from.zone = "a"
to.zone = "b"
`

func TestMoves(t *testing.T) {
	f := parse(t, validMoveFile)
	m := &f.Moves[0]
	if m.Name != "std-new" || m.Steps[0] != 0.005 || len(m.Steps) != 3 || m.StepTime != 10*time.Second || !m.Auto || m.To.Pod != 3 || m.From.Pod != -1 {
		t.Errorf("%+v", m)
	}
	tile, report := m.GuardsOf("map-tile"), m.GuardsOf("status-report")
	if tile[moves.Failed].Bound != 0.01 || tile[moves.Slow].Margin != 1.3 || tile[moves.Late] != defaultGuards[moves.Late] {
		t.Errorf("the guard of map-tile: %+v", tile)
	}
	if report[moves.Slow].Margin != 0 || report[moves.Failed] != defaultGuards[moves.Failed] {
		t.Errorf("the guard of other classes: %+v", report)
	}
	if g := f.Moves[1].GuardsOf("lift-state"); g != defaultGuards || f.Moves[1].Auto || f.Moves[1].Watch != 10*time.Minute {
		t.Errorf("defaults: %+v, %+v", g, f.Moves[1])
	}
}

// Every fault of a move has its position and what was expected.
func TestMoveFaults(t *testing.T) {
	for _, c := range []struct{ old, new, place, want string }{
		{`"0.5%", `, `"0.5", `, "move[0].steps", `not "0.5"`},
		{`"0.5%", `, `"60%", `, "move[0].steps", `rising parts`},
		{`"100%"`, `"101%"`, "move[0].steps", `not "101%"`},
		{`steps = ["0.5%", "50%", "100%"]`, `steps = []`, "move[0].steps", "at least one step"},
		{`step-time = "10s"`, `step-time = "0s"`, "move[0].step-time", "a time from"},
		{`begin = "itself"`, `begin = "soon"`, "move[0].begin", "operator, itself is expected"},
		{`from.kind = "std-1core"`, ``, "move[0]", "from is missing"},
		{`from.kind = "std-1core"`, `from.kin = "std-1core"`, "move[0].from.kin", "unknown key"},
		{`from.kind = "std-1core"`, `from = {}`, "move[0].from", "this picks every endpoint"},
		{`from.zone = "a"`, `from.zone = "b"`, "move[1]", "two pools are expected"},
		{`classes = ["map-tile"]`, `classes = ["map-tiles"]`, "move[0].guard[0].classes", `no class "map-tiles", it has map-tile`},
		{`failed = 0.01`, `failed = 0.6`, "move[0].guard[0].failed", "a number from"},
		{`slow = 1.3`, `slow = 0.9`, "move[0].guard[0].slow", "a number from 1"},
		{`service = "lifts"`, `service = "lift"`, "move[1].service", `no service "lift"`},
		{`name = "lifts-new"`, `name = "std-new"`, "move[1].name", "twice"},
		{`service = "lifts"` + "\nfrom.zone = \"a\"\nto.zone = \"b\"", `service = "maps"` + "\nfrom = { kind = \"std-2core\", pod = 3 }\nto.kind = \"std-1core\"", "move[1]", `the other way round than move "std-new"`},
	} {
		text := strings.Replace(validMoveFile, c.old, c.new, 1)
		if text == validMoveFile {
			t.Fatalf("%q is not in the file", c.old)
		}
		f, err := Parse("operator.toml", []byte(text))
		if err == nil {
			err = f.Check([]string{"map-tile", "status-report"})
		}
		if err == nil || !strings.Contains(err.Error(), c.place+":") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v; %s: %s is expected", c.new, err, c.place, c.want)
		}
	}
	five := validMoveFile
	for _, name := range []string{"a", "b", "c", "d"} {
		five += "\n[[move]]\nname = '" + name + "'\nservice = 'maps'\nfrom.zone = '" + name + "'\nto.kind = '" + name + "'\n"
	}
	if _, err := Parse("operator.toml", []byte(five)); err == nil || !strings.Contains(err.Error(), "5 moves over service") {
		t.Errorf("five moves: %v", err)
	}
}
