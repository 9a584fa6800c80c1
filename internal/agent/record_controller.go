package agent

import (
	"bytes"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/queue"
	"corianderspur.example/corianderspur/internal/shard"
)

// resendAfter is the time after which an unacknowledged outcome is sent again, in milliseconds.
const resendAfter = clock.Second

// taskRecord is a compact form of proto.Outcome, because agents keep tens of thousands of them.
type taskRecord struct {
	index   int32
	attempt int32
	runTime int32
	state   uint8
	refusal uint8
	dropped bool
	acked   bool
	// held is whether the outcome is held back to be sent with others of the job.
	held bool
	// ranBefore is whether an earlier attempt may have run.
	ranBefore bool
	output    []byte
}

// refusalReasons lists the reasons for which agents refuse starts; taskRecord.refusal is an index into it.
var refusalReasons = []proto.Reason{
	"", proto.ReasonStale, proto.ReasonConflict, proto.ReasonStopping, proto.ReasonNoWorker, proto.ReasonOverload,
	proto.ReasonDeadline, proto.ReasonCancelled,
}

func (t *taskRecord) set(o proto.Outcome) {
	t.index = int32(o.Index)
	t.attempt = int32(o.Attempt)
	t.runTime = int32(o.RunTime)
	t.state = uint8(o.State)
	t.refusal = uint8(max(0, slices.Index(refusalReasons, o.Refusal)))
	t.dropped = o.Dropped
	t.output = o.Output
}

func (t *taskRecord) outcome() proto.Outcome {
	o := proto.Outcome{
		Index: int(t.index), Attempt: int(t.attempt), State: proto.State(t.state), Refusal: refusalReasons[t.refusal],
		RunTime: clock.Millis(t.runTime), Output: t.output, Dropped: t.dropped,
	}
	switch {
	case o.State == proto.StateDone || o.State == proto.StateFailed:
	case t.ranBefore:
		o.RanBefore = proto.RanUnknown
	case t.attempt > 1:
		o.RanBefore = proto.RanNo
	}
	return o
}

func (t *taskRecord) final() bool {
	return t.state >= uint8(proto.StateDone)
}

type jobRecord struct {
	key    shard.Key
	digest uint64
	shard  int32
	// active counts the queued and running tasks of the job.
	active    int32
	tasks     []taskRecord
	lastUsed  clock.Millis
	heldSince clock.Millis
	sentAt    clock.Millis
}

func (r *jobRecord) task(index int) *taskRecord {
	for i := range r.tasks {
		if int(r.tasks[i].index) == index {
			return &r.tasks[i]
		}
	}
	return nil
}

type keptOutput struct {
	key   shard.Key
	index int
	size  int
}

// RecordController records, for the retention time, what the agent did with each task.
type RecordController struct {
	*common
	lease       *LeaseController
	jobs        map[shard.Key]*jobRecord
	unacked     map[shard.Key]struct{}
	expiry      queue.Expiry[shard.Key]
	keptOutputs []keptOutput
	keptBytes   int
	load        func() proto.Load
}

// NewRecordController creates a controller without records.
func NewRecordController(c *common, lease *LeaseController) *RecordController {
	return &RecordController{
		common: c, lease: lease, jobs: map[shard.Key]*jobRecord{}, unacked: map[shard.Key]struct{}{},
		load: func() proto.Load { return proto.Load{} },
	}
}

// Open returns the record of a job, creating it if there is none.
func (c *RecordController) Open(s *proto.Start) *jobRecord {
	r := c.jobs[s.Key]
	if r == nil {
		r = &jobRecord{key: s.Key, shard: int32(s.Shard), digest: s.Digest, tasks: make([]taskRecord, 0, len(s.Items))}
		c.jobs[s.Key] = r
		c.expiry.Add(s.Key, c.now)
	}
	r.lastUsed = c.now
	return r
}

// Settle stores the final outcome of a task and sends it, or holds it back to be sent with others of its job.
func (c *RecordController) Settle(r *jobRecord, t *taskRecord, o proto.Outcome) {
	t.set(o)
	t.acked = false
	t.held = true
	r.lastUsed = c.now
	if len(o.Output) > 0 {
		c.keptOutputs = append(c.keptOutputs, keptOutput{key: r.key, index: o.Index, size: len(o.Output)})
		c.keptBytes += len(o.Output)
	}
	if r.heldSince == 0 {
		r.heldSince = c.now
	}
	c.unacked[r.key] = struct{}{}
	if c.cfg.HoldResults == 0 || r.active == 0 || o.State != proto.StateDone {
		c.flush(r, false)
	}
}

// flush sends the outcomes that are held back and, if resend is set, also those that were sent but not acknowledged.
func (c *RecordController) flush(r *jobRecord, resend bool) {
	r.heldSince = 0
	r.sentAt = c.now
	result := &proto.Result{Shard: int(r.shard), Key: r.key, Digest: r.digest, Load: c.load()}
	for i := range r.tasks {
		t := &r.tasks[i]
		if !t.acked && t.final() && (resend || t.held) {
			t.held = false
			result.Outcomes = append(result.Outcomes, t.outcome())
		}
	}
	if owner := c.lease.OwnerOf(int(r.shard)); owner != "" && len(result.Outcomes) > 0 {
		result.Load.Held = c.countHeld(owner)
		c.send(owner, proto.Message{Result: result})
	}
}

// countHeld counts the outcomes that are held back from an owner.
func (c *RecordController) countHeld(owner shard.ID) int {
	if c.cfg.HoldResults == 0 {
		return 0
	}
	n := 0
	for key := range c.unacked {
		r := c.jobs[key]
		if r.heldSince == 0 || c.lease.OwnerOf(int(r.shard)) != owner {
			continue
		}
		for i := range r.tasks {
			if r.tasks[i].held && r.tasks[i].final() {
				n++
			}
		}
	}
	return n
}

// Repeat sends all final outcomes of a job again, also acknowledged ones.
func (c *RecordController) Repeat(r *jobRecord) {
	for i := range r.tasks {
		r.tasks[i].acked = false
	}
	if r.hasUnacked() {
		c.unacked[r.key] = struct{}{}
		c.flush(r, true)
	}
}

// Ack marks outcomes as acknowledged by the owner.
func (c *RecordController) Ack(a *proto.Ack) {
	r := c.jobs[a.Key]
	if r == nil {
		return
	}
	for _, index := range a.Indexes {
		if t := r.task(index); t != nil && t.final() && !t.held {
			t.acked = true
		}
	}
	if !r.hasUnacked() {
		delete(c.unacked, a.Key)
	}
}

func (r *jobRecord) hasUnacked() bool {
	return slices.ContainsFunc(r.tasks, func(t taskRecord) bool { return t.final() && !t.acked })
}

// Resend sends every unacknowledged outcome of an owner's shards again, except those of jobs that are held back.
func (c *RecordController) Resend(owner shard.ID) {
	for _, r := range c.unackedJobs() {
		if c.lease.OwnerOf(int(r.shard)) == owner && r.heldSince == 0 {
			c.flush(r, true)
		}
	}
}

func (c *RecordController) unackedJobs() []*jobRecord {
	jobs := make([]*jobRecord, 0, len(c.unacked))
	for key := range c.unacked {
		jobs = append(jobs, c.jobs[key])
	}
	slices.SortFunc(jobs, func(a, b *jobRecord) int { return bytes.Compare(a.key[:], b.key[:]) })
	return jobs
}

// Report replies to a fence with the records of its shards, one message for each shard.
func (c *RecordController) Report(to shard.ID, shards []proto.ShardEpoch) {
	byShard := make(map[int][]proto.Record, len(shards))
	for _, s := range shards {
		byShard[s.Shard] = nil
	}
	for _, r := range c.jobs {
		if list, ok := byShard[int(r.shard)]; ok {
			byShard[int(r.shard)] = append(list, r.export())
		}
	}
	for _, s := range shards {
		list := byShard[s.Shard]
		slices.SortFunc(list, func(a, b proto.Record) int { return bytes.Compare(a.Key[:], b.Key[:]) })
		c.send(to, proto.Message{Fenced: &proto.Fenced{Shard: s.Shard, Epoch: s.Epoch, Records: list}})
	}
}

func (r *jobRecord) export() proto.Record {
	record := proto.Record{Key: r.key, Digest: r.digest}
	for i := range r.tasks {
		record.Outcomes = append(record.Outcomes, r.tasks[i].outcome())
	}
	return record
}

// Export returns all records.
func (c *RecordController) Export() []proto.ShardRecord {
	list := make([]proto.ShardRecord, 0, len(c.jobs))
	for _, r := range c.jobs {
		list = append(list, proto.ShardRecord{Shard: int(r.shard), Record: r.export()})
	}
	slices.SortFunc(list, func(a, b proto.ShardRecord) int { return bytes.Compare(a.Record.Key[:], b.Record.Key[:]) })
	return list
}

// Adopt merges the records of an agent that stops into its own.
func (c *RecordController) Adopt(records []proto.ShardRecord) {
	for i := range records {
		sr := &records[i]
		r := c.Open(&proto.Start{Shard: sr.Shard, Key: sr.Record.Key, Digest: sr.Record.Digest})
		for _, o := range sr.Record.Outcomes {
			r.merge(o)
		}
	}
}

// merge adds another agent's outcome of a task; an outcome of a task that ran replaces a refusal, and success replaces a
// failure.
func (r *jobRecord) merge(o proto.Outcome) {
	t := r.task(o.Index)
	if t == nil {
		r.tasks = append(r.tasks, taskRecord{acked: true})
		t = &r.tasks[len(r.tasks)-1]
		t.set(o)
		t.ranBefore = o.MayHaveRunBefore()
		return
	}
	attempt := max(o.Attempt, int(t.attempt))
	known := proto.State(t.state)
	succeeded := known == proto.StateFailed && o.State == proto.StateDone
	if succeeded || (known == proto.StateRefused && o.State != proto.StateRefused) {
		t.set(o)
		t.acked = true
	}
	t.ranBefore = t.ranBefore || o.MayHaveRunBefore() || (!t.final() && o.State != proto.StateRefused)
	if t.final() {
		t.attempt = int32(attempt)
	}
}

// Tick sends held and unacknowledged outcomes that are due, and drops old outputs and expired records.
func (c *RecordController) Tick() {
	for _, r := range c.unackedJobs() {
		holdExpired := r.heldSince != 0 && c.now-r.heldSince >= c.cfg.HoldResults
		resend := r.heldSince == 0 && c.now-r.sentAt >= resendAfter
		if holdExpired || resend {
			c.flush(r, resend)
		}
	}
	c.dropOutputs()
	c.expire()
}

// dropOutputs drops the oldest outputs while they take more than KeepBytes, and stops at one that isn't acknowledged.
func (c *RecordController) dropOutputs() {
	for c.keptBytes > c.cfg.KeepBytes && len(c.keptOutputs) > 0 {
		oldest := c.keptOutputs[0]
		if r := c.jobs[oldest.key]; r != nil {
			t := r.task(oldest.index)
			if !t.acked {
				return
			}
			t.output = nil
			t.dropped = true
		}
		c.keptOutputs = c.keptOutputs[1:]
		c.keptBytes -= oldest.size
	}
}

func (c *RecordController) expire() {
	if c.lease.shardMap == nil {
		return
	}
	retention := c.lease.shardMap.Terms.Retention
	for key, ok := c.expiry.Next(c.now - retention); ok; key, ok = c.expiry.Next(c.now - retention) {
		r := c.jobs[key]
		if r.active > 0 || c.now-r.lastUsed < retention {
			c.expiry.Add(key, max(r.lastUsed, c.now-retention/2))
			continue
		}
		delete(c.jobs, key)
		delete(c.unacked, key)
	}
}
