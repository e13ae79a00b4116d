package handover

// Division is the share of one sidecar's limits that a process may use. It is owned by one process,
// which reports to it what happens to its neighbours. A process's share passes to its successor
// when it ends, and to its predecessor only if it has no successor. Each share thus has one heir,
// so the shares of all running processes never sum to more than 1, in whatever order they end.
type Division struct {
	own              float64 // excludes the shares of predecessor and successor
	pred             float64 // the predecessor's share, inherited when it ends; 0: none
	succ             float64 // the successor's share while it runs; 0: none
	succHasSuccessor bool    // the successor has a successor itself, which inherits its share
}

// FullDivision is the division of a process that found no predecessor.
func FullDivision() Division { return Division{own: 1} }

// SuccessorDivision is the division of a process whose predecessor has kept and given the same
// share.
func SuccessorDivision(share float64) Division { return Division{own: share, pred: share} }

// Share is the share that the process may use, in (0, 1].
func (d *Division) Share() float64 { return d.own }

// Split gives half of the share to a successor and returns the share that each has then.
func (d *Division) Split() float64 {
	d.own /= 2
	d.succ, d.succHasSuccessor = d.own, false
	return d.own
}

// HasSuccessor reports whether a successor runs. It inherits this process's share.
func (d *Division) HasSuccessor() bool { return d.succ > 0 }

// SetPredecessorShare records the share that the predecessor reports.
func (d *Division) SetPredecessorShare(share float64) {
	if d.pred > 0 {
		d.pred = share
	}
}

// SetSuccessorShare records the share that the successor reports, and whether the successor has a
// successor itself.
func (d *Division) SetSuccessorShare(share float64, hasSuccessor bool) {
	if d.succ > 0 {
		d.succ, d.succHasSuccessor = share, hasSuccessor
	}
}

// PredecessorEnded adds the predecessor's share to this process's. The result never exceeds 1,
// whatever was reported.
func (d *Division) PredecessorEnded() {
	d.own = min(d.own+d.pred, 1-min(d.succ, 0.5))
	d.pred = 0
}

// SuccessorEnded takes back the successor's share, unless a successor of its own inherits it. If
// that process has ended too and this was not reported, the share is unused until the next start:
// using too little does less harm than exceeding the limits.
func (d *Division) SuccessorEnded() {
	if !d.succHasSuccessor {
		d.own = min(d.own+d.succ, 1-min(d.pred, 0.5))
	}
	d.succ, d.succHasSuccessor = 0, false
}
