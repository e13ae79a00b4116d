package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	startA = `{"Action":"output","Package":"p","Test":"TestA","Output":"=== RUN   TestA\n"}` + "\n"
	passA  = startA + `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
	failA  = startA + `{"Action":"output","Package":"p","Test":"TestA","Output":"    a_test.go:7: why\n"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestA"}` + "\n"
	subA   = `{"Action":"fail","Package":"p","Test":"TestA/one"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestA"}` + "\n"
	passP  = `{"Action":"output","Package":"p","Output":"ok  \tp\t0.1s\n"}` + "\n" + `{"Action":"pass","Package":"p"}` + "\n"
	failP  = `{"Action":"output","Package":"p","Output":"FAIL\tp\t0.1s\n"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	listA  = "p TestA | go test ./p, seed 3 | late by design | issue 7\n"
)

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		list, events string
		wantOK       bool
		wantOutput   string
	}{
		"all pass":                 {"", passA + passP, true, "ok  \tp"},
		"a test fails":             {"", failA + failP, false, "FAILED: p TestA"},
		"its output is shown":      {"", failA + failP, false, "a_test.go:7: why"},
		"known":                    {listA, failA + failP, true, "known to fail: p TestA: go test ./p, seed 3, late by design, issue 7"},
		"subtest of a known test":  {listA, subA + failP, true, "known to fail: p TestA/one"},
		"known and passes":         {listA, passA + passP, true, "to be taken off the list"},
		"known but missing":        {"p TestB | c | x | issue 1\n", passA + passP, false, "there is no test p TestB"},
		"known in another package": {"q TestA | c | x | issue 1\n", failA + failP, false, "FAILED: p TestA"},
		"package panics":           {listA, startA + failP, false, "p failed outside its tests"},
		"test does not end":        {"", passP + startA, false, "p TestA did not end"},
		"run is cut off":           {"", passA + passP + `{"Action":"start","Package":"q"}` + "\n", false, "q did not end"},
		"package has no tests":     {"", passA + passP + `{"Action":"start","Package":"q"}` + "\n" + `{"Action":"skip","Package":"q"}` + "\n", true, ""},
		"build fails":              {"", passP + `{"ImportPath":"q","Action":"build-output","Output":"q.go:1: bad\n"}` + "\n" + `{"ImportPath":"q","Action":"build-fail"}` + "\n", false, "q.go:1: bad"},
		"nothing ran":              {"", "", false, ""},
		"comment in the list":      {"# fix these first\n" + listA, failA + failP, true, ""},
		"many":                     {strings.Repeat(listA, 12), failA + failP, true, ""},
		"line with a test only":    {"p TestA\n", failA + failP, false, ""},
		"line without command":     {"p TestA | | late | issue 7\n", failA + failP, false, ""},
		"line without issue":       {"p TestA | go test ./p | late | some day\n", failA + failP, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			if c.list != "" {
				if err := os.WriteFile(path, []byte(c.list), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out strings.Builder
			err := check(path, strings.NewReader(c.events), &out)
			if (err == nil) != c.wantOK || !strings.Contains(out.String(), c.wantOutput) {
				t.Errorf("error %v, output:\n%s", err, out.String())
			}
		})
	}
}
