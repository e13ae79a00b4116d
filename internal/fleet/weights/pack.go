package weights

import (
	"encoding/binary"
	"errors"
	"math"
)

// Sums are packed as the ID in eight bytes, then unsigned variable-length numbers: lost,
// silent, errors, declined, unreached, overtaken, the number of cells, and of each the class and whether it is
// warm, served, time, work, the number of buckets of ratios that are not empty, and of each
// the place and how many.

var errPacked = errors.New("weights: sums that can't be unpacked")

// mostSeen bounds what one gateway can claim of an endpoint in a report: 2^40 microseconds
// are twelve days.
const mostSeen = 1 << 40

func appendSums(b []byte, s *Stats) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(s.ID))
	for _, x := range [...]uint64{s.LostTime, s.TimedOut, s.Errors, s.Declined, s.Unreached, s.Superseded, uint64(len(s.Cells))} {
		b = binary.AppendUvarint(b, min(x, mostSeen))
	}
	for _, c := range s.Cells {
		key := uint64(c.Class) << 1
		if c.Warm {
			key |= 1
		}
		for _, x := range [...]uint64{key, c.Served, c.Time, c.Work} {
			b = binary.AppendUvarint(b, min(x, mostSeen))
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

// unpack reads what was packed. Everything is bounded, and the whole is refused where
// anything is out of its bounds.
func unpack(b []byte) (all []Stats, err error) {
	next := func() uint64 {
		x, n := binary.Uvarint(b)
		if n <= 0 || x > mostSeen {
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
