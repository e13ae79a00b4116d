package sidecar

import (
	"context"
	"time"

	"spokegw/internal/figures"
	"spokegw/internal/overload"
)

// KeysKnown counts the keyed requests that the services remember.
func (s *Sidecar) KeysKnown() (n int) {
	for _, r := range s.currentServices() {
		n += len(r.service.Snapshot(1 << 20).Keys)
	}
	return n
}

// KeyAge returns the age of the keyed request that the services remember; -1 if there is none.
func (s *Sidecar) KeyAge() time.Duration {
	for _, r := range s.currentServices() {
		for _, n := range r.service.Snapshot(1).Keys {
			return n.Age
		}
	}
	return -1
}

// ClassSlots counts the slots for classes of the platform's service.
func (s *Sidecar) ClassSlots() int { return len(s.currentServices()[0].service.ClassNames()) }

// Shedder is a sidecar's shedder whose delays the test supplies.
type Shedder struct{ *shedder }

func (s *Sidecar) NewShedder(set overload.Settings) Shedder { return Shedder{newShedder(&set, s.core)} }
func (s *Sidecar) NewSampler() Shedder                      { return Shedder{newShedder(nil, s.core)} }
func (s Shedder) HasAdmission() bool                        { return s.admission() != nil }
func (s Shedder) Record(delay time.Duration)                { s.record(delay) }
func (s Shedder) Delay() time.Duration                      { return s.delay() }

// PauseMessages blocks the sidecar's handling of its predecessor's messages until resume is
// called.
func (s *Sidecar) PauseMessages(predecessor *Sidecar) (resume func()) {
	s.upgrade.resizing.Lock()
	predecessor.upgrade.offerer.SendShare(predecessor.upgrade.share())
	return s.upgrade.resizing.Unlock
}

// Disconnect closes the connection to the predecessor, as the end of the process would.
func (s *Sidecar) Disconnect() { s.upgrade.predecessor.Close() }

// OpenIDs returns the hashes of the ids of open requests, KnownIDs those of all ids that are refused.
func (s *Sidecar) OpenIDs() []uint64 { return s.core.OpenIDs() }
func (s *Sidecar) KnownIDs() []uint64 {
	_, hashes := s.core.RecentIDs()
	return hashes
}

// AdoptID records an id as one that another process has published.
func (s *Sidecar) AdoptID(hash uint64) { s.core.AdoptID(hash) }

// Rejections returns how many files were rejected for a reason.
func (s *Sidecar) Rejections(reason figures.Rejection) uint64 {
	return s.figures.Rejections[reason].Load()
}

// Rejected returns the rejected files, as the console sends them.
func (s *Sidecar) Rejected() (all []*RejectedFile) {
	s.handleRejected(context.Background(), nil, func(v any) error {
		all = append(all, v.(*RejectedFile))
		return nil
	})
	return all
}

// OpenRequestsOf counts the open requests of a service in force.
func (s *Sidecar) OpenRequestsOf(name string) (n int64) {
	for _, r := range s.currentServices() {
		if r.definition.Name == name {
			n += r.service.OpenRequests()
		}
	}
	return n
}
