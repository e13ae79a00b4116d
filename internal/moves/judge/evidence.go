// Package judge compares the observations of two pools: whether one fails its clients
// more often than the other by more than allowed, and whether there is enough evidence
// that it does not.
//
// All evidence here is an e-process: a number that starts at 1 and whose mean, if the
// null hypothesis is true, is at most 1 at any stopping time. So the probability that it
// ever reaches 1/a is at most a, however often it is checked and whenever one stops
// (Ville 1939; Ramdas, Grünwald, Vovk and Shafer 2023). docs/design/moves.md lists the
// alternatives that were considered.
package judge

import "math"

const (
	// immediateWeight is the weight of a fault present from the first block on; the rest
	// is spread over later starts, decreasing with time.
	immediateWeight = 0.5
	// startScale is the number of blocks after which the weight of a start is a quarter
	// of the first.
	startScale = 60
	// maxEvidence bounds evidence: higher values change no decision.
	maxEvidence = 1e30
)

// evidence is an e-process over several alternatives and start times of the fault. A
// fault that starts late is detected nearly as soon as if monitoring had started then: a
// plain product over all blocks would also include the quiet time before it.
type evidence struct {
	values []float64 // value for each alternative
	blocks float64
}

func newEvidence(alternatives int) evidence { return evidence{values: make([]float64, alternatives)} }

// startWeight is the weight of a start at block t; the sum over all t is 1.
func startWeight(t float64) float64 {
	w := (1 - immediateWeight) * startScale / ((startScale + t) * (startScale + t + 1))
	if t == 0 {
		w += immediateWeight
	}
	return w
}

// add adds a block. ratio returns its likelihood ratio for an alternative.
func (e *evidence) add(ratio func(i int) float64) {
	w := startWeight(e.blocks)
	e.blocks++
	for i := range e.values {
		e.values[i] = min((e.values[i]+w)*ratio(i), maxEvidence)
	}
}

// value returns the current evidence.
func (e *evidence) value() float64 {
	sum := 0.0
	for _, x := range e.values {
		sum += x
	}
	return sum / float64(len(e.values))
}

// Block counts finished requests, and the faults among them, of both pools over the same
// seconds.
type Block struct{ New, NewBad, Old, OldBad int }

// Count adds a request of one of the pools.
func (b *Block) Count(isNew, bad bool) {
	n, faults := &b.Old, &b.OldBad
	if isNew {
		n, faults = &b.New, &b.NewBad
	}
	*n++
	if bad {
		*faults++
	}
}

// MaxBlock bounds the requests of one pool in a block: a longer one has to be split. The
// cost of adding a block grows with its number of faults.
const MaxBlock = 1 << 14

func (b *Block) valid() bool {
	return b.NewBad >= 0 && b.NewBad <= b.New && b.New <= MaxBlock && b.OldBad >= 0 && b.OldBad <= b.Old && b.Old <= MaxBlock
}

// hypergeometric is the distribution of NewBad in a block given the totals of both pools
// and the total of faults: Fisher's noncentral hypergeometric distribution. It depends
// only on the odds ratio of the pools: anything common to both, such as a surge or a
// fault of a shared dependency, cancels out at any time.
type hypergeometric struct {
	minBad     int
	logWeights []float64 // log weights at odds ratio 1, from minBad on, up to a constant factor
}

func (h *hypergeometric) compute(b *Block) {
	bad := b.NewBad + b.OldBad
	h.minBad = max(0, bad-b.Old)
	hi := min(bad, b.New)
	h.logWeights = append(h.logWeights[:0], 0)
	for k := h.minBad; k < hi; k++ {
		num := float64(b.New-k) * float64(bad-k)
		denom := float64(k+1) * float64(b.Old-bad+k+1)
		h.logWeights = append(h.logWeights, h.logWeights[len(h.logWeights)-1]+math.Log(num/denom))
	}
}

// degenerate reports whether only one outcome is possible: the block carries no
// information.
func (h *hypergeometric) degenerate() bool { return len(h.logWeights) == 1 }

// logProb is the log probability of k at the given log odds ratio.
func (h *hypergeometric) logProb(k int, logOdds float64) float64 {
	top := math.Inf(-1)
	for i, l := range h.logWeights {
		top = max(top, l+float64(i)*logOdds)
	}
	sum := 0.0
	for i, l := range h.logWeights {
		sum += math.Exp(l + float64(i)*logOdds - top)
	}
	i := k - h.minBad
	return h.logWeights[i] + float64(i)*logOdds - top - math.Log(sum)
}

// logLikelihoodRatio is that of rate p over rate q for bad out of n.
func logLikelihoodRatio(n, bad int, p, q float64) float64 {
	return float64(bad)*math.Log(p/q) + float64(n-bad)*math.Log((1-p)/(1-q))
}
