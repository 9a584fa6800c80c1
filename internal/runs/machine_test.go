package runs

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

// agentTest drives an agent's state machine event by event; out holds the actions of the last event.
type agentTest struct {
	t   *testing.T
	m   *Machine
	now clock.Millis
	out []event.Action
	seq uint64
}

func newAgentTest(t *testing.T) *agentTest {
	a := &agentTest{t: t, m: New(Config{
		ID: "a1/1", Name: "a1", Lease: 800, Silence: 400, Reattach: 200, PollWait: 120, OrderTimeout: 60, DrainLimit: 5000,
	})}
	a.handle(Announced{Instance: instance(1)})
	a.answerPoll()
	a.handle(event.SessionUp{Peer: "e1/1"})
	a.handle(event.SessionUp{Peer: "e2/1"})
	return a
}

func instance(born int64) Instance {
	return Instance{ID: "r1", Born: born, Service: "s", Total: room.Resources{CPU: 4000, MemMB: 1000}, Seq: uint64(born)}
}

func (a *agentTest) handle(ev event.Event) {
	a.out = a.m.Handle(a.now, ev)
}

func (a *agentTest) advance(d clock.Millis) {
	for range d / 10 {
		a.now += 10
		a.handle(event.Tick{})
	}
}

// answerPoll answers the pending poll.
func (a *agentTest) answerPoll(running ...Running) {
	a.t.Helper()
	qt.Assert(a.t, a.m.poll, qt.IsNotNil)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: a.m.instance.Born, Running: running})
}

func (a *agentTest) orders(from shard.ID, stamp clock.Millis, begins ...proto.Begin) {
	a.handle(event.Received{From: from, Message: proto.Message{Orders: &proto.Orders{Stamp: stamp, Begins: begins}}})
}

func (a *agentTest) newBegin(job string, cpu int64) proto.Begin {
	a.seq++
	return proto.Begin{Seq: a.seq, Job: job, Service: "s", Spec: "x", Tasks: []proto.TaskBegin{
		{Task: job + ".0.0.0", Run: 1, Need: room.Resources{CPU: cpu, MemMB: 1}},
	}}
}

func (a *agentTest) begin(from shard.ID, job string, cpu int64) {
	a.orders(from, a.now, a.newBegin(job, cpu))
}

func (a *agentTest) confirmStart(job string) {
	a.handle(StartDone{Task: job + ".0.0.0", Run: 1, Outcome: OrderDone, Born: a.m.instance.Born})
}

func actions[T any](a *agentTest) (list []T) {
	for _, act := range a.out {
		if x, ok := act.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func (a *agentTest) reportedEnds(to shard.ID) (hows []proto.EndReason) {
	for _, s := range actions[event.Send](a) {
		if s.To == to {
			for _, e := range s.Message.Report.Ends {
				hows = append(hows, e.How)
			}
		}
	}
	return hows
}

// endsAfterQueueTimeout advances the clock by queueTimeout and returns the ends reported then.
func (a *agentTest) endsAfterQueueTimeout(to shard.ID) []proto.EndReason {
	a.t.Helper()
	qt.Assert(a.t, actions[StartRun](a), qt.HasLen, 0)
	qt.Assert(a.t, a.reportedEnds(to), qt.HasLen, 0)
	a.now += queueTimeout
	a.handle(event.Tick{})
	qt.Assert(a.t, actions[StartRun](a), qt.HasLen, 0)
	return a.reportedEnds(to)
}

// The agent decides on capacity: a stop frees none before the end of the run is listed.
func TestCapacityIsTakenUntilTheEndIsListed(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
	a.confirmStart("j1")
	a.begin("e2/1", "j2", 2000)
	qt.Assert(t, a.endsAfterQueueTimeout("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndNoRoom})

	a.handle(event.Received{From: "e1/1", Message: proto.Message{Orders: &proto.Orders{
		Stamp: a.now, Halts: []proto.RunRef{{Task: "j1.0.0.0", Run: 1}},
	}}})
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e2/1", "j3", 2000)
	qt.Assert(t, a.endsAfterQueueTimeout("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndNoRoom})

	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndStopped}}})
	a.begin("e2/1", "j4", 2000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
}

// The runs of a silent dispatcher are stopped, those of others go on.
func TestRunsOfASilentDispatcherAreStopped(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	a.begin("e2/1", "j2", 1000)
	a.confirmStart("j2")
	var halts []HaltRun
	for range 60 {
		a.now += 10
		if a.now%100 == 0 {
			a.orders("e2/1", a.now)
		}
		a.handle(event.Tick{})
		halts = append(halts, actions[HaltRun](a)...)
	}
	qt.Assert(t, len(halts) > 0, qt.IsTrue)
	for _, h := range halts {
		qt.Check(t, h.Task, qt.Equals, "j1.0.0.0")
	}
}

// An order delayed by a network partition is too old to be carried out, although its session is still up.
func TestOrdersDelayedByAPartitionAreRefused(t *testing.T) {
	a := newAgentTest(t)
	a.orders("e1/1", 0)
	begin := a.newBegin("j1", 1000)
	a.now = 390
	a.orders("e1/1", a.now-5)
	a.now = 800
	a.orders("e1/1", 395, begin)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
}

// Seed 9 of the randomized sessions: the backend server restarts under its id while the agent is paused, and accepts a
// start before a poll shows its new incarnation. The new run must not end with those of the old incarnation.
func TestNewIncarnationKeepsTheRunThatItHasConfirmed(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "old", 1000)
	a.confirmStart("old")
	a.begin("e1/1", "new", 1000)
	a.handle(StartDone{Task: "new.0.0.0", Run: 1, Outcome: OrderDone, Born: 2})
	qt.Assert(t, a.m.runs["old.0.0.0"], qt.IsNil)
	qt.Assert(t, a.m.runs["new.0.0.0"], qt.IsNotNil)
	qt.Assert(t, a.m.accepting(), qt.IsFalse)
	a.answerPoll(Running{Task: "new.0.0.0", Run: 1})
	a.handle(Announced{Instance: instance(2)})
	qt.Assert(t, a.m.accepting(), qt.IsTrue)
	qt.Assert(t, a.m.used.CPU, qt.Equals, int64(1000))
}

// A backend server that has crashed answers nothing: its runs count as lapsed once no poll can have renewed them.
func TestLeaseLapsesWhenPollsAreNotAnswered(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	polls := 0
	for range 200 {
		a.now += 10
		a.orders("e1/1", a.now)
		a.handle(event.Tick{})
		polls += len(actions[Poll](a))
		if a.m.poll != nil {
			a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnknown})
		}
		if len(a.m.runs) == 0 {
			break
		}
	}
	qt.Assert(t, a.m.runs, qt.HasLen, 0)
	qt.Check(t, a.now > 800 && a.now < 1200, qt.IsTrue, qt.Commentf("%d", a.now))
	// A refused connection fails at once; the backoff keeps polls from using up the processor.
	qt.Check(t, polls < 60, qt.IsTrue, qt.Commentf("%d looks", polls))
}

// An agent that starts does not know the runs at its backend server: it stops them all before it accepts tasks.
func TestOrphanRunsAreStoppedFirst(t *testing.T) {
	a := &agentTest{t: t, m: New(Config{Lease: 800, Silence: 400, Reattach: 200, PollWait: 120, OrderTimeout: 60})}
	a.handle(Announced{Instance: instance(1)})
	a.handle(event.SessionUp{Peer: "e1/1"})
	a.answerPoll(Running{Task: "x.0.0.0", Run: 1})
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e1/1", "j1", 1000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	a.answerPoll()
	a.begin("e1/1", "j2", 1000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
}

// A start without an answer may still be carried out: the run is stopped, and its capacity stays taken until that is certain.
func TestUnansweredStartIsSettledByAStop(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 3000)
	a.handle(StartDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderUnknown})
	qt.Assert(t, actions[HaltRun](a), qt.HasLen, 1)
	a.begin("e1/1", "j2", 3000)
	qt.Assert(t, a.endsAfterQueueTimeout("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndNoRoom})
	a.answerPoll()
	qt.Assert(t, a.m.runs["j1.0.0.0"], qt.IsNotNil)
	waiting := a.m.poll.Number
	a.handle(HaltDone{Task: "j1.0.0.0", Run: 1, Outcome: OrderDone, Born: 1})
	// A new poll is sent at once, since the end that the pending one waits for may never come.
	qt.Assert(t, a.m.poll.Number > waiting, qt.IsTrue)
	qt.Assert(t, a.m.poll.Wait, qt.Equals, clock.Millis(0))
	a.answerPoll()
	qt.Assert(t, a.m.runs["j1.0.0.0"], qt.IsNil)
}

// Stalled tasks are stopped, and after several such jobs the backend server is ejected and then gets one task at a time.
func TestStalledRunsAreStoppedAndTheServerEjected(t *testing.T) {
	a := newAgentTest(t)
	for _, job := range []string{"j1", "j2", "j3"} {
		a.begin("e1/1", job, 1000)
		a.confirmStart(job)
	}
	all := []Running{{Task: "j1.0.0.0", Run: 1}, {Task: "j2.0.0.0", Run: 1}, {Task: "j3.0.0.0", Run: 1}}
	var halts []HaltRun
	for range 30 {
		a.now += 10
		a.orders("e1/1", a.now)
		if a.m.poll != nil {
			a.answerPoll(all...)
			halts = append(halts, actions[HaltRun](a)...)
		}
	}
	qt.Assert(t, halts, qt.HasLen, 3)
	var ended []Ended
	for i, r := range all {
		ended = append(ended, Ended{N: uint64(i + 1), Task: r.Task, Run: 1, How: proto.EndStopped})
	}
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: ended})
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndStalled, proto.EndStalled, proto.EndStalled})
	qt.Assert(t, a.m.accepting(), qt.IsFalse)
	a.now += minEject
	a.orders("e1/1", a.now)
	qt.Assert(t, a.m.accepting(), qt.IsTrue)
	a.begin("e1/1", "j4", 1000)
	qt.Assert(t, a.m.accepting(), qt.IsFalse)
}

// The load pattern of a burst: capacity that becomes free is offered to the lowest rank first.
func TestCapacityIsOfferedByRank(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 4000)
	a.confirmStart("j1")
	want := func(from shard.ID, rank int) {
		a.handle(event.Received{From: from, Message: proto.Message{Orders: &proto.Orders{Stamp: a.now, Want: true, Rank: rank}}})
	}
	want("e1/1", 2)
	want("e2/1", 1)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndFailed}}})
	// The end goes to its dispatcher; the other is offered the capacity.
	qt.Assert(t, actions[event.Send](a), qt.HasLen, 2)

	a.begin("e2/1", "j2", 4000)
	a.confirmStart("j2")
	want("e1/1", 2)
	want("e2/1", 1)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 2, Task: "j2.0.0.0", Run: 1, How: proto.EndDone}}})
	sends := actions[event.Send](a)
	qt.Assert(t, sends, qt.HasLen, 1)
	qt.Check(t, sends[0].To, qt.Equals, shard.ID("e2/1"))
	a.now += offerInterval
	a.handle(event.Tick{})
	qt.Assert(t, actions[event.Send](a)[0].To, qt.Equals, shard.ID("e1/1"))
}

// The load pattern of a large fleet at its limit: many dispatchers wait for each agent. Capacity that the first one has taken is not
// offered to others, so that an end costs one message and not one for each dispatcher.
func TestCapacityThatIsTakenIsNotOfferedOn(t *testing.T) {
	a := newAgentTest(t)
	for i := range 30 {
		a.handle(event.SessionUp{Peer: shard.ID(fmt.Sprintf("w%d/1", i))})
	}
	a.begin("e1/1", "j1", 4000)
	a.confirmStart("j1")
	for i := range 30 {
		a.handle(event.Received{From: shard.ID(fmt.Sprintf("w%d/1", i)), Message: proto.Message{
			Orders: &proto.Orders{Stamp: a.now, Want: true, Rank: 1},
		}})
	}
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndDone}}})
	told := 0
	for _, s := range actions[event.Send](a) {
		if s.To != "e1/1" {
			told++
			a.begin(s.To, "j2", 4000)
		}
	}
	qt.Assert(t, told, qt.Equals, 1)
	a.confirmStart("j2")
	for range 10 {
		a.now += offerInterval
		a.handle(event.Tick{})
		qt.Check(t, actions[event.Send](a), qt.HasLen, 0)
	}
}

// A draining backend server gets no new tasks; its running tasks may finish.
func TestDrainingBackendServerTakesNothingNew(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	in := instance(1)
	in.Seq, in.Draining = 2, true
	a.handle(Announced{Instance: in})
	for _, s := range actions[event.Send](a) {
		qt.Check(t, s.Message.Report.Accepting, qt.IsFalse)
	}
	a.begin("e1/1", "j2", 1000)
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndNotBegun})
	qt.Check(t, a.m.runs, qt.HasLen, 1)
}

// A planned stop accepts no new tasks and ends when the running ones have ended.
func TestPlannedStopWaitsForRuns(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	a.handle(event.Stop{})
	a.begin("e1/1", "j2", 1000)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 0)
	a.advance(100)
	qt.Assert(t, actions[event.Exit](a), qt.HasLen, 0)
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Ended: []Ended{{N: 1, Task: "j1.0.0.0", Run: 1, How: proto.EndDone}}})
	a.handle(event.Received{From: "e1/1", Message: proto.Message{Orders: &proto.Orders{Stamp: a.now, AckedEnd: 9}}})
	a.handle(event.Tick{})
	qt.Assert(t, actions[event.Exit](a), qt.HasLen, 1)
}

// The process of a backend server has ended with all that ran in it: its machine refuses connections. The dispatchers hear of the
// ends at once and can start the tasks elsewhere in time, instead of after the lease.
func TestRunsOfABackendServerThatIsGoneEndAtOnce(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	refuse := func() {
		a.advance(40)
		qt.Assert(t, a.m.poll, qt.IsNotNil)
		a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
	}
	refuse()
	qt.Assert(t, a.reportedEnds("e1/1"), qt.HasLen, 0)
	refuse()
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndStopped})
	qt.Check(t, a.m.accepting(), qt.IsFalse)

	a.advance(40)
	a.handle(Announced{Instance: instance(2)})
	a.answerPoll()
	qt.Check(t, a.m.accepting(), qt.IsTrue)
}

// One refused connection is not enough, and a start whose connection was refused has not begun.
func TestAnsweredPollForgetsARefusedConnection(t *testing.T) {
	a := newAgentTest(t)
	a.begin("e1/1", "j1", 1000)
	a.confirmStart("j1")
	for range 3 {
		a.advance(40)
		a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderUnreachable})
		a.advance(40)
		a.answerPoll(Running{Task: "j1.0.0.0", Run: 1, Percent: 50})
	}
	qt.Check(t, a.reportedEnds("e1/1"), qt.HasLen, 0)

	a.begin("e2/1", "j2", 1000)
	a.handle(StartDone{Task: "j2.0.0.0", Run: 1, Outcome: OrderUnreachable})
	qt.Check(t, a.reportedEnds("e2/1"), qt.DeepEquals, []proto.EndReason{proto.EndNotBegun})
}
