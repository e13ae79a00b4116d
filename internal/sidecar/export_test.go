package sidecar

import (
	"time"

	"spokegw/internal/overload"
)

// KeysKnown counts the keyed requests that the services remember.
func (s *Sidecar) KeysKnown() (n int) {
	for _, r := range s.running() {
		n += len(r.service.Snapshot(1 << 20).Keys)
	}
	return n
}

// KeyAge is how long ago a keyed request was sent, of the one that the services remember.
func (s *Sidecar) KeyAge() time.Duration {
	for _, r := range s.running() {
		for _, n := range r.service.Snapshot(1).Keys {
			return n.Age
		}
	}
	return -1
}

// Places counts the places for classes that the platform's service has.
func (s *Sidecar) Places() int { return len(s.running()[0].service.ClassNames()) }

// Brake is a brake of a sidecar's that nobody looks after.
type Brake struct{ *brake }

func (s *Sidecar) NewBrake(set overload.Settings) Brake { return Brake{newBrake(&set, s.core)} }
func (s *Sidecar) NewLook() Brake                       { return Brake{newBrake(nil, s.core)} }
func (b Brake) Refuses() bool                           { return b.door() != nil }
func (b Brake) Tell(waited time.Duration)               { b.tell(waited) }
func (b Brake) Delay() time.Duration                    { return b.delay() }

// HoldBack has the sidecar handle nothing that its predecessor tells from now on, until it goes on.
func (s *Sidecar) HoldBack(predecessor *Sidecar) (goOn func()) {
	s.upgrade.resize.Lock()
	predecessor.upgrade.offerer.SendShare(predecessor.upgrade.part())
	return s.upgrade.resize.Unlock
}

// Die ends the connection to the predecessor as the end of the process would.
func (s *Sidecar) Die() { s.upgrade.predecessor.Close() }
