package hardware

import (
	"time"

	"spokegw/policy"
)

// Server is one endpoint.
type Server struct {
	Kind    int
	Listed  float64 // weight
	Workers int
	Speed   float64 // of one worker
	Queue   int     // that may wait
	Fails   float64 // part of the requests that it answers with an error at once
	Site    string

	// Left is the part of the machine that neighbours leave; nil: all.
	Left func(now time.Duration) float64

	busy    int
	waiting []*job
	dead    bool // it is out of reach
	leaving bool // it drains
	life    int  // increases when what it had is lost
	started time.Duration
	second  time.Duration // of which got is what it was sent, while cold
	got     int
}

// Capacity is the work that it can do in a second.
func (s *Server) Capacity(now time.Duration) float64 {
	c := float64(s.Workers) * s.Speed * (1 - s.Fails)
	if s.Left != nil {
		c *= s.Left(now)
	}
	if s.dead {
		return 0
	}
	return c * s.warmth(now)
}

type job struct {
	call      *call
	server    *Server
	n, at     int
	begun     time.Duration
	cancelled bool
	ended     bool
	end       func(policy.Result)
}

// network is how long one way between a gateway and an endpoint takes.
const network = 500 * time.Microsecond

// reach has an attempt come to its server.
func (l *Lab) reach(j *job) {
	s := j.server
	l.fall(j.at)
	switch {
	case j.cancelled:
	case s.dead && j.at%2 == 0: // it says nothing
	case s.dead:
		l.After(unconnected, func() {
			if !j.ended {
				j.end(policy.NoConnection)
			}
		})
	case l.Rand.Float64() < s.Fails:
		l.answer(j, policy.Errored)
	case s.busy < s.Workers:
		l.work(j)
	case len(s.waiting) >= s.Queue:
		l.answer(j, policy.Declined)
	default:
		s.waiting = append(s.waiting, j)
	}
}

func (l *Lab) answer(j *job, r policy.Result) {
	l.After(network, func() {
		if !j.ended {
			j.end(r)
		}
	})
}

// work has a worker do an attempt's work, and what waits after it.
func (l *Lab) work(j *job) {
	s := j.server
	s.busy++
	speed, life := s.Speed*s.warmth(l.Now), s.life
	if s.Left != nil {
		speed *= s.Left(l.Now)
	}
	l.After(time.Duration(j.call.work/speed*float64(time.Second)), func() {
		if s.life != life {
			return
		}
		s.busy--
		l.answer(j, policy.Served)
		for len(s.waiting) > 0 && s.busy < s.Workers {
			next := s.waiting[0]
			if s.waiting = s.waiting[1:]; !next.cancelled {
				l.work(next)
			}
		}
	})
}
