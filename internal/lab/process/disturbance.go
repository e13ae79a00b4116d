package process

import (
	"slices"
	"sync"
	"time"
)

// Cause is what was done to a process.
type Cause int

// The causes: SIGKILL, a planned end by SIGTERM, SIGSTOP.
const (
	Killed Cause = iota
	Told
	Stopped
)

// Disturbance is one time that something was done to a process. A zero time has not come.
type Disturbance struct {
	Cause Cause
	From  time.Time // before the signal was sent
	Ended time.Time // when the process was seen to have ended
	Until time.Time // when another one served, or it was told to go on
}

// takesNew is how long a process that is told to end takes new connections at least: the
// platform makes them for 0.2 to 0.4 s, and 50 ms may be between the signal and its note.
const takesNew = 350 * time.Millisecond

// Cuts reports whether a connection that a client began to make at a time, and that ended at
// another, was cut off by it: a kill ends those that were made to the process, and not before it.
func (d *Disturbance) Cuts(begun, end time.Time) bool {
	return d.Cause == Killed && !end.Before(d.From) && !d.laterThan(begun)
}

// MayShut reports whether a connection that a client began to make, and had made, may be shut with nothing
// read: a process that is to end may do that when clients make no new ones any more.
func (d *Disturbance) MayShut(begun, made time.Time) bool {
	return d.Cause == Told && made.After(d.From.Add(takesNew)) && !d.laterThan(begun)
}

// laterThan reports whether a connection was begun when the process had ended: it is another one's.
func (d *Disturbance) laterThan(begun time.Time) bool {
	return !d.Ended.IsZero() && begun.After(d.Ended)
}

// ClosesDoor reports whether at some moment of a time nobody has to take connections.
func (d *Disturbance) ClosesDoor(from, to time.Time) bool {
	closed := d.From
	switch d.Cause {
	case Told:
		closed = closed.Add(takesNew)
	case Stopped: // the system takes them
		return false
	}
	return d.lasts(closed, from, to)
}

// lasts reports whether what began by it at a time was so at some moment between two others.
func (d *Disturbance) lasts(began, from, to time.Time) bool {
	return !began.After(to) && (d.Until.IsZero() || !from.After(d.Until))
}

// StoodStill reports whether the process stood still at some moment of a time.
func (d *Disturbance) StoodStill(from, to time.Time) bool {
	return d.Cause == Stopped && d.lasts(d.From, from, to)
}

// Disturbances are all that was done to a process and those that came after it, in order.
type Disturbances struct {
	mu  sync.Mutex
	all []Disturbance
}

// Begins notes that something is about to be done to the process. What lasts is over.
func (d *Disturbances) Begins(c Cause) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.over(now)
	d.all = append(d.all, Disturbance{Cause: c, From: now})
}

// HasEnded notes that the process has ended by what was done to it last.
func (d *Disturbances) HasEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[len(d.all)-1].Ended = time.Now()
}

// GoesOn notes that what was done last is over, if anything lasts.
func (d *Disturbances) GoesOn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.over(time.Now())
}

func (d *Disturbances) over(now time.Time) {
	if n := len(d.all); n > 0 && d.all[n-1].Until.IsZero() {
		d.all[n-1].Until = now
	}
}

// Ends reports whether the process was told to end or killed, and no other one serves yet.
func (d *Disturbances) Ends() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.all)
	return n > 0 && d.all[n-1].Until.IsZero() && d.all[n-1].Cause != Stopped
}

// Cut reports whether any of them cut off a connection.
func (d *Disturbances) Cut(begun, end time.Time) bool {
	return slices.ContainsFunc(d.All(), func(o Disturbance) bool { return o.Cuts(begun, end) })
}

// StoodStill reports whether the process stood still at some moment of a time.
func (d *Disturbances) StoodStill(from, to time.Time) bool {
	return slices.ContainsFunc(d.All(), func(o Disturbance) bool { return o.StoodStill(from, to) })
}

// MayShut reports whether by any of them a connection may be shut with nothing read.
func (d *Disturbances) MayShut(begun, made time.Time) bool {
	return slices.ContainsFunc(d.All(), func(o Disturbance) bool { return o.MayShut(begun, made) })
}

// ClosedDoor reports whether at some moment of a time nobody had to take connections.
func (d *Disturbances) ClosedDoor(from, to time.Time) bool {
	return slices.ContainsFunc(d.All(), func(o Disturbance) bool { return o.ClosesDoor(from, to) })
}

// All are those so far.
func (d *Disturbances) All() []Disturbance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.all)
}
