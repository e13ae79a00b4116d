package policy

import (
	"hash/fnv"
	"math"
	"math/bits"
)

const (
	homeRequestsPerConn   = 12.0 // requests that a connection should carry before its idle timeout
	keySpread             = 10.0 // on each server a key may take one over this of the server's fair share of the traffic
	keyPrior              = 50.0 // requests by which a key's share is shrunk
	subsetHandshakePrice  = 0.05 // price from which a client uses a subset of the endpoints, and
	subsetRequestsPerConn = 6.0  // requests that each of them should get within the idle timeout of a connection
	minSubsetShare        = 0.3  // of the endpoints, however little the traffic
	firstCountDiscount    = 0.8  // off a key's first count: most keys that were seen once are cold
	keyWindow             = 256  // requests after which key counts are halved
)

// subsetShare is the fraction of the endpoints that first attempts go to. Where connections are expensive, clients
// with little traffic would otherwise use all endpoints, each over a new connection that soon closes.
func (b *Balancer) subsetShare() float64 {
	minShare := math.Max(minSubsetShare, indicator(b.settings.Prices.Handshake < subsetHandshakePrice))
	return math.Max(minShare, b.settings.ConnIdleTimeout.Seconds()/math.Max(b.arrivalGap.value, 1e-3)/subsetRequestsPerConn/float64(len(b.fleet.drawTable)))
}

// inSubset reports whether first attempts go to an endpoint.
func (b *Balancer) inSubset(s *server) bool { return hashFraction(b.homeKey, s.ID) < b.subsetShare() }

// keyCounts counts how often each key was seen recently.
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
	return (k.counts[key] - firstCountDiscount) / (k.total + keyPrior)
}

func hashKey(key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	return h.Sum64()
}

// hashFraction maps a key and a server to a number in [0,1), evenly distributed.
func hashFraction(key uint64, id EndpointID) float64 {
	hi, lo := bits.Mul64(key^0x9e3779b97f4a7c15, uint64(id)*2+0x2545f4914f6cdd1d)
	h := (hi ^ lo) * 0xd6e8feb86659fd93
	h ^= h >> 32
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// keyRank is the score of a server with a chance above 0 for a key: the highest ranks first.
func keyRank(key uint64, s *server) float64 { return math.Log(hashFraction(key, s.ID)) / s.chance }

// drawPairByKey draws two of the servers that rank first for a key (rendezvous hashing), among as many as candidates:
// every client draws from the same few; over all keys a server still gets its p_i*/k_i.
func (f *fleet) drawPairByKey(key uint64, candidates int, random func() float64, eligible func(*server) bool) (a, b *server) {
	f.ranked = f.ranked[:0]
	for _, s := range f.drawTable {
		if !eligible(s) {
			continue
		}
		s.rank = keyRank(key, s)
		i := len(f.ranked)
		if i < candidates {
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
