package http1

import (
	"spokegw/internal/front"
	"spokegw/internal/permit"
)

// evict closes the least valuable connection: first those that have sent nothing, then
// those idle for long, then those that have begun their first request and not completed
// it, and finally other idle ones; among equals the one without transfers for longest.
// So too many silent or slow connections displace each other, and not connections in
// use.
//
// Complete requests are safe, whether or not they have been taken, and so is a later
// request of a connection that has arrived partly: once read, closing would lose it.
// Connections with unread data are spared, too. If no other connection is left, evict
// reports false.
func (t *connTable) evict() bool {
	idleBefore := int64(front.Now() - t.minIdle)
	var worst *clientConn // its mutex is held
	lowest := 0
	for c := range t.conns {
		if !c.mu.TryLock() {
			continue // it is being read
		}
		rank, evictable := c.evictionRank(idleBefore)
		if !evictable || worst != nil && (rank > lowest || rank == lowest && c.lastActive.Load() >= worst.lastActive.Load()) ||
			!c.mayClose(permit.Close{UnreadData: c.readable()}) { // its request has arrived and has not been read yet
			c.mu.Unlock()
			continue
		}
		if worst != nil {
			worst.mu.Unlock()
		}
		worst, lowest = c, rank
	}
	if worst == nil {
		return false
	}
	worst.evicted = true
	worst.mu.Unlock()
	t.remove(worst)
	worst.TCPConn.Close() // blocks until its reader has returned
	return true
}

// evictionRank is the value of the connection to its client, and whether it may be
// evicted; idleBefore is the latest last activity of a connection that counts as idle
// for long. The caller holds its mutex and the table's.
func (c *clientConn) evictionRank(idleBefore int64) (rank int, evictable bool) {
	switch idle := c.idle.Load(); {
	case !c.mayClose(permit.Close{AnswerPending: c.busy}):
		return 0, false
	case !c.receivedAny.Load():
		return 0, true
	case idle && c.lastActive.Load() < idleBefore:
		return 1, true
	case idle:
		return 3, true
	}
	return 2, !c.answered && c.mayClose(permit.Close{AnswerPending: c.requestRead})
}
