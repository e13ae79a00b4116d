package figures

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Makes runs reproducible; -rapid.seed=N selects another sequence.
func init() { flag.Set("rapid.seed", "1") }

// At every point of a random sequence, for each class, the requests taken are those that have ended
// plus those pending.
func TestSumInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New()
		open := map[string]int{}
		taken := map[string]int{}
		name := rapid.SampledFrom([]string{"map-tile", "status-report", "x"})
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				n := name.Draw(t, "class")
				f.Class(n).Begin()
				open[n]++
				taken[n]++
			},
			"end": func(t *rapid.T) {
				n := name.Draw(t, "class")
				if open[n] == 0 {
					t.Skip("no request is open")
				}
				f.Class(n).End(Outcome(rapid.IntRange(0, int(numOutcomes)-1).Draw(t, "outcome")))
				open[n]--
			},
			"": func(t *rapid.T) {
				for _, c := range f.Classes() {
					if c.Taken != uint64(taken[c.Name]) || c.Pending() != uint64(open[c.Name]) {
						t.Fatalf("%+v: %d taken and %d open are expected", c, taken[c.Name], open[c.Name])
					}
				}
			},
		})
	})
}

// Pending, read concurrently with counting, is never negative nor more than the number of open
// requests.
func TestReadWhileCounting(t *testing.T) {
	const workers, each = 4, 20_000
	f := New()
	var counting sync.WaitGroup
	for range workers {
		counting.Go(func() {
			c := f.Class("map-tile")
			for i := range each {
				c.Begin()
				c.End(Outcome(i % int(numOutcomes)))
			}
		})
	}
	for range 1000 {
		if p := f.Classes(); len(p) > 0 && p[0].Pending() > workers*each {
			t.Fatalf("pending is %d", p[0].Pending())
		}
	}
	counting.Wait()
	if c := f.Classes()[0]; c.Pending() != 0 || c.Taken != workers*each {
		t.Errorf("%+v", c)
	}
}

// The number of counters is bounded, however many class names there are.
func TestClassesAreBounded(t *testing.T) {
	f := New()
	for i := range 3 * maxClasses {
		f.Class(fmt.Sprint(i)).Begin()
	}
	if n := len(f.Classes()); n > maxClasses+1 {
		t.Errorf("%d classes are counted", n)
	}
	if f.Class("another") != f.Class(Other) {
		t.Error("classes beyond the bound are not counted together")
	}
}

func TestReport(t *testing.T) {
	f := New()
	c := f.Class("map-tile")
	for range 5 {
		c.Begin()
	}
	c.End(Completed)
	c.End(OutcomeForStatus(429))
	c.End(OutcomeForStatus(502))
	c.End(Abandoned)
	f.Attempts.Add(7)
	f.ReloadErrors.Add(1)
	text := f.Report(Members{Listed: 6, Unavailable: 2})
	for _, line := range []string{
		"node.downstream_requests.map-tile.completed:1|c", "node.downstream_requests.map-tile.rejected:1|c",
		"node.downstream_requests.map-tile.failed:1|c", "node.upstream_requests:7|c", "node.pending:1|g",
		"node.members:6|g", "node.members_unavailable:2|g", "node.config_reloads:0|c", "node.config_reload_errors:1|c",
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("%s is missing in\n%s", line, text)
		}
	}
}

// A class name can't forge a line of the report.
func TestSpecialCharactersInNames(t *testing.T) {
	f := New()
	f.Class("a:1|c\nnode.pending").Begin()
	for _, line := range strings.Split(strings.TrimSpace(f.Report(Members{})), "\n") {
		if strings.Count(line, ":") != 1 || strings.Count(line, "|") != 1 || strings.HasPrefix(line, "node.pending") && line != "node.pending:1|g" {
			t.Errorf("%q", line)
		}
	}
}

func BenchmarkCount(b *testing.B) {
	c := New().Class("map-tile")
	b.ReportAllocs()
	for b.Loop() {
		c.Begin()
		c.End(Completed)
	}
}
