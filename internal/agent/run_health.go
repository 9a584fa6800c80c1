package agent

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// updateHealth ejects the backend server after too many consecutive failures or a failed trial, and reports a change of
// readiness.
func (c *RunController) updateHealth(v Verdict) bool {
	if v == VerdictDone || v == VerdictTaskFailed {
		changed := c.trial
		c.consecutiveFailures = 0
		c.trial = false
		c.nextEjectFor = c.cfg.EjectFor
		return changed
	}
	c.consecutiveFailures++
	if c.ejected || (!c.trial && c.consecutiveFailures < c.cfg.EjectAfter) {
		return false
	}
	c.ejected = true
	c.trial = false
	c.ejectedUntil = c.now + c.nextEjectFor
	c.nextEjectFor = min(c.nextEjectFor*2, c.cfg.EjectMax)
	c.emit(event.Note{Name: "backend_server_ejected", Count: c.consecutiveFailures, Took: c.ejectedUntil - c.now})
	c.refuseQueued(proto.ReasonNoWorker)
	return true
}

// Tick detects a silent backend server, ends ejections and finishes a planned stop; it reports a change of readiness.
func (c *RunController) Tick() bool {
	changed := c.leaseExpired == c.lease.Current()
	c.leaseExpired = !c.lease.Current()
	if c.announced && c.now-c.lastAnnounced > c.cfg.BackendTimeout {
		c.announced = false
		c.emit(event.Note{Name: "backend_server_silent"})
		c.refuseQueued(proto.ReasonNoWorker)
		changed = true
	}
	if c.ejected && c.now >= c.ejectedUntil {
		c.ejected = false
		c.trial = true
		changed = true
	}
	c.finishStop()
	return changed
}

func (c *RunController) finishStop() {
	if !c.stopping || c.exited {
		return
	}
	timedOut := c.now-c.stopStartedAt > c.cfg.DrainLimit
	if !timedOut && (c.running > 0 || len(c.records.unacked) > 0) {
		return
	}
	if !timedOut && c.awaitTransfer() {
		return
	}
	c.exited = true
	c.lease.SendGone(c.transferred)
	c.emit(event.Exit{})
}

// awaitTransfer asks another agent to take over the records, which are final now, and reports whether to wait for it.
func (c *RunController) awaitTransfer() bool {
	if c.transferRequestedAt == 0 && c.lease.Peer() != "" {
		c.transferRequestedAt = c.now
		c.lease.registered = false
		c.send(c.lease.Peer(), proto.Message{RecordTransfer: &proto.RecordTransfer{Of: c.id, Records: c.records.Export()}})
	}
	return c.transferRequestedAt != 0 && !c.transferred && c.now-c.transferRequestedAt < transferTimeout
}

// TransferConfirmed handles the confirmation that another agent keeps the records of this one.
func (c *RunController) TransferConfirmed(t *proto.RecordTransferAck) {
	c.transferred = c.transferred || (t.Of == c.id && c.running == 0)
}

// transferTimeout is the longest wait for another agent to take over the records, in milliseconds.
const transferTimeout = 2 * clock.Second
