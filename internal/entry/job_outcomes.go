package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Result applies the outcomes that an agent reports and acknowledges them.
func (c *JobController) Result(from shard.ID, r *proto.Result) {
	if v := c.agents.byID[from]; v != nil {
		c.agents.Report(v, r.Load)
	}
	s := c.shards.Held(r.Shard)
	if s == nil {
		return
	}
	c.applyOutcomes(s, from, r.Key, r.Digest, r.Outcomes, false)
}

// Records applies an agent's records of a shard and requeues the tasks that a former owner sent and the agent never
// received.
func (c *JobController) Records(s *shardState, from shard.ID, records []proto.Record) {
	reported := make(map[shard.Key][]proto.Outcome, len(records))
	for _, r := range records {
		reported[r.Key] = r.Outcomes
		c.applyOutcomes(s, from, r.Key, r.Digest, r.Outcomes, true)
	}
	for _, j := range slices.Clone(c.live) {
		if j.shard == s.number && j.live() {
			c.requeueMissing(j, from, reported[j.key])
		}
	}
}

func (c *JobController) requeueMissing(j *job, from shard.ID, reported []proto.Outcome) {
	for i := range j.tasks {
		t := &j.tasks[i]
		known := slices.ContainsFunc(reported, func(o proto.Outcome) bool { return o.Index == i })
		if t.state == taskSent && t.imported && baseID(t.agent) == baseID(from) && !known {
			t.state = taskPending
			t.tries--
			c.dispatch.Queue(j, i)
		}
	}
}

// applyOutcomes applies the outcomes of one job, from a result or an answer to a fence, and acknowledges the final ones.
func (c *JobController) applyOutcomes(
	s *shardState, from shard.ID, key shard.Key, digest uint64, outcomes []proto.Outcome, fromFence bool,
) {
	j := c.jobs[key]
	if j == nil {
		j = c.addJob(key, s.number, digest)
	}
	ack := &proto.Ack{Key: key}
	for i := range outcomes {
		o := &outcomes[i]
		if !c.applyOutcome(j, from, o) && !fromFence {
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

// applyOutcome updates a task from one outcome and reports whether the outcome was new.
func (c *JobController) applyOutcome(j *job, from shard.ID, o *proto.Outcome) bool {
	if o.State == proto.StateDone || o.State == proto.StateFailed {
		j.noteRan(proto.RanYes)
	}
	t := j.task(o.Index)
	if t == nil || t.state == taskDone {
		return false
	}
	expected := t.state == taskSent && baseID(t.agent) == baseID(from)
	if expected && o.State == proto.StateFailed && o.Attempt < t.sentAttempt {
		return false
	}
	if !expected && o.MayHaveRunBefore() {
		j.noteRan(proto.RanUnknown)
	}
	if expected && o.State >= proto.StateDone {
		c.agents.Ended(from, j.kind(), j.decision.Urgent, o)
	}
	if o.State == proto.StateRefused {
		c.applyRefusal(j, t, o, expected)
		return true
	}
	if t.state == taskSent && !expected && o.State != proto.StateDone {
		j.noteRan(proto.RanUnknown)
		return false
	}
	t.attempt = max(t.attempt, o.Attempt)
	if !expected {
		t.tries = max(t.tries, o.Attempt)
	}
	t.agent = from
	t.imported = false
	t.state = taskStateOf(o)
	t.output = o.Output
	t.outputDropped = o.Dropped
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
	t.refusals++
	t.state = taskPending
	c.emit(event.Note{Name: "message_wasted", Reason: string(o.Refusal), Quiet: true})
	if j.live() {
		c.dispatch.Queue(j, o.Index)
	}
}

func (c *JobController) taskDone(j *job, t *task) {
	if t.outputDropped {
		c.fail(j, proto.ReasonLost)
		return
	}
	j.remaining--
	if j.remaining == 0 {
		c.complete(j)
	}
}

func (c *JobController) taskFailed(j *job, index int, t *task) {
	if c.mayRetry(j, t) && c.dispatch.SpendRetry() {
		c.emit(event.Note{Name: "task_retried", Job: j.id(), Count: t.attempt})
		c.dispatch.Queue(j, index)
		return
	}
	c.fail(j, proto.ReasonTaskFailed)
}

// AgentLost gives up the tasks sent to an agent: those that may be retried are queued again, the jobs of others fail.
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
			if c.mayRetry(j, t) && c.dispatch.SpendRetry() {
				j.noteRan(proto.RanUnknown)
				t.state = taskPending
				c.dispatch.Queue(j, i)
				continue
			}
			c.fail(j, proto.ReasonLost)
		}
	}
}

// AgentRenamed updates the tasks of an agent that continues under a new identity.
func (c *JobController) AgentRenamed(from, to shard.ID) {
	for _, j := range c.live {
		for i := range j.tasks {
			if j.tasks[i].state == taskSent && j.tasks[i].agent == from {
				j.tasks[i].agent = to
			}
		}
	}
}

// Resend repeats the starts that an agent has not answered, after its session was reopened. Starts sent by a former owner
// are not repeated: the answer to the fence shows whether they arrived.
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
