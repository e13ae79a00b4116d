package trial

import (
	"math/rand/v2"
	"strings"
	"testing"

	"spokegw/internal/operator"
)

// A key may run again at its pod, and at no other.
func TestTransfersAreJudgedByTheirPods(t *testing.T) {
	for name, c := range map[string]struct {
		pods      []int
		duplicate bool
	}{
		"never sent": {nil, false}, "once": {[]int{2}, false}, "again at its pod": {[]int{1, 1}, false}, "at another pod": {[]int{1, 1, 3}, true},
	} {
		p := &play{judge: newJudge(Config{}), transfers: &transfers{runs: map[string][]int{"s-0": c.pods}}}
		p.judgeTransfers("s")
		if n := len(p.judge.broken); (n > 0) != c.duplicate {
			t.Errorf("%s: %d violations: %v", name, n, p.judge.broken)
		}
	}
}

// A changed file is one that a sidecar takes, unless it is told to be broken.
func TestChangedOperatorFiles(t *testing.T) {
	transfers, err := startTransfers()
	if err != nil {
		t.Fatal(err)
	}
	defer transfers.close()
	usual := usualOperatorFile.text(transfers.pods)
	if _, err := operator.Parse("usual.toml", []byte(usual)); err != nil {
		t.Errorf("the usual file: %v", err)
	}
	seen := map[string]bool{}
	for seed := range uint64(100) {
		text, how := usualOperatorFile.changed(rand.New(rand.NewPCG(seed, 1)), transfers.pods)
		seen[how] = true
		_, err := operator.Parse("changed.toml", []byte(text))
		broken := strings.Contains(how, "cut off") || strings.Contains(how, "scope")
		if text == usual || (err != nil) != broken {
			t.Errorf("%s: %v", how, err)
		}
	}
	if len(seen) != 6 {
		t.Errorf("these changes occur: %v", seen)
	}
}
