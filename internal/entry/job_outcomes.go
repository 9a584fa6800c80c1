package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Result takes outcomes from an agent and acknowledges them.
func (c *JobController) Result(from shard.ID, r *proto.Result) {
	if v := c.agents.byID[from]; v != nil {
		c.agents.Report(v, r.Load)
	}
	s := c.shards.Held(r.Shard)
	if s == nil {
		return
	}
	c.take(s, from, r.Key, r.Digest, r.Outcomes, false)
}

// Records takes what an agent holds of a shard and requeues what it was sent and never got.
func (c *JobController) Records(s *shardState, from shard.ID, records []proto.Record) {
	held := make(map[shard.Key][]proto.Outcome, len(records))
	for _, r := range records {
		held[r.Key] = r.Outcomes
		c.take(s, from, r.Key, r.Digest, r.Outcomes, true)
	}
	for _, j := range slices.Clone(c.live) {
		if j.shard == s.number && j.live() {
			c.requeueMissing(j, from, held[j.key])
		}
	}
}

func (c *JobController) requeueMissing(j *job, from shard.ID, held []proto.Outcome) {
	for i := range j.tasks {
		t := &j.tasks[i]
		known := slices.ContainsFunc(held, func(o proto.Outcome) bool { return o.Index == i })
		if t.state == taskSent && t.imported && base(t.agent) == base(from) && !known {
			t.state = taskPending
			t.tries--
			c.dispatch.Queue(j, i)
		}
	}
}

// take applies outcomes of one job, from a result or from an answer to a fence, and acknowledges the final ones.
func (c *JobController) take(s *shardState, from shard.ID, key shard.Key, digest uint64, outcomes []proto.Outcome, fence bool) {
	j := c.jobs[key]
	if j == nil {
		j = c.add(key, s.number, digest)
	}
	ack := &proto.Ack{Key: key}
	for i := range outcomes {
		o := &outcomes[i]
		if !c.apply(j, from, o) && !fence {
			c.emit(event.Note{Name: "message_wasted", Reason: "doubled", Quiet: true})
		}
		if o.State >= proto.StateDone {
			ack.Indexes = append(ack.Indexes, o.Index)
		}
	}
	if len(ack.Indexes) > 0 {
		c.sendLazy(from, proto.Message{Ack: ack})
	}
}

// apply brings what is known of a task up to date with one outcome and reports whether it told anything new.
func (c *JobController) apply(j *job, from shard.ID, o *proto.Outcome) bool {
	t := j.task(o.Index)
	if t == nil || t.state == taskDone {
		return false
	}
	expected := t.state == taskSent && base(t.agent) == base(from)
	if expected && o.State >= proto.StateDone {
		c.agents.Ended(from, j.kind(), j.decision.Urgent, o)
	}
	if o.State == proto.StateRefused {
		c.applyRefusal(j, t, o, expected)
		return true
	}
	if t.state == taskSent && !expected && o.State != proto.StateDone {
		return false
	}
	t.attempt = max(t.attempt, o.Attempt)
	if !expected {
		t.tries = max(t.tries, o.Attempt)
	}
	t.agent = from
	t.imported = false
	t.state = remember(o)
	t.output = o.Output
	t.dropped = o.Dropped
	if !j.live() {
		return true
	}
	switch t.state {
	case taskDone:
		c.taskDone(j, t)
	case taskFailed:
		c.taskFailed(j, o.Index, t)
	}
	return true
}

func (c *JobController) applyRefusal(j *job, t *task, o *proto.Outcome, expected bool) {
	if !expected || o.Attempt < t.attempt {
		t.attempt = max(t.attempt, o.Attempt)
		return
	}
	t.attempt = o.Attempt
	t.tries--
	t.passed++
	t.state = taskPending
	c.emit(event.Note{Name: "message_wasted", Reason: string(o.Refusal), Quiet: true})
	if j.live() {
		c.dispatch.Queue(j, o.Index)
	}
}

func (c *JobController) taskDone(j *job, t *task) {
	if t.dropped {
		c.fail(j, proto.ReasonLost)
		return
	}
	j.left--
	if j.left == 0 {
		c.complete(j)
	}
}

func (c *JobController) taskFailed(j *job, index int, t *task) {
	if c.mayRepeat(j, t) && c.dispatch.SpendRetry() {
		c.emit(event.Note{Name: "task_retried", Job: j.id(), Count: t.attempt})
		c.dispatch.Queue(j, index)
		return
	}
	c.fail(j, proto.ReasonTaskFailed)
}

// AgentLost gives up what was sent to an agent: repeatable tasks are sent elsewhere, other jobs fail.
func (c *JobController) AgentLost(id shard.ID) {
	for _, j := range slices.Clone(c.live) {
		if !j.live() {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state != taskSent || t.agent != id || !j.live() {
				continue
			}
			if c.mayRepeat(j, t) && c.dispatch.SpendRetry() {
				t.state = taskPending
				c.dispatch.Queue(j, i)
				continue
			}
			c.fail(j, proto.ReasonLost)
		}
	}
}

// AgentRenamed follows an agent that goes on under a new identity.
func (c *JobController) AgentRenamed(from, to shard.ID) {
	for _, j := range c.live {
		for i := range j.tasks {
			if j.tasks[i].state == taskSent && j.tasks[i].agent == from {
				j.tasks[i].agent = to
			}
		}
	}
}

// Resend repeats the starts that an agent has not answered, after its session was opened anew; what a former owner sent
// is left to the fence, which tells whether it arrived.
func (c *JobController) Resend(id shard.ID) {
	for _, j := range c.live {
		if !j.live() || c.shards.Owned(j.shard) == nil {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskSent && t.agent == id && !t.imported {
				c.dispatch.Repeat(j, i)
			}
		}
	}
}
