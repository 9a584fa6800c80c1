package agent

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/queue"
	"corianderspur.example/corianderspur/internal/shard"
)

type queuedTask struct {
	key        shard.Key
	job        string
	tenant     string
	item       proto.Item
	urgent     bool
	repeatable bool
	epoch      uint64
	accepted   clock.Millis
	deadline   clock.Millis
	cancelled  bool
}

// RunController queues accepted tasks and starts them as slots of the backend server become free.
type RunController struct {
	*common
	lease   *LeaseController
	records *RecordController

	queue        queue.Fair[*queuedTask]
	queuedByJob  map[shard.Key][]*queuedTask
	queuedCount  int
	urgentQueued int
	running      int
	// reserve is the number of slots that the latest start asked to keep free for urgent tasks.
	reserve   int
	startedAt map[runKey]clock.Millis

	announced     bool
	slots         int
	lastAnnounced clock.Millis
	leaving       bool
	stopping      bool
	stopStartedAt clock.Millis
	exited        bool
	// leaseExpired is whether the lease had expired at the last tick.
	leaseExpired bool
	// transferRequestedAt is when another agent was asked to take over the records, or zero.
	transferRequestedAt clock.Millis
	transferred         bool

	consecutiveFailures int
	ejected             bool
	trial               bool
	ejectedUntil        clock.Millis
	nextEjectFor        clock.Millis
}

type runKey struct {
	key   shard.Key
	index int
}

// NewRunController creates a controller that waits for the backend server to announce itself.
func NewRunController(c *common, lease *LeaseController, records *RecordController) *RunController {
	r := &RunController{
		common: c, lease: lease, records: records,
		queuedByJob: map[shard.Key][]*queuedTask{}, startedAt: map[runKey]clock.Millis{}, nextEjectFor: c.cfg.EjectFor,
	}
	records.load = r.Load
	return r
}

// Load returns the load of the backend server and whether it accepts tasks.
func (c *RunController) Load() proto.Load {
	slots := c.slots
	if !c.announced {
		slots = 0
	}
	return proto.Load{
		Slots: slots, Running: c.running, Queued: c.queuedCount, UrgentQueued: c.urgentQueued,
		Leaving: c.leaving || c.stopping, Ejected: c.ejected, Trial: c.trial, Lapsed: !c.lease.Current(),
	}
}

// Announce handles an announcement of the backend server, which it repeats while it is alive.
func (c *RunController) Announce(e BackendAnnounced) {
	first := !c.announced
	c.announced = true
	c.leaving = false
	c.slots = e.Slots
	c.lastAnnounced = c.now
	if first {
		c.emit(event.Note{Name: "backend_server_announced", Count: e.Slots})
		c.lease.PingAll(c.Load())
	}
}

// Leave stops accepting tasks and refuses the queued ones: permanently if the agent stops, else until the next
// announcement of the backend server.
func (c *RunController) Leave(stop bool) {
	c.leaving = true
	if stop && !c.stopping {
		c.stopping = true
		c.stopStartedAt = c.now
	}
	c.refuseQueued(proto.ReasonStopping)
}

// Start accepts or refuses each task of a message, or sends its outcome again if the task is already known.
func (c *RunController) Start(s *proto.Start) {
	c.reserve = s.Reserve
	r := c.records.Open(s)
	refusal := c.lease.Refusal(s)
	if r.digest != s.Digest {
		refusal = proto.ReasonConflict
	}
	repeat := false
	for _, item := range s.Items {
		if c.alreadyHandled(r, item, s.Repeatable) {
			repeat = true
			continue
		}
		c.accept(r, s, item, refusal)
	}
	if repeat {
		c.records.Repeat(r)
	}
}

// alreadyHandled reports whether the agent's record of a task rules out starting this attempt.
func (c *RunController) alreadyHandled(r *jobRecord, item proto.Item, repeatable bool) bool {
	t := r.task(item.Index)
	if t == nil {
		return false
	}
	switch proto.State(t.state) {
	case proto.StateRefused:
		return item.Attempt <= int(t.attempt)
	case proto.StateFailed:
		return !repeatable || item.Attempt <= int(t.attempt)
	}
	return true
}

func (c *RunController) accept(r *jobRecord, s *proto.Start, item proto.Item, refusal proto.Reason) {
	t := r.task(item.Index)
	if t == nil {
		r.tasks = append(r.tasks, taskRecord{})
		t = &r.tasks[len(r.tasks)-1]
	}
	t.ranBefore = t.ranBefore || proto.State(t.state) == proto.StateFailed
	t.set(proto.Outcome{Index: item.Index, Attempt: item.Attempt, State: proto.StateQueued})
	t.acked = false
	if refusal == "" {
		refusal = c.loadRefusal(s)
	}
	if refusal != "" {
		c.refuse(r, t, refusal)
		return
	}
	r.active++
	c.adjustQueued(s.Urgent, 1)
	q := &queuedTask{
		key: s.Key, job: s.Job, tenant: s.Tenant, item: item, urgent: s.Urgent, repeatable: s.Repeatable,
		epoch: s.Epoch, accepted: c.now, deadline: c.now + s.Budget,
	}
	c.queue.Push(s.Urgent, s.Tenant, q)
	c.queuedByJob[s.Key] = append(c.queuedByJob[s.Key], q)
}

func (c *RunController) adjustQueued(urgent bool, n int) {
	c.queuedCount += n
	if urgent {
		c.urgentQueued += n
	}
}

func (c *RunController) loadRefusal(s *proto.Start) proto.Reason {
	switch {
	case c.leaving || c.stopping:
		return proto.ReasonStopping
	case !c.announced || c.ejected:
		return proto.ReasonNoWorker
	case c.trial && c.running+c.queuedCount > 0:
		return proto.ReasonOverload
	case s.Immediate && c.running+c.urgentQueued >= c.slots:
		return proto.ReasonOverload
	case !s.Urgent && c.queuedCount >= c.cfg.QueueLimit:
		return proto.ReasonOverload
	case c.queuedCount >= c.cfg.QueueLimit*2:
		return proto.ReasonOverload
	}
	return ""
}

func (c *RunController) refuse(r *jobRecord, t *taskRecord, reason proto.Reason) {
	o := t.outcome()
	o.State = proto.StateRefused
	o.Refusal = reason
	c.records.Settle(r, t, o)
	c.emit(event.Note{Name: "start_refused", Reason: string(reason), Quiet: true})
}

// StartQueued starts queued tasks while slots are free.
func (c *RunController) StartQueued() {
	for c.canStart() {
		q, ok := c.queue.Next(c.running < max(1, c.slots-c.reserve))
		if !ok {
			return
		}
		if !q.cancelled {
			c.start(q)
		}
	}
}

func (c *RunController) canStart() bool {
	if !c.announced || c.leaving || c.stopping || c.ejected {
		return false
	}
	if c.trial {
		return c.running == 0
	}
	return c.running < c.slots
}

func (c *RunController) start(q *queuedTask) {
	c.dequeue(q)
	r := c.records.jobs[q.key]
	t := r.task(q.item.Index)
	if c.now >= q.deadline {
		c.refuse(r, t, proto.ReasonDeadline)
		return
	}
	if !q.repeatable && !c.lease.Current() {
		c.refuse(r, t, proto.ReasonStale)
		return
	}
	r.active++
	r.lastUsed = c.now
	t.state = uint8(proto.StateRunning)
	c.running++
	c.startedAt[runKey{q.key, q.item.Index}] = c.now
	c.emit(event.Note{
		Name: "task_started", Job: q.job, Tenant: q.tenant, Class: className(q.urgent), Took: c.now - q.accepted, Quiet: true,
	})
	c.emit(Run{
		Key: q.key, Job: q.job, Index: q.item.Index, Attempt: q.item.Attempt,
		Payload: q.item.Payload, Budget: q.deadline - c.now,
	})
}

// dequeue marks a task as no longer queued and updates the counts; the queue skips it later.
func (c *RunController) dequeue(q *queuedTask) {
	q.cancelled = true
	c.adjustQueued(q.urgent, -1)
	c.records.jobs[q.key].active--
	tasks := c.queuedByJob[q.key]
	for i := range tasks {
		if tasks[i] == q {
			tasks = append(tasks[:i], tasks[i+1:]...)
			break
		}
	}
	if len(tasks) == 0 {
		delete(c.queuedByJob, q.key)
		return
	}
	c.queuedByJob[q.key] = tasks
}

// Done handles the end of a run and reports whether the agent's readiness for tasks changed.
func (c *RunController) Done(e RunDone) bool {
	key := runKey{e.Key, e.Index}
	since, running := c.startedAt[key]
	r := c.records.jobs[e.Key]
	if !running || r == nil {
		return false
	}
	delete(c.startedAt, key)
	c.running--
	r.active--
	t := r.task(e.Index)
	o := t.outcome()
	o.RunTime = c.now - since
	o.Output = e.Output
	o.State = stateOf(e.Verdict)
	if o.State == proto.StateRefused {
		o.Refusal = proto.ReasonNoWorker
	}
	changed := c.updateHealth(e.Verdict)
	c.records.Settle(r, t, o)
	return changed
}

func stateOf(v Verdict) proto.State {
	switch v {
	case VerdictDone:
		return proto.StateDone
	case VerdictNotSent:
		return proto.StateRefused
	}
	return proto.StateFailed
}

func (c *RunController) refuseQueued(reason proto.Reason) {
	for {
		q, ok := c.queue.Next(true)
		if !ok {
			return
		}
		if q.cancelled {
			continue
		}
		c.dequeue(q)
		r := c.records.jobs[q.key]
		c.refuse(r, r.task(q.item.Index), reason)
	}
}

// Revoke refuses the queued tasks of a job and aborts its running ones.
func (c *RunController) Revoke(key shard.Key) {
	r := c.records.jobs[key]
	if r == nil {
		return
	}
	for len(c.queuedByJob[key]) > 0 {
		q := c.queuedByJob[key][0]
		c.dequeue(q)
		c.refuse(r, r.task(q.item.Index), proto.ReasonCancelled)
	}
	if r.active > 0 {
		c.emit(Abort{Key: key})
	}
}

func className(urgent bool) string {
	if urgent {
		return "urgent"
	}
	return "normal"
}
