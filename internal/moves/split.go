package moves

import (
	"hash/fnv"
	"strings"

	"spokegw/internal/discovery"
)

// MaxMoves bounds the moves over one service.
const MaxMoves = 4

// Pools tells which pools an endpoint is in: a bit for each move of its service.
type Pools struct{ From, To uint8 }

// Mask is which pools a request meets: the bit of each move is set where it meets
// the new one. It then meets none of the old one, and the other way round.
// Endpoints in neither are nobody's business here.
type Mask uint8

// Allows reports whether a request of the mask may meet an endpoint.
func (m Mask) Allows(p Pools) bool { return p.From&uint8(m) == 0 && p.To&^uint8(m) == 0 }

// WithEndpoint is the mask of a request that went to an endpoint: after a retry that crossed it
// is not the one that it came with.
func (m Mask) WithEndpoint(p Pools) Mask { return m&^Mask(p.From) | Mask(p.To) }

// Position is where a request lies between 0 and 1 for a move: it meets the new pool
// where that is below the share. It does not depend on the share, so a step only
// adds those between the old share and the new one, and no key changes twice.
func Position(key, salt uint64) float64 {
	h := key ^ salt // the finalizer of MurmurHash3 (Appleby, public domain), which mixes every bit into every other
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// Salt tells the moves apart, so that not the same requests are the first to go in
// each; all sidecars of a fleet take the same.
func Salt(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Selector picks endpoints from the list. All that is set has to fit.
type Selector struct {
	Kind, Zone, IDPrefix string
	Label                string // name=value
	Pod                  int    // -1: any
}

// Any is a selector in which nothing is set.
func Any() Selector { return Selector{Pod: -1} }

// Matches reports whether an entry of the list fits.
func (s *Selector) Matches(e *discovery.Entry) bool {
	fits := func(want, is string) bool { return want == "" || want == is }
	label, value, _ := strings.Cut(s.Label, "=")
	if s.Label != "" && (e.Labels == nil || e.Labels[label] != value) {
		return false
	}
	return fits(s.Kind, e.Kind) && fits(s.Zone, e.Zone) && (s.Pod < 0 || s.Pod == e.Cell) &&
		len(e.ID) >= len(s.IDPrefix) && e.ID[:len(s.IDPrefix)] == s.IDPrefix
}

// String is the selector as an operator reads it.
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
