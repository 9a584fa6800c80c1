package runs

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
)

// pollProgress answers the pending poll, after some time, with the progress of four runs.
func (a *agentTest) pollProgress(after clock.Millis, percent float64) {
	a.t.Helper()
	a.now += after
	var list []Running
	for i := range 4 {
		list = append(list, Running{Task: fmt.Sprintf("j1.0.0.%d", i), Run: 1, Percent: percent})
	}
	a.answerPoll(list...)
}

// A backend server turns slow while it runs tasks: its agent reports the lower pace after two polls, while the runs go on.
func TestPaceFollowsTheProgressOfRuns(t *testing.T) {
	a := newAgentTest(t)
	a.now = 100
	b := proto.Begin{Seq: 1, Job: "j1", Service: "s"}
	for i := range 4 {
		b.Tasks = append(b.Tasks, proto.TaskBegin{Task: fmt.Sprintf("j1.0.0.%d", i), Run: 1, Need: room.Resources{CPU: 1000}, EstimateMS: 1000})
	}
	a.orders("e1/1", a.now, b)
	for i := range 4 {
		a.handle(StartDone{Task: fmt.Sprintf("j1.0.0.%d", i), Run: 1, Outcome: OrderDone, Born: 1})
	}
	qt.Assert(t, a.m.newReport().Pace, qt.Equals, 0.0)
	a.pollProgress(100, 10)
	a.pollProgress(100, 20)
	qt.Check(t, math.Abs(a.m.newReport().Pace-1) < 0.01, qt.IsTrue, qt.Commentf("%f", a.m.newReport().Pace))

	a.pollProgress(120, 22)
	a.pollProgress(120, 24)
	slow := a.m.newReport().Pace
	qt.Check(t, slow > 0 && slow < 0.66, qt.IsTrue, qt.Commentf("%f", slow))

	// What is not measured for a while is not known: the backend server may have recovered.
	a.now += paceTTL + 1
	a.handle(event.Tick{})
	qt.Check(t, a.m.newReport().Pace, qt.Equals, 0.0)
}

// progressFor lets eight runs make progress at a speed for some time, with a poll each 100 ms.
func progressFor(p *pace, from, span clock.Millis, speed float64) (now clock.Millis) {
	list := make([]run, 8)
	for i := range list {
		list[i] = run{estimate: 100 * clock.Second, polledAt: from}
	}
	for now = from; now < from+span; {
		now += 100
		for i := range list {
			p.progressed(now, &list[i], list[i].polledPercent+speed*0.1)
		}
	}
	return now
}

// A backend server that always works at half of the speed falls to an eighth for some seconds: its normal pace stays what it was, and
// the half is known from the first second and after a pause.
func TestTroubleLeavesTheNormalPace(t *testing.T) {
	near := func(got, want, by float64) {
		t.Helper()
		qt.Check(t, math.Abs(got-want) < by, qt.IsTrue, qt.Commentf("%f, want %f", got, want))
	}
	p := &pace{}
	qt.Assert(t, p.normal(), qt.Equals, 0.0)
	now := progressFor(p, 1000, 200, 0.55)
	near(p.normal(), 0.55, 0.01)
	now = progressFor(p, now, 5*clock.Second, 0.55)
	now = progressFor(p, now, 6*clock.Second, 0.125)
	near(p.value(now), 0.125, 0.01)
	near(p.normal(), 0.55, 0.11)
	now += 10 * paceTTL
	qt.Check(t, p.value(now), qt.Equals, 0.0)
	near(p.normal(), 0.55, 0.11)

	// What lasts becomes normal, a rise within seconds.
	now = progressFor(p, now, 10*clock.Second, 1.2)
	near(p.normal(), 1.2, 0.1)
	progressFor(p, now, 120*clock.Second, 0.55)
	near(p.normal(), 0.55, 0.1)
}

// A backend server that is cold after its start is no measure of what is normal for it.
func TestNormalPaceIsNotLearnedFromAColdServer(t *testing.T) {
	p := &pace{warmUntil: 3 * clock.Second}
	now := progressFor(p, 1000, 1500, 0.5)
	qt.Check(t, p.normal(), qt.Equals, 0.0)
	progressFor(p, now, clock.Second, 1)
	qt.Check(t, p.normal() > 0.9, qt.IsTrue, qt.Commentf("%f", p.normal()))
}

// The next backend server beside the agent may be another machine: nothing that was learned of the last one holds for it.
func TestNormalPaceEndsWithTheIncarnation(t *testing.T) {
	a := newAgentTest(t)
	progressFor(&a.m.pace, 1000, clock.Second, 0.55)
	qt.Assert(t, a.m.newReport().NormalPace > 0, qt.IsTrue)
	in := *a.m.instance
	in.ID, in.Born, in.Seq = "other", in.Born+1000, in.Seq+1
	a.handle(Announced{Instance: in})
	qt.Check(t, a.m.newReport().NormalPace, qt.Equals, 0.0)
}
