package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/queue"
	"corianderspur.example/corianderspur/internal/shard"
)

type parkedForward struct {
	from    shard.ID
	forward *proto.Forward
	until   clock.Millis
}

// JobController manages the jobs of the shards that this entry owns, from admission until the retention time ends.
type JobController struct {
	*common
	maps      *MapController
	config    *ConfigController
	shards    *ShardController
	agents    *AgentController
	admission *AdmissionController
	dispatch  *DispatchController
	checks    *CheckController
	jobs      map[shard.Key]*job
	live      []*job
	parked    []parkedForward
	expiry    queue.Expiry[shard.Key]
	// deliver sends an answer to the entry that waits for it.
	deliver func(to shard.ID, a *proto.Answer)
}

// NewJobController creates a controller without jobs.
func NewJobController(c *common) *JobController {
	return &JobController{common: c, jobs: map[shard.Key]*job{}}
}

// Submit handles a job that an entry forwarded: it joins a known job, admits a new one, or parks the job while this
// entry does not own its shard under the epoch that the sender knows. A forward under an earlier epoch is dropped, because
// its sender may have been answered by another owner since; it forwards the job again when it learns of the epoch.
func (c *JobController) Submit(from shard.ID, f *proto.Forward) {
	s := c.ownedShard(f.Job.Key)
	if s == nil || f.Epoch > s.epoch {
		c.parked = append(c.parked, parkedForward{from: from, forward: f, until: c.now + f.Job.Budget})
		return
	}
	if f.Epoch != 0 && f.Epoch < s.epoch {
		c.emit(event.Note{Name: "message_wasted", Reason: "superseded_forward", Quiet: true})
		return
	}
	j := c.jobs[f.Job.Key]
	if j != nil && f.Job.Digest != 0 && j.digest != f.Job.Digest {
		c.deliverChecked(from, &proto.Answer{
			Key: j.key, Digest: f.Job.Digest, Status: proto.StatusRefused, Run: c.ran(j), Reason: proto.ReasonConflict,
			Forward: f.Number,
		})
		return
	}
	switch {
	case j != nil && j.answer != nil && !mayResubmit(j.answer):
		c.repeatAnswer(j, from, f.Number)
	case j != nil && j.content != nil && j.answer == nil:
		j.addWaiter(from, f.Number)
		j.deadline = max(j.deadline, c.now+f.Job.Budget)
	case !f.Wait:
		c.answerUnknown(from, f, j)
	default:
		c.accept(from, f, j)
	}
}

// ownedShard returns the state of a job's shard if this entry owns it, else nil.
func (c *JobController) ownedShard(key shard.Key) *shardState {
	if c.maps.current == nil {
		return nil
	}
	return c.shards.Owned(c.maps.current.ShardOf(key))
}

// mayResubmit reports whether an answered job may be submitted again because it never ran.
func mayResubmit(a *proto.Answer) bool {
	return a.Run == proto.RanNo && a.Reason != proto.ReasonCancelled
}

func (c *JobController) repeatAnswer(j *job, to shard.ID, forward uint64) {
	c.touch(j)
	c.emit(event.Note{Name: "answer_repeated", Job: j.id(), Reason: string(j.answer.Status)})
	answer := *j.answer
	answer.Forward = forward
	c.deliverChecked(to, &answer)
}

func (c *JobController) answerUnknown(from shard.ID, f *proto.Forward, j *job) {
	a := &proto.Answer{
		Key: f.Job.Key, Status: proto.StatusRefused, Run: proto.RanUnknown, Reason: proto.ReasonUnknownJob, Forward: f.Number,
	}
	if j != nil && j.ran() == proto.RanYes {
		a.Run = proto.RanYes
	}
	if j == nil && c.shards.Owned(c.maps.current.ShardOf(f.Job.Key)).startsKnown {
		a.Run = proto.RanNo
	}
	c.deliverChecked(from, a)
}

// deliverChecked delivers an answer; one that says that nothing ran is confirmed with an agent first.
func (c *JobController) deliverChecked(to shard.ID, a *proto.Answer) {
	if a.Run == proto.RanNo {
		c.checks.Add(to, a)
		return
	}
	c.deliver(to, a)
}

// accept admits or refuses a job whose content is not known here yet, although agents may have records of it.
func (c *JobController) accept(from shard.ID, f *proto.Forward, j *job) {
	state := c.shards.Owned(c.maps.current.ShardOf(f.Job.Key))
	decision := c.config.policy.Decide(f.Job.Labels)
	neverRan := j == nil || j.ran() == proto.RanNo
	if neverRan {
		if reason, retry := c.admission.Refusal(&f.Job, decision); reason != "" {
			c.refuse(from, f, state, reason, retry)
			return
		}
	}
	if j == nil {
		j = c.addJob(f.Job.Key, state.number, f.Job.Digest)
	}
	content := f.Job
	j.content = &content
	j.decision = decision
	j.answer = nil
	j.acceptedAt = c.now
	j.deadline = c.now + content.Budget
	j.addWaiter(from, f.Number)
	j.tasks = slices.Grow(j.tasks, max(0, len(content.Tasks)-len(j.tasks)))[:len(content.Tasks)]
	c.live = append(c.live, j)
	c.emit(event.Note{
		Name: "job_accepted", Job: j.id(), Tenant: j.tenant(), Class: className(decision.Urgent), Reason: decision.Rule,
		Count: len(j.tasks),
	})
	c.begin(j, state)
}

func (c *JobController) refuse(to shard.ID, f *proto.Forward, state *shardState, reason proto.Reason, retry clock.Millis) {
	a := &proto.Answer{
		Key: f.Job.Key, Digest: f.Job.Digest, Status: proto.StatusRefused, Run: proto.RanNo, Reason: reason, RetryAfter: retry,
		Forward: f.Number,
	}
	if !state.startsKnown {
		a.Run = proto.RanUnknown
	}
	c.emit(event.Note{Name: "job_refused", Job: f.Job.ID, Tenant: f.Job.Tenant, Reason: string(reason)})
	c.deliverChecked(to, a)
}

// begin queues the tasks that may be started and counts those that agents have already done.
func (c *JobController) begin(j *job, state *shardState) {
	j.remaining = len(j.tasks)
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state == taskDone && t.outputDropped:
			c.fail(j, proto.ReasonLost)
			return
		case t.state == taskDone:
			j.remaining--
		case t.state == taskFailed && !c.mayRetry(j, t):
			c.fail(j, proto.ReasonTaskFailed)
			return
		case t.state != taskSent && !state.startsKnown && !c.takeLastAttempt(j, t, state):
			c.failWith(j, proto.ReasonUncertain, proto.RanUnknown)
			return
		}
	}
	if j.remaining == 0 {
		c.complete(j)
		return
	}
	for i := range j.tasks {
		if s := j.tasks[i].state; s == taskPending || s == taskQueued || s == taskFailed {
			c.dispatch.Queue(j, i)
		}
	}
}

// mayRetry reports whether a task may be started again; the last attempt is reserved for lost records of starts.
func (c *JobController) mayRetry(j *job, t *task) bool {
	return j.decision.Repeatable && t.tries < j.decision.MaxAttempts-1
}

// takeLastAttempt uses the attempt that is reserved for lost records of starts, and reports whether it is available. An
// owner that knew all starts left it unused; after more than one move since then, another owner may have used it.
func (c *JobController) takeLastAttempt(j *job, t *task, state *shardState) bool {
	if !j.decision.Repeatable || j.decision.MaxAttempts < 2 || state.moves > 1 {
		return false
	}
	t.tries = max(t.tries, j.decision.MaxAttempts-1)
	return true
}

func (c *JobController) complete(j *job) {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].output
	}
	c.finish(j, &proto.Answer{
		Key: j.key, Digest: j.digest, Status: proto.StatusComplete, Run: proto.RanYes, Results: results, Starts: j.starts,
	})
}

func (c *JobController) fail(j *job, reason proto.Reason) {
	c.failWith(j, reason, c.ran(j))
}

// ran reports whether any task of a job has been started; that none was is known only if every start in its shard is.
func (c *JobController) ran(j *job) proto.Ran {
	ran := j.ran()
	if ran == proto.RanNo && !c.shards.shards[j.shard].startsKnown {
		return proto.RanUnknown
	}
	return ran
}

// failWith ends a job as failed; if nothing ran, the answer is confirmed with an agent first.
func (c *JobController) failWith(j *job, reason proto.Reason, run proto.Ran) {
	a := &proto.Answer{Key: j.key, Digest: j.digest, Status: proto.StatusFailed, Run: run, Reason: reason, Starts: j.starts}
	if run == proto.RanNo {
		j.ending = true
		c.checks.Add("", a)
		return
	}
	c.finish(j, a)
}

// finish stores the answer of a job, sends it to all waiting entries, and revokes the tasks that are still running.
func (c *JobController) finish(j *job, a *proto.Answer) {
	c.revoke(j, a)
	j.answer = a
	j.ending = false
	c.touch(j)
	waiters := j.waiters
	j.waiters = nil
	c.emit(event.Note{
		Name: "job_answered", Job: j.id(), Tenant: j.tenant(), Class: className(j.decision.Urgent),
		Reason: string(a.Status) + reasonSuffix(a.Reason), Count: j.starts, Took: c.now - j.acceptedAt,
	})
	for _, w := range waiters {
		c.deliverTo(w, a)
	}
	if j.content != nil {
		j.content = &proto.Job{ID: j.content.ID, Tenant: j.content.Tenant}
	}
	if a.Status == proto.StatusComplete {
		for i := range j.tasks {
			j.tasks[i].output = nil
		}
	}
}

func (c *JobController) deliverTo(w waiter, a *proto.Answer) {
	answer := *a
	answer.Forward = w.forward
	c.deliver(w.entry, &answer)
}

func reasonSuffix(r proto.Reason) string {
	if r == "" {
		return ""
	}
	return "_" + string(r)
}

func (c *JobController) revoke(j *job, a *proto.Answer) {
	if a.Status == proto.StatusComplete {
		return
	}
	var notified []shard.ID
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskSent && !slices.Contains(notified, t.agent) {
			notified = append(notified, t.agent)
			c.send(t.agent, proto.Message{Revoke: &proto.Revoke{Key: j.key}})
		}
	}
}

// Checked completes an answer that says that nothing ran, after the check has confirmed this or failed to.
func (c *JobController) Checked(to shard.ID, a *proto.Answer, confirmed bool) {
	j := c.jobs[a.Key]
	if !confirmed || (j != nil && j.ran() != proto.RanNo) {
		a.Run = proto.RanUnknown
	}
	if to != "" {
		c.reply(to, j, a)
		return
	}
	if j != nil && j.ending && j.answer == nil {
		c.finish(j, a)
	}
}

// reply delivers a checked answer, unless the same job has been accepted or answered in the meantime.
func (c *JobController) reply(to shard.ID, j *job, a *proto.Answer) {
	switch {
	case j != nil && (j.live() || j.ending) && j.digest == a.Digest:
		j.addWaiter(to, a.Forward)
	case j != nil && j.answer != nil && j.answer.Run != proto.RanNo && j.digest == a.Digest:
		c.deliverTo(waiter{entry: to, forward: a.Forward}, j.answer)
	default:
		c.deliver(to, a)
	}
}

// Cancel ends a job at the request of a caller.
func (c *JobController) Cancel(key shard.Key) {
	j := c.jobs[key]
	if j == nil || !j.live() {
		return
	}
	c.fail(j, proto.ReasonCancelled)
}

// Tick fails jobs whose deadline has passed and removes jobs older than the retention time.
func (c *JobController) Tick() {
	kept := c.live[:0]
	for _, j := range c.live {
		if j.live() && c.now >= j.deadline {
			c.fail(j, proto.ReasonDeadline)
		}
		if j.live() {
			kept = append(kept, j)
		}
	}
	clear(c.live[len(kept):])
	c.live = kept
	c.parked = slices.DeleteFunc(c.parked, func(p parkedForward) bool { return c.now >= p.until })
	c.expire()
}

// Unpark submits the parked jobs again with the time they have left; those whose shard is still not owned are parked
// again until that time is over.
func (c *JobController) Unpark() {
	parked := c.parked
	c.parked = nil
	for _, p := range parked {
		if c.now < p.until {
			p.forward.Job.Budget = p.until - c.now
			c.Submit(p.from, p.forward)
		}
	}
}
