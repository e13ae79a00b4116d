package policy

import (
	"hash/fnv"
	"math"
	"math/bits"
)

const (
	homeReuse     = 12.0 // requests that a connection should carry before it would close idle
	keySpread     = 10.0 // a key may be one over this of a server's fair part of the traffic
	keyPrior      = 50.0 // requests that a key's share is shrunk by
	dearHandshake = 0.05 // price from which a client keeps to a part of the endpoints, and
	partReuse     = 6.0  // requests that each of them should get within the idle time of a connection
	leastPart     = 0.3  // of the endpoints, however little the traffic
	keyDoubt      = 0.8  // of a key's first count: met once, most keys are cold
	keyWindow     = 256  // requests after which key counts are halved
)

// part is the part of the endpoints that first attempts go to. Failure answered: where connections
// are dear, clients with little traffic met all endpoints, each on a new connection that soon closed.
func (b *Balancer) part() float64 {
	least := math.Max(leastPart, indicator(b.set.Prices.Handshake < dearHandshake))
	return math.Max(least, b.set.ConnIdleTimeout.Seconds()/math.Max(b.gap.value, 1e-3)/partReuse/float64(len(b.fleet.table)))
}

// keepsTo reports whether first attempts go to an endpoint.
func (b *Balancer) keepsTo(s *server) bool { return mix(b.home, s.ID) < b.part() }

// keyCounts counts how often each key came by of late.
type keyCounts struct {
	counts map[uint64]float64
	total  float64
}

// add counts a key and returns its share of the traffic.
func (k *keyCounts) add(key uint64) float64 {
	if k.total >= keyWindow {
		k.total /= 2
		for h := range k.counts {
			if k.counts[h] /= 2; k.counts[h] < 1 {
				delete(k.counts, h)
			}
		}
	}
	k.total++
	k.counts[key]++
	return (k.counts[key] - keyDoubt) / (k.total + keyPrior)
}

func hashKey(key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	return h.Sum64()
}

// mix spreads a key and a server over [0,1).
func mix(key uint64, id EndpointID) float64 {
	hi, lo := bits.Mul64(key^0x9e3779b97f4a7c15, uint64(id)*2+0x2545f4914f6cdd1d)
	h := (hi ^ lo) * 0xd6e8feb86659fd93
	h ^= h >> 32
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// keyRank is the place of a server with a chance among those of a key: the highest come first.
func keyRank(key uint64, s *server) float64 { return math.Log(mix(key, s.ID)) / s.chance }

// chooseByKey draws two of the want servers a key ranks first (rendezvous hashing):
// the same few at every client; over all keys a server still gets its p_i*/k_i.
func (f *fleet) chooseByKey(key uint64, want int, random func() float64, ok func(*server) bool) (a, b *server) {
	f.ranked = f.ranked[:0]
	for _, s := range f.table {
		if !ok(s) {
			continue
		}
		s.rank = keyRank(key, s)
		i := len(f.ranked)
		if i < want {
			f.ranked = append(f.ranked, s)
		} else if i--; s.rank <= f.ranked[i].rank {
			continue
		}
		for ; i > 0 && f.ranked[i-1].rank < s.rank; i-- {
			f.ranked[i] = f.ranked[i-1]
		}
		f.ranked[i] = s
	}
	n := len(f.ranked)
	i := int(random() * float64(n))
	if n > 0 {
		a = f.ranked[i]
	}
	if n > 1 {
		b = f.ranked[(i+1+int(random()*float64(n-1)))%n]
	}
	return a, b
}
