package weights

import (
	"encoding/binary"
	"errors"
	"math"
)

// Encoding of stats: the ID in eight bytes, then unsigned varints: lost time, timed out, errors,
// declined, unreached, superseded and the number of cells; for each cell the class with a bit for
// warm, served, time, work and the number of ratio buckets that are not empty, and for each of
// those its index and count.

var errPacked = errors.New("weights: invalid packed stats")

// maxCount bounds what one gateway can claim of an endpoint in a report: 2^40 microseconds are
// twelve days.
const maxCount = 1 << 40

func appendStats(b []byte, s *Stats) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(s.ID))
	for _, x := range [...]uint64{s.LostTime, s.TimedOut, s.Errors, s.Declined, s.Unreached, s.Superseded, uint64(len(s.Cells))} {
		b = binary.AppendUvarint(b, min(x, maxCount))
	}
	for _, c := range s.Cells {
		key := uint64(c.Class) << 1
		if c.Warm {
			key |= 1
		}
		for _, x := range [...]uint64{key, c.Served, c.Time, c.Work} {
			b = binary.AppendUvarint(b, min(x, maxCount))
		}
		b = c.Ratios.append(b)
	}
	return b
}

func (r *Ratios) append(b []byte) []byte {
	n := 0
	for _, x := range r {
		if x > 0 {
			n++
		}
	}
	b = append(b, byte(n))
	for i, x := range r {
		if x > 0 {
			b = binary.AppendUvarint(append(b, byte(i)), uint64(x))
		}
	}
	return b
}

// unpack decodes packed stats. Each value is bounded, and all are rejected if any is out of
// bounds.
func unpack(b []byte) (all []Stats, err error) {
	next := func() uint64 {
		x, n := binary.Uvarint(b)
		if n <= 0 || x > maxCount {
			err, b = errPacked, nil
			return 0
		}
		b = b[n:]
		return x
	}
	for len(b) > 0 {
		if len(b) < 8 || len(all) >= MaxEndpoints {
			return nil, errPacked
		}
		s := Stats{ID: ID(binary.BigEndian.Uint64(b))}
		b = b[8:]
		s.LostTime, s.TimedOut, s.Errors, s.Declined, s.Unreached, s.Superseded = next(), next(), next(), next(), next(), next()
		n := next()
		if n > MaxCells {
			return nil, errPacked
		}
		for range n {
			key := next()
			if key > 1<<17-1 {
				return nil, errPacked
			}
			c := Cell{Class: Class(key >> 1), Warm: key&1 == 1, Served: next(), Time: next(), Work: next()}
			for range min(next(), ratioBuckets) {
				at, count := next(), next()
				if at >= ratioBuckets || count > math.MaxUint32 {
					return nil, errPacked
				}
				c.Ratios[at] = uint32(count)
			}
			s.Cells = append(s.Cells, c)
		}
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}
