package main

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"
)

func TestCounts(t *testing.T) {
	c := newFleetCounts(20 * time.Second)
	a, b := &sidecar{name: "a"}, &sidecar{name: "b"}
	for _, l := range []string{
		`0.1 time=2026-12-01T10:00:00.100Z level=INFO msg=endpoint id=new addr=x state=active started_ms=1796119200000`,
		`0.2 time=2026-12-01T10:00:00.200Z level=DEBUG msg="discovery call" since=0 first=true took=2ms error="discovery answered 503"`,
		`0.3 time=2026-12-01T10:00:00.300Z level=DEBUG msg="discovery call" since=0 first=false took=2ms error=<nil>`,
		`0.9 {"at":"2026-12-01T10:00:00.4Z","status":200,"took_ns":500000000,"sent":[` +
			`{"after_ns":0,"endpoint":"old","took_ns":0,"dialled":true},{"after_ns":300000000,"endpoint":"new","result":"served","took_ns":100000000}]}`,
		`1.2 {"at":"2026-12-01T10:00:01.1Z","status":503,"took_ns":1000}`,
		`1.3 {"at":"2026-12-01T10:00:01.2Z","status":503,"took_ns":1000,"sent":[{"after_ns":0,"endpoint":"old","result":"turned away","took_ns":10}]}`,
		`1.4 {"at":`,
		`1.5 {"at":"cut off, "took_ns"`,
	} {
		c.addLine(a, l)
	}
	c.addLine(b, `2.1 time=2026-12-01T10:00:02.100Z level=INFO msg=endpoint id=new addr=x state=active started_ms=1796119200000`)

	first, next := c.seconds[0], c.seconds[1]
	if first.requests != 1 || first.served != 1 || first.attempts != 2 || first.retries != 1 || first.hedged != 1 || first.dialled != 1 || first.calls != 1 || first.failedCalls != 1 {
		t.Errorf("the first second: %+v", first)
	}
	if next.requests != 2 || next.refused != 2 || next.notAdmitted != 1 || next.declined != 1 || next.failingShare() != 1 {
		t.Errorf("the next second: %+v", next)
	}
	if ratio := c.coldToWarm(0, first); ratio != 1 {
		t.Errorf("cold to warm ratio is %v, want 1", ratio)
	}
	if lags := c.lags(); len(lags) != 2 || lags[1] != 2*time.Second {
		t.Errorf("lags %v", lags)
	}
	if c.malformed != 1 {
		t.Errorf("%d malformed lines, want 1", c.malformed)
	}
	var out strings.Builder
	c.print(&out, time.Second, time.Minute)
	if text := out.String(); strings.Count(text, "\n") != 7 || !strings.Contains(text, "all 2s") {
		t.Errorf("printed\n%s", text)
	}
}

// Each cause is distinguished from the others, independent of the order of the lines.
func TestCauses(t *testing.T) {
	c := newFleetCounts(20 * time.Second)
	s := &sidecar{name: "a"}
	add := func(status int, took, sent string) {
		c.addLine(s, `{"at":"2026-12-01T10:00:00.4Z","class":"tile","aim_ns":100,"status":`+fmt.Sprint(status)+`,"took_ns":`+took+`,"sent":[`+sent+`]}`)
	}
	attempt := func(endpoint, result, took string) string {
		return `{"after_ns":0,"endpoint":"` + endpoint + `","result":"` + result + `","took_ns":` + took + `}`
	}
	for range 40 {
		add(200, "50", attempt("good", "served", "50"))
	}
	for range 2 {
		add(200, "150", attempt("slow", "served", "150"))
	}
	add(200, "150", attempt("cold", "served", "150"))
	add(200, "150", attempt("good", "served", "150"))
	add(200, "190", attempt("gone", "no answer", "90")+`,{"after_ns":90,"endpoint":"good","result":"served","took_ns":90}`)
	add(502, "150", attempt("gone", "connection lost", "50"))
	add(503, "1", "")
	add(503, "2", attempt("full", "turned away", "1"))
	add(0, "500", attempt("good", "called off", "500")) // its client disconnected
	c.addLine(s, `time=2026-12-01T10:00:05Z level=INFO msg=endpoint id=cold addr=x state=active started_ms=1796119200000`)
	got := map[cause]int{}
	for i := range c.seconds[0].misses {
		got[c.causeOf(0, c.seconds[0], &c.seconds[0].misses[i])]++
	}
	if want := map[cause]int{causeSlowEndpoint: 2, causeColdEndpoint: 1, causeIsolated: 1, causeNoAnswer: 2, causeNotAdmitted: 1, causeNoCapacity: 1}; !maps.Equal(got, want) {
		t.Errorf("causes %v, want %v", got, want)
	}
	for range 20 {
		add(200, "150", attempt("good", "served", "150"))
	}
	if l := c.seconds[0].misses; c.causeOf(0, c.seconds[0], &l[len(l)-1]) != causeOverload {
		t.Error("overload was not distinguished from one slow endpoint")
	}
}
