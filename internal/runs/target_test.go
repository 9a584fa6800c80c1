package runs

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// kindOf returns an incarnation of the backend server with a label.
func kindOf(id string, born int64, label string) Instance {
	in := instance(born)
	in.ID, in.Labels = id, []string{label}
	return in
}

// newKindTest returns an agent whose backend server is of kind a, and the order that a dispatcher places on it by its facts.
func newKindTest(t *testing.T) (*agentTest, proto.Begin) {
	a := newAgentTest(t)
	a.handle(Announced{Instance: kindOf("r1", 5, "a")})
	a.answerPoll()
	b := a.newBegin("j1", 1000)
	f := a.m.facts()
	b.Instance, b.Born = f.Instance, f.Born
	b.Tasks[0].Requires = "a"
	return a, b
}

// Review case 10: an order that a cut held up for less than the dispatcher's silence started on the next backend server, of another kind.
func TestOrderForAnEarlierKindStartsNothing(t *testing.T) {
	for name, next := range map[string]Instance{
		"same id":             kindOf("r1", 6, "b"),
		"other id":            kindOf("r2", 6, "b"),
		"same kind, other id": kindOf("r2", 6, "a"),
	} {
		t.Run(name, func(t *testing.T) {
			a, held := newKindTest(t)
			sentAt := a.now
			a.advance(100)
			a.handle(Announced{Instance: next})
			a.answerPoll()
			a.advance(clock.Millis(100))
			a.orders("e1/1", sentAt, held)
			qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
			qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndOutdated})
		})
	}
}

// The labels of a backend server change while an order is on its way, or while its run waits for room.
func TestRunNeedsItsLabelWhenItStarts(t *testing.T) {
	a, held := newKindTest(t)
	changed := kindOf("r1", 5, "b")
	changed.Seq++
	a.handle(Announced{Instance: changed})
	for _, s := range actions[event.Send](a) {
		qt.Check(t, s.Message.Report.Facts.Labels, qt.DeepEquals, []string{"b"})
	}
	a.orders("e1/1", a.now, held)
	qt.Check(t, a.reportedEnds("e1/1"), qt.DeepEquals, []proto.EndReason{proto.EndOutdated})

	a, held = newKindTest(t)
	a.begin("e2/1", "j2", 4000)
	a.confirmStart("j2")
	a.orders("e1/1", a.now, held)
	qt.Assert(t, a.m.queue, qt.HasLen, 1)
	a.handle(Announced{Instance: changed})
	a.answerPoll()
	a.handle(PollDone{Number: a.m.lastPoll, Outcome: OrderDone, Born: 5, Ended: []Ended{{N: 1, Task: "j2.0.0.0", Run: 1, How: proto.EndDone}}})
	qt.Check(t, actions[StartRun](a), qt.HasLen, 0)
}

func TestOrderForTheKnownIncarnationStarts(t *testing.T) {
	a, b := newKindTest(t)
	a.orders("e1/1", a.now, b)
	qt.Assert(t, actions[StartRun](a), qt.HasLen, 1)
}
