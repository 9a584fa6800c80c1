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
