package entry

import (
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/queue"
	"corianderspur.example/corianderspur/internal/shard"
)

// Each start adds retryPerStart to the retry budget, up to maxRetryBudget.
const (
	retryPerStart  = 0.1
	maxRetryBudget = 20.0
)

type waitingTask struct {
	job   *job
	index int
}

// maxRefusals is the number of times that an urgent task may be refused before it is queued at an agent.
const maxRefusals = 2

type startKey struct {
	key       shard.Key
	agent     shard.ID
	immediate bool
}

// DispatchController queues tasks until an agent has room for them and sends the starts.
type DispatchController struct {
	*common
	agents      *AgentController
	shards      *ShardController
	queue       queue.Fair[waitingTask]
	retryBudget float64
	batch       map[startKey]*proto.Start
	batchOrder  []startKey
}

// NewDispatchController creates a controller with an empty queue and a full retry budget.
func NewDispatchController(c *common, agents *AgentController, shards *ShardController) *DispatchController {
	return &DispatchController{
		common: c, agents: agents, shards: shards, retryBudget: maxRetryBudget, batch: map[startKey]*proto.Start{},
	}
}

// Len returns the number of queued tasks of a class.
func (c *DispatchController) Len(urgent bool) int {
	return c.queue.Len(urgent)
}

// TenantLen returns the number of queued tasks of a tenant.
func (c *DispatchController) TenantLen(tenant string) int {
	return c.queue.TenantLen(tenant)
}

// SpendRetry takes one retry from the budget and reports whether one was left.
func (c *DispatchController) SpendRetry() bool {
	if c.retryBudget < 1 {
		return false
	}
	c.retryBudget--
	return true
}

// Queue adds a task of a job to the queue.
func (c *DispatchController) Queue(j *job, index int) {
	j.tasks[index].state = taskQueued
	urgent := j.decision.Urgent && !c.cfg.Baseline
	c.queue.Push(urgent, c.queueTenant(j), waitingTask{job: j, index: index})
}

func (c *DispatchController) queueTenant(j *job) string {
	if c.cfg.Baseline {
		return ""
	}
	return j.tenant()
}

// Pump sends as many queued tasks as agents have room for, urgent ones first.
func (c *DispatchController) Pump() {
	c.sendClass(true)
	c.sendClass(false)
	c.flush()
}

// sendClass sends the queued tasks of one class; a tenant whose next task finds no agent is skipped.
func (c *DispatchController) sendClass(urgent bool) {
	skipped := 0
	for skipped < c.queue.Tenants(urgent) {
		w, _ := c.queue.Peek(urgent)
		if !w.stillQueued() {
			c.queue.Pop(urgent)
			continue
		}
		if !c.place(w) {
			c.queue.Rotate(urgent)
			skipped++
			continue
		}
		c.queue.Pop(urgent)
		skipped = 0
	}
}

// stillQueued reports whether the task still has to be sent.
func (w waitingTask) stillQueued() bool {
	return w.job.live() && w.job.tasks[w.index].state == taskQueued
}

func (c *DispatchController) place(w waitingTask) bool {
	d := w.job.decision
	if c.shards.Owned(w.job.shard) == nil {
		return false
	}
	pool := c.agents.Eligible(d.Rule, d.Worker)
	if len(pool.agents) == 0 {
		return false
	}
	v := c.chooseAgent(w.job, pool)
	if v == nil {
		return false
	}
	w.job.lastAgent = v
	t := &w.job.tasks[w.index]
	t.state = taskSent
	t.agent = v.id
	t.imported = false
	t.attempt++
	t.sentAttempt = t.attempt
	t.tries++
	w.job.starts++
	c.agents.Sent(v)
	c.retryBudget = min(maxRetryBudget, c.retryBudget+retryPerStart)
	c.addStart(w.job, w.index).Reserve = pool.Reserve(v)
	return true
}

// chooseAgent returns an agent for the next task of a job, or nil.
func (c *DispatchController) chooseAgent(j *job, p *pool) *agentView {
	d := j.decision
	if c.cfg.PackJobs && j.lastAgent != nil && !j.lastAgent.load.Trial && c.agents.hasRoom(p, j.lastAgent, d.Urgent, d.Repeatable) {
		return j.lastAgent
	}
	return c.agents.Choose(p, d.Urgent, d.Repeatable || !c.anyNotOnTrial(p.agents))
}

// anyNotOnTrial reports whether any agent takes tasks and is not on trial after an ejection.
func (c *DispatchController) anyNotOnTrial(list []*agentView) bool {
	for _, v := range list {
		if v.usable() && !v.load.Trial {
			return true
		}
	}
	return false
}

// Repeat sends a start again with the same attempt.
func (c *DispatchController) Repeat(j *job, index int) {
	c.addStart(j, index)
}

// addStart adds a task to the start message for its job and agent and returns the message.
func (c *DispatchController) addStart(j *job, index int) *proto.Start {
	t := &j.tasks[index]
	key := startKey{j.key, t.agent, j.decision.Urgent && !c.cfg.Baseline && t.refusals < maxRefusals}
	s := c.batch[key]
	if s == nil {
		s = &proto.Start{
			Shard: j.shard, Epoch: c.shards.shards[j.shard].epoch, Key: j.key, Job: j.id(), Tenant: j.tenant(),
			Kind: j.kind(), Digest: j.digest, Urgent: j.decision.Urgent, Repeatable: j.decision.Repeatable,
			Immediate: key.immediate, Budget: j.deadline - c.now,
		}
		c.batch[key] = s
		c.batchOrder = append(c.batchOrder, key)
	}
	s.Items = append(s.Items, proto.Item{Index: index, Attempt: t.attempt, Payload: j.content.Tasks[index].Payload})
	return s
}

func (c *DispatchController) flush() {
	for _, key := range c.batchOrder {
		s := c.batch[key]
		c.send(key.agent, proto.Message{Start: s})
		c.emit(event.Note{
			Name: "starts_sent", Job: s.Job, Tenant: s.Tenant, Class: className(s.Urgent), Count: len(s.Items), Peer: key.agent,
			Quiet: true,
		})
	}
	clear(c.batch)
	c.batchOrder = c.batchOrder[:0]
}
