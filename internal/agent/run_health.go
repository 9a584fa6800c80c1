package agent

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// judge counts failures of the backend server in a row and pauses the agent when there are too many.
func (c *RunController) judge(v Verdict) bool {
	if v == VerdictDone || v == VerdictTaskFailed {
		changed := c.trial
		c.failures = 0
		c.trial = false
		c.pause = c.cfg.EjectFor
		return changed
	}
	c.failures++
	if c.ejected || (!c.trial && c.failures < c.cfg.EjectAfter) {
		return false
	}
	c.ejected = true
	c.trial = false
	c.until = c.now + c.pause
	c.pause = min(c.pause*2, c.cfg.EjectMax)
	c.emit(event.Note{Name: "backend_server_ejected", Count: c.failures, Took: c.until - c.now})
	c.refuseQueued(proto.ReasonNoWorker)
	return true
}

// Tick watches the backend server, ends pauses and finishes a planned stop; it reports a change of readiness.
func (c *RunController) Tick() bool {
	changed := c.lapsed == c.lease.Current()
	c.lapsed = !c.lease.Current()
	if c.announced && c.now-c.lastSeen > c.cfg.BackendTimeout {
		c.announced = false
		c.emit(event.Note{Name: "backend_server_silent"})
		c.refuseQueued(proto.ReasonNoWorker)
		changed = true
	}
	if c.ejected && c.now >= c.until {
		c.ejected = false
		c.trial = true
		changed = true
	}
	c.finishStop()
	return changed
}

func (c *RunController) finishStop() {
	if !c.stopping || c.gone {
		return
	}
	late := c.now-c.stopAt > c.cfg.DrainLimit
	if !late && (c.running > 0 || len(c.records.unacked) > 0) {
		return
	}
	if !late && c.awaitCustody() {
		return
	}
	c.gone = true
	c.lease.Farewell(c.handed)
	c.emit(event.Exit{})
}

// awaitCustody asks for another agent to keep the records, which are final now, and reports whether to wait for it.
func (c *RunController) awaitCustody() bool {
	if c.custodyAt == 0 && c.lease.Peer() != "" {
		c.custodyAt = c.now
		c.lease.joined = false
		c.send(c.lease.Peer(), proto.Message{Custody: &proto.Custody{Of: c.id, Records: c.records.Export()}})
	}
	return c.custodyAt != 0 && !c.handed && c.now-c.custodyAt < custodyTimeout
}

// Taken notes that another agent keeps the records of this one.
func (c *RunController) Taken(t *proto.Taken) {
	c.handed = c.handed || (t.Of == c.id && c.running == 0)
}

// custodyTimeout is the longest wait for another agent to take the records, in milliseconds.
const custodyTimeout = 2 * clock.Second
