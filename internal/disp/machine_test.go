package disp

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// entryTest drives a dispatcher by hand; out holds the actions of the last event.
type entryTest struct {
	t       *testing.T
	m       *Machine
	now     clock.Millis
	out     []event.Action
	reports map[shard.ID]proto.Report
	// echoDelay is how old the stamps are that agents echo.
	echoDelay clock.Millis
}

func newEntryTest(t *testing.T, agents ...shard.ID) *entryTest {
	e := &entryTest{t: t, now: 1000, reports: map[shard.ID]proto.Report{}, m: New(Config{
		ID: "e1/1", Beat: 100, Silence: 400, Lease: 800, ReattachTimeout: 200, AnswerMargin: 60, DrainLimit: 5000, Seed: 1,
	})}
	for _, id := range agents {
		e.attach(id)
	}
	return e
}

func (e *entryTest) do(ev event.Event) {
	e.out = e.m.Handle(e.now, ev)
}

func (e *entryTest) attach(id shard.ID, runs ...proto.RunRef) {
	e.do(event.SessionUp{Peer: id, Role: proto.RoleAgent})
	total := room.Resources{CPU: 4000, MemMB: 1000}
	e.report(id, proto.Report{
		Free: total, Accepting: true, Settled: true, Facts: &proto.Facts{Agent: string(id), Service: "s", Total: total},
		Inventory: &proto.Inventory{Runs: runs},
	})
}

func (e *entryTest) report(id shard.ID, r proto.Report) {
	e.reports[id] = r
	e.receive(id, r)
}

// receive delivers a report that echoes a stamp of this moment, unless echoDelay says otherwise.
func (e *entryTest) receive(id shard.ID, r proto.Report) {
	r.Echo = e.now - e.echoDelay
	e.do(event.Received{From: id, Message: proto.Message{Report: &r}})
}

// pass advances the clock while the agents in alive keep sending reports.
func (e *entryTest) pass(d clock.Millis, alive ...shard.ID) (replies []Reply) {
	for range d / 10 {
		e.now += 10
		for _, id := range alive {
			r := e.reports[id]
			r.Facts, r.Inventory, r.Ends = nil, nil, nil
			e.receive(id, r)
			replies = append(replies, e.replies()...)
		}
		e.do(event.Tick{})
		replies = append(replies, e.replies()...)
	}
	return replies
}

func jobOf(id int, tasks int, cpu int64) Job {
	return Job{
		ID: fmt.Sprintf("%016x", id), Queue: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, SLO: 60, Timeout: 3000,
		Steps: []Step{{Count: tasks, Need: room.Resources{CPU: cpu, MemMB: 1}, Estimate: 100}},
	}
}

func (e *entryTest) submit(ticket uint64, j Job) {
	e.do(Submit{Ticket: ticket, Job: j})
}

func (e *entryTest) replies() (list []Reply) {
	for _, a := range e.out {
		if r, ok := a.(Reply); ok {
			list = append(list, r)
		}
	}
	return list
}

// sentTasks returns the tasks that the last event sent to agents.
func (e *entryTest) sentTasks() map[shard.ID]int {
	n := map[shard.ID]int{}
	for _, a := range e.out {
		if s, ok := a.(event.Send); ok {
			for _, b := range s.Message.Orders.Begins {
				n[s.To] += len(b.Tasks)
			}
		}
	}
	return n
}

// reportEnd sends an agent's first report of the end of a run.
func (e *entryTest) reportEnd(id shard.ID, task string, how proto.EndReason) {
	r := e.reports[id]
	r.Facts, r.Inventory = nil, nil
	r.LastBegin = 1
	r.Ends = []proto.End{{N: 1, Task: task, Run: 1, How: how, TookMS: 100}}
	e.receive(id, r)
}

// taskName returns the name of a task of job 1.
func taskName(i int) string {
	return fmt.Sprintf("%016x.0.0.%d", 1, i)
}

func TestJobIsCompleteWhenAllTasksAreDone(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.submit(1, jobOf(1, 2, 2000))
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1, "a2/1": 1})
	agentOf := map[string]shard.ID{}
	for _, tk := range e.m.jobs[jobOf(1, 2, 2000).ID].tasks {
		agentOf[tk.name] = tk.agent
	}
	e.reportEnd(agentOf[taskName(0)], taskName(0), proto.EndDone)
	qt.Assert(t, e.replies(), qt.HasLen, 0)
	e.reportEnd(agentOf[taskName(1)], taskName(1), proto.EndDone)
	qt.Assert(t, e.replies()[0].Result, qt.Equals, Completed)

	// A copy that arrives later gets the remembered result and starts no task.
	e.submit(2, jobOf(1, 2, 2000))
	qt.Check(t, e.replies()[0].Result, qt.Equals, Completed)
	qt.Check(t, e.sentTasks(), qt.HasLen, 0)
}

func TestCopiesOfARunningJobShareItsAnswer(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.submit(2, jobOf(1, 1, 1000))
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)
	e.reportEnd("a1/1", taskName(0), proto.EndDone)
	qt.Assert(t, e.replies(), qt.HasLen, 2)
}

// A job for which there is no room is refused after about a sixth of its objective; none of its tasks has run.
func TestJobWithoutRoomIsRefusedEarly(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 4000))
	e.submit(2, jobOf(2, 1, 4000))
	replies := e.pass(60, "a1/1")
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Check(t, replies[0].Ticket, qt.Equals, uint64(2))
	qt.Check(t, replies[0].Result, qt.Equals, Refused)
	qt.Check(t, replies[0].RetryAfter > 0, qt.IsTrue)
}

// A job larger than any agent is refused at once, once startupGrace is over.
func TestImpossibleJobIsRefusedAtOnce(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.now += startupGrace
	e.attach("a2/1")
	e.submit(1, jobOf(1, 1, 5000))
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Assert(t, e.replies()[0].Result, qt.Equals, Refused)
}

// A caller that retries with little time left is refused at once, as its job could not end in time.
func TestJobThatCannotEndBeforeItsDeadlineIsRefusedAtOnce(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	j := jobOf(1, 1, 1000)
	j.Timeout = 120
	e.submit(1, j)
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Assert(t, e.replies()[0].Result, qt.Equals, Refused)
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)
}

// A task that an agent had no room for goes to another; a job of which a task has begun is not refused any more.
func TestBegunJobIsNotRefused(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 2, 4000))
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1})
	qt.Assert(t, e.pass(1000, "a1/1"), qt.HasLen, 0)
	replies := e.pass(3000, "a1/1")
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Assert(t, replies[0].Result, qt.Equals, Unknown)
}

func TestTaskFailsOnAnotherAgentBeforeTheJobFails(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.submit(1, jobOf(1, 1, 1000))
	first := e.m.jobs[jobOf(1, 1, 0).ID].tasks[0].agent
	e.reportEnd(first, taskName(0), proto.EndFailed)
	second := e.m.jobs[jobOf(1, 1, 0).ID].tasks[0].agent
	qt.Assert(t, second, qt.Not(qt.Equals), first)
	r := e.reports[second]
	r.Facts, r.Inventory = nil, nil
	r.Ends = []proto.End{{N: 1, Task: taskName(0), Run: 2, How: proto.EndFailed}}
	e.receive(second, r)
	qt.Assert(t, e.replies()[0].Result, qt.Equals, Failed)
}

// A task lost with a silent agent starts again only after the agent's silence timeout and the lease are over; a job that can't
// wait for that is given up at once.
func TestLostTaskWaitsForTheLeases(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	short, long := jobOf(1, 1, 1000), jobOf(2, 1, 1000)
	long.Steps[0].Estimate = 900
	e.submit(1, short)
	e.submit(2, long)
	for _, j := range e.m.jobs {
		j.tasks[0].agent = "a1/1"
	}
	replies := e.pass(700, "a2/1")
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Check(t, replies[0], qt.Equals, Reply{Ticket: 1, Result: Unknown, RetryAfter: minRetryAfter})
	e.pass(800, "a2/1")
	qt.Assert(t, e.m.jobs[long.ID].tasks[0].state, qt.Equals, lost)
	e.pass(300, "a2/1")
	qt.Assert(t, e.m.jobs[long.ID].tasks[0].agent, qt.Equals, shard.ID("a2/1"))
	qt.Assert(t, e.m.jobs[long.ID].tasks[0].run, qt.Equals, 2)
}

// After a session was only reset, the runs in the agent's inventory go on, and tasks that never arrived are sent again.
func TestReattachedSessionGoesOn(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.submit(2, jobOf(2, 1, 1000))
	e.do(event.SessionDown{Peer: "a1/1"})
	e.now += 20
	e.attach("a1/1", proto.RunRef{Task: taskName(0), Run: 1})
	qt.Assert(t, e.m.jobs[jobOf(1, 1, 0).ID].tasks[0].run, qt.Equals, 1)
	qt.Assert(t, e.m.jobs[jobOf(2, 1, 0).ID].tasks[0].run, qt.Equals, 2)
}

// A new incarnation of an agent has stopped all earlier runs before it reports that it is settled, so lost tasks start again.
func TestNewLifeOfAnAgentSettlesWhatWasLost(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	j := jobOf(1, 1, 1000)
	j.Steps[0].Estimate = 900
	e.submit(1, j)
	e.do(event.SessionDown{Peer: "a1/1"})
	e.now += 100
	e.attach("a1/2")
	qt.Assert(t, e.m.jobs[j.ID].tasks[0].agent, qt.Equals, shard.ID("a1/2"))
}

// Found by a randomized run (store-away, seed 342263504653): tasks lost with an earlier incarnation of an agent may have run, so
// the job must not be refused when there is no room for it now.
func TestJobLostWithAnAgentIsNotRefused(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	j := jobOf(1, 1, 4000)
	j.Steps[0].Estimate = 900
	e.submit(1, j)
	e.do(event.SessionDown{Peer: "a1/1"})
	e.now += 500
	e.do(event.SessionUp{Peer: "a1/2", Role: proto.RoleAgent})
	e.report("a1/2", proto.Report{
		Accepting: true, Settled: true, Facts: &proto.Facts{Agent: "a1", Service: "s", Total: room.Resources{CPU: 4000, MemMB: 1000}},
		Inventory: &proto.Inventory{},
	})
	for _, r := range e.pass(3000, "a1/2") {
		qt.Check(t, r.Result, qt.Equals, Unknown)
	}
	qt.Assert(t, e.m.jobs, qt.HasLen, 0)
}

func TestCallerThatLeavesStopsItsJob(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.do(CallerLeft{Ticket: 1})
	halts := 0
	for _, a := range e.out {
		if s, ok := a.(event.Send); ok {
			halts += len(s.Message.Orders.Halts)
		}
	}
	qt.Assert(t, halts, qt.Equals, 1)
	qt.Assert(t, e.m.jobs, qt.HasLen, 0)
}

// Load of a full deployment: a wide job of the first priority gets all room that becomes free, although small jobs that arrived
// before it are waiting too.
func TestWideJobOfFirstPriorityIsNotStarved(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 4, 1000))
	small := jobOf(2, 1, 1000)
	small.Priority = 1
	wide := jobOf(3, 2, 1000)
	e.submit(2, small)
	e.submit(3, wide)
	r := e.reports["a1/1"]
	r.Free = room.Resources{CPU: 1000, MemMB: 900}
	e.reports["a1/1"] = r
	e.reportEnd("a1/1", taskName(0), proto.EndDone)
	qt.Assert(t, e.m.jobs[wide.ID].queued.Started, qt.IsTrue)
	qt.Assert(t, e.m.jobs[small.ID].queued.Started, qt.IsFalse)
}

// Load of a busy deployment: a job of a lower priority leaves free the room that the next job of the first priority needs.
func TestNarrowJobLeavesRoomForTheFirstPriority(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	first := jobOf(1, 4, 200)
	narrow := jobOf(2, 8, 400)
	narrow.Priority = 1
	e.submit(1, first)
	e.submit(2, narrow)
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 7})
	next := jobOf(3, 1, 400)
	e.submit(3, next)
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1})
}

// A task that needs a whole backend server begins even while jobs of the first priority arrive.
func TestLargeTaskBeginsBesideJobsOfTheFirstPriority(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 400))
	e.reportEnd("a1/1", taskName(0), proto.EndDone)
	large := jobOf(2, 1, 4000)
	large.Priority = 1
	e.submit(2, large)
	qt.Assert(t, e.sentTasks(), qt.HasLen, 1)
}

// A step waits for the steps in its After list.
func TestStepsRunInOrder(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	j := jobOf(1, 1, 1000)
	j.Steps = append(j.Steps, Step{Count: 2, Need: room.Resources{CPU: 500}, Estimate: 10, After: []int{0}})
	e.submit(1, j)
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1})
	e.reportEnd("a1/1", taskName(0), proto.EndDone)
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 2})
}

// After the process was paused it answers its callers at once; a job that may have run is not reported as refused.
func TestThawedDispatcherAnswersItsCallers(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 4000))
	e.submit(2, jobOf(2, 1, 4000))
	e.out = e.m.Resume(e.now + 2000)
	results := map[uint64]Result{}
	for _, r := range e.replies() {
		results[r.Ticket] = r.Result
	}
	qt.Assert(t, results, qt.DeepEquals, map[uint64]Result{1: Unknown, 2: Refused})
}

// Review case 7: a stopping entry passed on jobs that it could not answer before it closed the connections of their callers.
func TestJobsEndBeforeAPlannedStopClosesTheirConnections(t *testing.T) {
	const within = 5500
	e := newEntryTest(t, "a1/1", "a2/1")
	long := jobOf(1, 1, 1000)
	long.Steps[0].Estimate, long.Timeout = 9000, 15_000
	e.submit(1, long)
	e.do(Closing{Within: within})
	short := jobOf(2, 1, 1000)
	e.submit(2, short)
	qt.Assert(t, e.replies(), qt.HasLen, 0)
	e.submit(3, func() Job { j := long; j.ID = jobOf(3, 1, 0).ID; return j }())
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Assert(t, e.replies()[0].Result, qt.Equals, Refused)
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)

	qt.Assert(t, e.pass(within-500, "a1/1", "a2/1"), qt.DeepEquals, []Reply{{Ticket: 2, Result: Unknown, RetryAfter: minRetryAfter}})
	replies := e.pass(500-10, "a1/1", "a2/1")
	qt.Assert(t, replies, qt.DeepEquals, []Reply{{Ticket: 1, Result: Unknown, RetryAfter: minRetryAfter}})
	e.submit(4, jobOf(4, 1, 1000))
	qt.Assert(t, e.replies(), qt.HasLen, 1)
	qt.Assert(t, e.replies()[0].Result, qt.Equals, Refused)
}
