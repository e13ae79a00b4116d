package core

import (
	"time"

	"spokegw/internal/figures"
	"spokegw/policy"
)

// ClientDisconnected reports that reading from the client has ended. It may be called at any time
// and from any goroutine; it does not change an answer that was already given. Reading also ends by
// a deadline or an error of this sidecar's own, so the request is abandoned only if the client's
// socket has ended too.
func (x *Exchange) ClientDisconnected() {
	evidence := figures.StreamCancelled
	if x.head.Client != nil {
		if !x.connectionClosed() {
			x.recordUnconfirmed()
			return
		}
		evidence = figures.ConnectionEnded
	}
	x.disconnect(x.service, evidence)
}

// connectionClosed reports whether the client has disconnected, even if the notification is
// still pending: after a stall, the notification and the end of an attempt may be handled in
// either order.
func (x *Exchange) connectionClosed() bool {
	return x.head.Client != nil && x.head.Client.Disconnected()
}

// disconnect ends a request whose client has disconnected, before or after the decision module
// has received the request.
func (x *Exchange) disconnect(s *Service, evidence figures.Disconnect) {
	s.event(func(b *policy.Balancer, now time.Duration) []policy.Action {
		if x.disconnected || x.call != nil && x.call.done {
			return nil
		}
		x.disconnected, x.evidence = true, evidence
		if x.call == nil {
			return nil
		}
		s.disconnected(x.call, evidence)
		return b.ClientDisconnected(now, x.call.id)
	})
}

// disconnected completes a call without an answer.
func (s *Service) disconnected(c *call, evidence figures.Disconnect) {
	if !c.done {
		c.exchange.evidence = evidence
	}
	s.refundUnsent(c)
	s.conclude(c, Answer{})
}

// DropUnanswered ends an exchange without an answer, before it was handed to Do: its client has
// disconnected, or its connection was evicted.
func (x *Exchange) DropUnanswered(evidence figures.Disconnect) {
	x.recordDisconnect(evidence)
	x.Drop(nil)
}

// recordDisconnect counts and logs a request that ends without an answer.
func (x *Exchange) recordDisconnect(evidence figures.Disconnect) {
	x.service.figures.Disconnects[evidence].Add(1)
	x.service.log.Debug("request ended without an answer", "request", x.head.Header.Get("Req-Id"), "class", x.slot.name, "evidence", evidence)
}

// recordUnconfirmed counts and logs that reading from a client failed whose connection is open.
func (x *Exchange) recordUnconfirmed() {
	x.service.figures.Disconnects[figures.Unconfirmed].Add(1)
	x.service.log.Warn("reading from a client failed, its connection is open", "request", x.head.Header.Get("Req-Id"), "class", x.slot.name)
}
