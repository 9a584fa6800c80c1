package disp

import (
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// proof says what shows that a run of a task is not at work and never will be. A task is sent again only on a proof.
type proof struct {
	name string
	// returned says that the run never began for want of room or readiness.
	returned bool
}

var (
	// notInInventory: the agent's list of runs covers the order and lacks the run, or the order was lost with its session.
	notInInventory = proof{name: "not_in_inventory"}
	// leaseLapsed: every lease under which the run could be at work has lapsed.
	leaseLapsed = proof{name: "lease_lapsed"}
	// agentRestarted: the agent's next incarnation has stopped what it found, and its fencing token keeps the rest from starting.
	agentRestarted = proof{name: "agent_restarted"}
)

// reportedEnd is the proof that an agent gives by reporting the end of a run.
func reportedEnd(e proto.End) proof {
	return proof{name: string(e.How), returned: e.How == proto.EndNoRoom || e.How == proto.EndNotBegun || e.How == proto.EndOutdated}
}

// inventoryProof returns the proof that an inventory of an agent gives for a task that it lacks, and whether it gives any: an order
// that was under way to the agent when it made the list may still begin.
func (v *agentView) inventoryProof(t *task) (p proof, ok bool) {
	return notInInventory, t.state == lost || t.seq <= v.ackedSeq
}

// requeue puts a task back into the wait queue on the proof that its run is over. Runs that an agent returned are only counted.
func (m *Machine) requeue(j *job, t *task, p proof) {
	m.note(event.Note{
		Name: "task_requeued", Job: t.name, Class: j.Queue, Reason: p.name, Peer: t.agent, Run: t.run, Seq: t.seq, Took: m.now - j.received, Quiet: p.returned,
	})
	t.resent = t.resent || !p.returned
	t.state = waiting
	t.agent = ""
	m.waitQueue.Put(j.queued)
	m.placementDue = true
}
