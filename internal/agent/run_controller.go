package agent

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/queue"
	"corianderspur.example/corianderspur/internal/shard"
)

type waiting struct {
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

	queue   queue.Fair[*waiting]
	queued  map[shard.Key][]*waiting
	length  int
	urgent  int
	running int
	// reserve is the number of slots that owners want kept free for urgent tasks.
	reserve int
	started map[runKey]clock.Millis

	announced bool
	slots     int
	lastSeen  clock.Millis
	leaving   bool
	stopping  bool
	stopAt    clock.Millis
	gone      bool
	// lapsed is whether the lease had lapsed when it was looked at last.
	lapsed bool
	// custodyAt is when another agent was asked to keep the records, or zero.
	custodyAt clock.Millis
	handed    bool

	failures int
	ejected  bool
	trial    bool
	until    clock.Millis
	pause    clock.Millis
}

type runKey struct {
	key   shard.Key
	index int
}

// NewRunController creates a controller that waits for the backend server to announce itself.
func NewRunController(c *common, lease *LeaseController, records *RecordController) *RunController {
	r := &RunController{
		common: c, lease: lease, records: records,
		queued: map[shard.Key][]*waiting{}, started: map[runKey]clock.Millis{}, pause: c.cfg.EjectFor,
	}
	records.load = r.Load
	return r
}

// Load returns how busy the backend server is.
func (c *RunController) Load() proto.Load {
	slots := c.slots
	if !c.announced {
		slots = 0
	}
	return proto.Load{
		Slots: slots, Running: c.running, Queued: c.length, UrgentQueued: c.urgent,
		Leaving: c.leaving || c.stopping, Ejected: c.ejected, Trial: c.trial, Lapsed: !c.lease.Current(),
	}
}

// Announce takes a sign of life of the backend server.
func (c *RunController) Announce(e BackendAnnounced) {
	fresh := !c.announced
	c.announced = true
	c.leaving = false
	c.slots = e.Slots
	c.lastSeen = c.now
	if fresh {
		c.emit(event.Note{Name: "backend_server_announced", Count: e.Slots})
		c.lease.PingAll(c.Load())
	}
}

// Leave stops taking new tasks: for good if the agent stops, else until the next announcement.
func (c *RunController) Leave(stop bool) {
	c.leaving = true
	if stop && !c.stopping {
		c.stopping = true
		c.stopAt = c.now
	}
	c.refuseQueued(proto.ReasonStopping)
}

// Start accepts, refuses or repeats the outcome of each task of a message.
func (c *RunController) Start(s *proto.Start) {
	c.reserve = s.Reserve
	r := c.records.Open(s)
	refusal := c.lease.Refusal(s)
	if r.digest != s.Digest {
		refusal = proto.ReasonConflict
	}
	repeat := false
	for _, item := range s.Items {
		if c.known(r, item, s.Repeatable) {
			repeat = true
			continue
		}
		c.accept(r, s, item, refusal)
	}
	if repeat {
		c.records.Repeat(r)
	}
}

// known reports whether the agent has a record that forbids a start of this attempt.
func (c *RunController) known(r *jobRecord, item proto.Item, repeatable bool) bool {
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
	t.set(proto.Outcome{Index: item.Index, Attempt: item.Attempt, State: proto.StateQueued})
	t.acked = false
	if refusal == "" {
		refusal = c.busy(s)
	}
	if refusal != "" {
		c.refuse(r, t, refusal)
		return
	}
	r.active++
	c.count(s.Urgent, 1)
	w := &waiting{
		key: s.Key, job: s.Job, tenant: s.Tenant, item: item, urgent: s.Urgent, repeatable: s.Repeatable,
		epoch: s.Epoch, accepted: c.now, deadline: c.now + s.Budget,
	}
	c.queue.Push(s.Urgent, s.Tenant, w)
	c.queued[s.Key] = append(c.queued[s.Key], w)
}

func (c *RunController) count(urgent bool, n int) {
	c.length += n
	if urgent {
		c.urgent += n
	}
}

func (c *RunController) busy(s *proto.Start) proto.Reason {
	switch {
	case c.leaving || c.stopping:
		return proto.ReasonStopping
	case !c.announced || c.ejected:
		return proto.ReasonNoWorker
	case c.trial && c.running+c.length > 0:
		return proto.ReasonOverload
	case s.Now && c.running+c.urgent >= c.slots:
		return proto.ReasonOverload
	case !s.Urgent && c.length >= c.cfg.QueueLimit:
		return proto.ReasonOverload
	case c.length >= c.cfg.QueueLimit*2:
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

// Pump starts queued tasks while slots are free.
func (c *RunController) Pump() {
	for c.canStart() {
		w, ok := c.queue.Next(c.running < max(1, c.slots-c.reserve))
		if !ok {
			return
		}
		if !w.cancelled {
			c.start(w)
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

func (c *RunController) start(w *waiting) {
	c.unqueue(w)
	r := c.records.jobs[w.key]
	t := r.task(w.item.Index)
	if c.now >= w.deadline {
		c.refuse(r, t, proto.ReasonDeadline)
		return
	}
	if !w.repeatable && !c.lease.Current() {
		c.refuse(r, t, proto.ReasonStale)
		return
	}
	r.active++
	r.touched = c.now
	t.state = uint8(proto.StateRunning)
	c.running++
	c.started[runKey{w.key, w.item.Index}] = c.now
	c.emit(event.Note{
		Name: "task_started", Job: w.job, Tenant: w.tenant, Class: className(w.urgent), Took: c.now - w.accepted, Quiet: true,
	})
	c.emit(Run{
		Key: w.key, Job: w.job, Index: w.item.Index, Attempt: w.item.Attempt,
		Payload: w.item.Payload, Budget: w.deadline - c.now,
	})
}

// unqueue removes a task from the bookkeeping of the queue.
func (c *RunController) unqueue(w *waiting) {
	w.cancelled = true
	c.count(w.urgent, -1)
	c.records.jobs[w.key].active--
	list := c.queued[w.key]
	for i := range list {
		if list[i] == w {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.queued, w.key)
		return
	}
	c.queued[w.key] = list
}

// Done takes the end of a run and reports whether the agent's readiness for tasks changed.
func (c *RunController) Done(e RunDone) bool {
	key := runKey{e.Key, e.Index}
	since, running := c.started[key]
	r := c.records.jobs[e.Key]
	if !running || r == nil {
		return false
	}
	delete(c.started, key)
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
	changed := c.judge(e.Verdict)
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
		w, ok := c.queue.Next(true)
		if !ok {
			return
		}
		if w.cancelled {
			continue
		}
		c.unqueue(w)
		r := c.records.jobs[w.key]
		c.refuse(r, r.task(w.item.Index), reason)
	}
}

// Revoke refuses the queued tasks of a job and stops its running ones.
func (c *RunController) Revoke(key shard.Key) {
	r := c.records.jobs[key]
	if r == nil {
		return
	}
	for len(c.queued[key]) > 0 {
		w := c.queued[key][0]
		c.unqueue(w)
		c.refuse(r, r.task(w.item.Index), proto.ReasonCancelled)
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
