package companion

import "testing"

// A timer that fires while a Collect begins leaves the entry its whole grace period
// after that Collect.
func TestExpiryDuringCollectKeepsGrace(t *testing.T) {
	expired := false
	onExpire := func(*eventQueue) { expired = true }
	q := newEventQueue(onExpire)
	defer q.idleTimer.Stop()
	q.beginCollect()
	q.expire(onExpire)
	q.endCollect()
	q.expire(onExpire)
	if expired || q.ctx.Err() != nil {
		t.Error("the queue of an entry that had collected was closed without a grace period")
	}
	q.expire(onExpire)
	if !expired || q.ctx.Err() == nil {
		t.Error("the queue is still open after the grace period")
	}
}
