package handover

// Division is how much of the one sidecar's limits a process may use. It is a
// value of its owner's, who tells it what happens. What a process leaves goes to
// its successor, and to its predecessor only if there is none; so the parts of
// all processes that are up never add up to more than 1, whichever ends when.
type Division struct {
	own  float64 // without what predecessor and successor have
	pred float64 // the predecessor's, to be had when it ends; 0: none
	succ float64 // the successor's, as long as it is there
	gone bool    // the successor has one of its own, which is to have what it leaves
}

// FullDivision is the division of a process that found none before it.
func FullDivision() Division { return Division{own: 1} }

// SuccessorDivision is that of one whose predecessor has kept so much and given as much.
func SuccessorDivision(kept float64) Division { return Division{own: kept, pred: kept} }

// Share is what the process may use, over 0 and at most 1.
func (d *Division) Share() float64 { return d.own }

// Split gives half to a successor; it returns what each has then.
func (d *Division) Split() float64 {
	d.own /= 2
	d.succ, d.gone = d.own, false
	return d.own
}

// HasSuccessor reports whether a successor is there: it has what this one leaves.
func (d *Division) HasSuccessor() bool { return d.succ > 0 }

// SetPredecessorShare notes what the predecessor has by its own word.
func (d *Division) SetPredecessorShare(part float64) {
	if d.pred > 0 {
		d.pred = part
	}
}

// SetSuccessorShare notes what the successor has by its own word, and whether it has
// a successor itself.
func (d *Division) SetSuccessorShare(part float64, handed bool) {
	if d.succ > 0 {
		d.succ, d.gone = part, handed
	}
}

// PredecessorEnded takes on what the predecessor had. It never reaches over 1,
// whatever was told.
func (d *Division) PredecessorEnded() {
	d.own = min(d.own+d.pred, 1-min(d.succ, 0.5))
	d.pred = 0
}

// SuccessorEnded takes back what the successor had, unless one of its own has it
// now. If that one has ended too and nobody said so, the part is lost until the
// next start: too little does less harm than too much.
func (d *Division) SuccessorEnded() {
	if !d.gone {
		d.own = min(d.own+d.succ, 1-min(d.pred, 0.5))
	}
	d.succ, d.gone = 0, false
}
