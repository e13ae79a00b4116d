// Package plan decides what is still worth something of what a sidecar kept on a
// disk before it ended. It is pure: the clocks come in with the calls.
package plan

import (
	"fmt"
	"time"

	"spokegw/internal/handover"
	"spokegw/internal/keyed"
)

// Version is that of what is kept. Of those before it all are read, each brought
// forward to it; one after it is refused, as what it means is not known here.
//
//	1  one piece of JSON, an Image
//	2  Parts, each with a checksum
const Version = 2

// checkVersion tells why a version can't be read; "": it can.
func checkVersion(v int) string {
	switch {
	case v > Version:
		return fmt.Sprintf("it is of version %d, which a newer program made; up to %d are read here", v, Version)
	case v < 1:
		return fmt.Sprintf("it is of version %d; 1 to %d are expected", v, Version)
	}
	return ""
}

// Clock is an instant, so that another process can tell how long ago it was.
type Clock struct {
	Boot  string        // names the run of the machine; "": not known
	Since time.Duration // since the machine began, sleep included
	Wall  time.Time
}

// Elapsed is how long ago an instant was. It is sure on the same run of a machine,
// whatever happened to the clock of the day; else it is what that clock tells, which
// may have been set, and never less than 0.
func Elapsed(then, now Clock) (d time.Duration, sure bool) {
	if then.Boot != "" && then.Boot == now.Boot && now.Since >= then.Since {
		return now.Since - then.Since, true
	}
	return max(now.Wall.Sub(then.Wall), 0), false
}

// Image is what is kept at one instant.
type Image struct {
	Version int
	Name    string // of the sidecar
	At      Clock
	Ended   bool // in order: nothing was served after it
	State   *handover.State
}

// Part is a part of an image. It stands on its own, so that others may be lost: of an
// image that is damaged, or of several that follow each other.
type Part struct {
	Version int
	Name    string // of the sidecar
	At      Clock
	Kind    Kind
	Ended   bool              `json:",omitempty"` // as the image's; KindService
	Drained bool              `json:",omitempty"` // KindSidecar
	IDs     *handover.IDs     `json:",omitempty"` // KindIDs
	Hash    uint64            `json:",omitempty"` // that keys are made with; KindKeys
	Service *handover.Service `json:",omitempty"` // its name, and what the kind tells of it
}

// Kind says what a part tells.
type Kind string

const (
	KindSidecar Kind = "sidecar" // what operators have said of the sidecar
	KindIDs     Kind = "ids"     // of requests taken of late
	KindService Kind = "service" // what operators have said of a service; speeds, capacity and contracts, with the classes that they are told by
	KindMembers Kind = "members" // its list
	KindKeys    Kind = "keys"    // its keyed requests
)

// Parts are the parts of an image. One of an earlier version is brought forward.
func Parts(i *Image) (all []Part, why string) {
	if i == nil || i.State == nil {
		return nil, "nothing is kept"
	}
	if why := checkVersion(i.Version); why != "" {
		return nil, why
	}
	part := func(k Kind, of *handover.Service) *Part {
		all = append(all, Part{Version: Version, Name: i.Name, At: i.At, Kind: k, Service: of})
		return &all[len(all)-1]
	}
	part(KindSidecar, nil).Drained = i.State.Drained
	part(KindIDs, nil).IDs = &i.State.IDs
	for _, s := range i.State.Services {
		part(KindService, &handover.Service{ServiceRef: s.ServiceRef, Disabled: s.Disabled, Classes: s.Classes, Learnt: s.Learnt, Standing: s.Standing}).Ended = i.Ended
		part(KindMembers, &handover.Service{ServiceRef: s.ServiceRef, Members: s.Members})
		part(KindKeys, &handover.Service{ServiceRef: s.ServiceRef, Keys: s.Keys}).Hash = i.State.IDs.Key
	}
	return all, ""
}

// What is kept is worth nothing when it is older than this. What is missing is
// read as by a sidecar that has just been installed.
const (
	// MaxLearntAge is for speeds, capacity and health: the servers have other loads by
	// then. Missing: nominal sizes, and every endpoint well.
	MaxLearntAge = 10 * time.Minute
	// MaxListAge is for the list: discovery is asked in any case, and this is what there
	// is until it answers. Missing: what the configuration knows.
	MaxListAge = time.Hour
	// MaxIDAge is for ids of requests taken: nobody repeats one later. Missing: a request
	// that was taken before the end may be taken again.
	MaxIDAge = time.Minute
	// MaxKeyAge bounds what is believed of keys where the time that has passed is not
	// sure: they are kept as if none had, and dropped when this is over by any clock.
	MaxKeyAge = time.Hour
	// MaxUsageAge is for contracts. Missing: a fresh burst. It is adopted as it was:
	// what a team had left then, and nothing for the time between. After a kill nobody
	// knows what was used since: all that was saved up counts as used.
	MaxUsageAge = time.Hour
)

// Usable is what is worth something of an image now; nil: nothing. The reason is
// for the log.
func Usable(i *Image, name string, now Clock) (st *handover.State, why string) {
	parts, why := Parts(i)
	if why != "" {
		return nil, why
	}
	return Merge(parts, name, now)
}

// Merge is what is worth something now of parts, of which the younger come last and go
// before older ones of the same thing; nil: nothing. The reason is for the log.
func Merge(parts []Part, name string, now Clock) (st *handover.State, why string) {
	m := merging{state: &handover.State{}, services: map[handover.ServiceRef]int{}, hashes: map[handover.ServiceRef]uint64{}}
	why = "nothing is kept"
	any := false
	for i := range parts {
		p := &parts[i]
		switch w := checkVersion(p.Version); {
		case w != "":
			why = w
		case p.Name != name:
			why = "it is of another sidecar"
		default:
			elapsed, sure := Elapsed(p.At, now)
			m.add(p, elapsed, sure)
			any = true
		}
	}
	if !any {
		return nil, why
	}
	m.matchKeys()
	return m.state, ""
}

// merging is a Merge under way.
type merging struct {
	state    *handover.State
	services map[handover.ServiceRef]int // places in the state's
	hashes   map[handover.ServiceRef]uint64
}

// mostServices bounds the services of a state: more than an operator's file has.
const mostServices = 4096

func (m *merging) add(p *Part, elapsed time.Duration, sure bool) {
	switch {
	case p.Kind == KindSidecar:
		m.state.Drained = p.Drained
	case p.Kind == KindIDs && p.IDs != nil:
		m.state.IDs = handover.IDs{Key: p.IDs.Key} // the key of the hashes goes with the keys as well
		if elapsed <= MaxIDAge || !sure {
			m.state.IDs.Hashes = p.IDs.Hashes
		}
	case p.Service != nil:
		if s := m.service(p.Service.ServiceRef); s != nil {
			if p.Kind == KindKeys {
				m.hashes[s.ServiceRef] = p.Hash
			}
			use(s, p, elapsed, sure)
		}
	}
}

func (m *merging) service(of handover.ServiceRef) *handover.Service {
	at, known := m.services[of]
	if !known {
		if at = len(m.state.Services); at == mostServices {
			return nil
		}
		m.services[of] = at
		m.state.Services = append(m.state.Services, handover.Service{ServiceRef: of})
	}
	return &m.state.Services[at]
}

// matchKeys leaves out keys whose hashes are not those of the rest: nobody would find
// them. Where the ids are lost the keys tell what they were made with.
func (m *merging) matchKeys() {
	for i := range m.state.Services {
		s := &m.state.Services[i]
		if hash := m.hashes[s.ServiceRef]; len(s.Keys) > 0 && m.state.IDs.Key == 0 {
			m.state.IDs.Key = hash
		} else if hash != m.state.IDs.Key {
			s.Keys = nil
		}
	}
}

// use puts what a part tells of a service, and is worth something, in the place of what
// an older one told.
func use(s *handover.Service, p *Part, elapsed time.Duration, sure bool) {
	told := p.Service
	switch p.Kind {
	case KindService:
		s.Disabled, s.Classes, s.Learnt, s.Standing = told.Disabled, told.Classes, nil, nil
		if elapsed <= MaxLearntAge {
			s.Learnt = told.Learnt
		}
		if elapsed <= MaxUsageAge && told.Standing != nil {
			standing := *told.Standing
			standing.Spent = standing.Spent || !p.Ended
			s.Standing = &standing
		}
	case KindMembers:
		s.Members = handover.Members{}
		if elapsed <= MaxListAge {
			s.Members = told.Members
		}
	case KindKeys:
		s.Keys = nil
		for _, k := range told.Keys {
			if k, ok := UsableKey(k, elapsed, sure); ok {
				s.Keys = append(s.Keys, k)
			}
		}
	}
}

// UsableKey is a key's note after the time that has passed. Where that is not sure
// its window may be over and may not: nobody may be sent a repeat then, for as long
// as the client may ask again.
func UsableKey(k keyed.Note, elapsed time.Duration, sure bool) (keyed.Note, bool) {
	if sure {
		k.Age, k.Left = k.Age+elapsed, k.Left-elapsed
		return k, k.Left > 0
	}
	k.Age = max(k.Age, k.Window)
	return k, elapsed <= MaxKeyAge
}
