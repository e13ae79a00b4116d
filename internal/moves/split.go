package moves

import (
	"hash/fnv"
	"strings"

	"spokegw/internal/discovery"
)

// MaxMoves bounds the concurrent moves of one service.
const MaxMoves = 4

// Pools is the pool membership of an endpoint: one bit for each move of its service.
type Pools struct{ From, To uint8 }

// Mask selects the pools for a request: the bit of each move is set if the request goes
// to the new pool and not to the old one; if it is clear, the other way round. Endpoints
// in neither pool are unaffected.
type Mask uint8

// Allows reports whether a request with this mask may go to an endpoint.
func (m Mask) Allows(p Pools) bool { return p.From&uint8(m) == 0 && p.To&^uint8(m) == 0 }

// WithEndpoint returns the mask of a request that went to an endpoint. After a retry that
// crossed pools it differs from the original mask.
func (m Mask) WithEndpoint(p Pools) Mask { return m&^Mask(p.From) | Mask(p.To) }

// Position maps a request to [0, 1) for a move: it goes to the new pool if that is below
// the share. It does not depend on the share, so a step only adds the requests between
// the old share and the new one, and no key moves twice.
func Position(key, salt uint64) float64 {
	h := key ^ salt // finalizer of MurmurHash3 (Appleby, public domain): each input bit affects each output bit
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// Salt is the hash salt of a move, so that different moves do not start with the same
// requests. All sidecars of a fleet derive the same.
func Salt(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Selector matches endpoints of the list. All fields that are set have to match.
type Selector struct {
	Kind, Zone, IDPrefix string
	Label                string // name=value
	Pod                  int    // -1: any
}

// Any matches every endpoint.
func Any() Selector { return Selector{Pod: -1} }

// Matches reports whether an entry of the list matches.
func (s *Selector) Matches(e *discovery.Entry) bool {
	matches := func(want, got string) bool { return want == "" || want == got }
	label, value, _ := strings.Cut(s.Label, "=")
	if s.Label != "" && (e.Labels == nil || e.Labels[label] != value) {
		return false
	}
	return matches(s.Kind, e.Kind) && matches(s.Zone, e.Zone) && (s.Pod < 0 || s.Pod == e.Cell) &&
		len(e.ID) >= len(s.IDPrefix) && e.ID[:len(s.IDPrefix)] == s.IDPrefix
}

// String formats the selector for operators.
func (s *Selector) String() string {
	text := ""
	add := func(name, value string) {
		if value != "" {
			if text != "" {
				text += ","
			}
			text += name + "=" + value
		}
	}
	add("kind", s.Kind)
	add("zone", s.Zone)
	add("id", s.IDPrefix)
	add("label", s.Label)
	if s.Pod >= 0 {
		add("pod", itoa(s.Pod))
	}
	return text
}
