package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

func (a *agentTest) beginKind(job, kind string, cpu int64) {
	b := a.newBegin(job, cpu)
	b.Tasks[0].Kind = kind
	a.orders("e1/1", a.now, b)
	a.confirmStart(job)
}

// finish lists the end of a job's run and returns what the report says of it.
func (a *agentTest) finish(n uint64, job string) proto.End {
	a.t.Helper()
	var others []Running
	for task := range a.m.runs {
		if task != job+".0.0.0" {
			others = append(others, Running{Task: task, Run: 1})
		}
	}
	a.handle(PollDone{Number: a.m.poll.Number, Outcome: OrderDone, Born: 1, Running: others, Ended: []Ended{{N: n, Task: job + ".0.0.0", Run: 1, How: proto.EndDone}}})
	for _, s := range actions[event.Send](a) {
		for _, e := range s.Message.Report.Ends {
			if e.Task == job+".0.0.0" {
				return e
			}
		}
	}
	a.t.Fatalf("no end of %s", job)
	return proto.End{}
}

// A run's end tells the mean shares of what ran beside it, not of the run itself.
func TestEndsTellWhatRanBeside(t *testing.T) {
	a := newAgentTest(t)
	a.beginKind("j1", "scan", 1000)
	a.now += 100
	a.beginKind("j2", "index", 2000)
	a.beginKind("j3", "scan", 400)
	a.now += 100
	got := a.finish(1, "j1").Beside
	qt.Check(t, got, qt.DeepEquals, []proto.KindShare{{Kind: "index", Share: 0.25}, {Kind: "scan", Share: 0.05}})
	a.now += 100
	qt.Check(t, a.finish(2, "j2").Beside, qt.DeepEquals, []proto.KindShare{{Kind: "scan", Share: (100 + 2*40) / 800.0}})
	qt.Check(t, a.m.newReport().Kinds, qt.DeepEquals, []proto.KindShare{{Kind: "scan", Share: 0.1}})
}

// Where no service keeps its kinds apart reports are as they were.
func TestRunsWithoutAKindTellNothing(t *testing.T) {
	a := newAgentTest(t)
	a.beginKind("j1", "", 1000)
	a.now += 100
	qt.Check(t, a.finish(1, "j1").Beside, qt.IsNil)
	qt.Check(t, a.m.newReport().Kinds, qt.IsNil)
	qt.Check(t, a.m.beside.kinds, qt.IsNil)
}

// Kinds that come and go leave no trace beyond the bound of a message.
func TestKindsAtAnAgentAreBounded(t *testing.T) {
	a := newAgentTest(t)
	for i := range 3 * proto.MaxKindShares {
		job := string(rune('a' + i))
		a.beginKind(job, "kind "+job, 10)
		a.now += 10
		qt.Check(t, len(a.m.newReport().Kinds) <= proto.MaxKindShares, qt.IsTrue)
		if i%2 == 0 {
			a.finish(uint64(i+1), job)
		}
		r := a.m.newReport()
		qt.Check(t, r.Check(), qt.IsNil)
	}
	qt.Check(t, len(a.m.beside.kinds) <= proto.MaxKindShares, qt.IsTrue)
}
