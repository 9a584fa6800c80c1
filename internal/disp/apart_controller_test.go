package disp

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// learnDisturbance reports runs of the kinds cold and hot, of which the first takes twice as long beside the second.
func (e *entryTest) learnDisturbance(agent shard.ID, runs int) (found []event.Note) {
	for i := range runs {
		e.now += 5
		j := jobOf(1000+i, 1, 100)
		j.Steps[0].Kind = []string{"cold", "hot", "other"}[i%3]
		e.do(Submit{Ticket: uint64(1000 + i), Job: j})
		hot, other := float64(i/3%4)*0.2, float64(i/12%4)*0.1
		took := 100.0
		if i%3 == 0 {
			took *= 1 + hot
		}
		r := e.reports[agent]
		r.Facts, r.Inventory, r.LastBegin = nil, nil, e.m.agents[agent].beginSeq
		r.Ends = []proto.End{{
			N: uint64(i + 1), Task: j.ID + ".0.0.0", Run: 1, How: proto.EndDone, TookMS: clock.Millis(took),
			Beside: []proto.KindShare{{Kind: "hot", Share: hot}, {Kind: "other", Share: other}},
		}}
		e.receive(agent, r)
		for _, a := range e.out {
			if n, ok := a.(event.Note); ok && n.Name == "kinds_disturb" {
				found = append(found, n)
			}
		}
	}
	return found
}

func newApartTest(t *testing.T, services ...string) *entryTest {
	e := newEntryTest(t)
	e.m.cfg.KeepApart = services
	e.attach("a1/1")
	return e
}

// The load pattern of two kinds of which one slows the other down: after some hundred runs it is known, and its tasks go where they
// run beside others.
func TestKindsThatDisturbAreKeptApart(t *testing.T) {
	e := newApartTest(t, AnyService)
	found := e.learnDisturbance("a1/1", 1200)
	qt.Assert(t, found, qt.HasLen, 1)
	qt.Check(t, found[0].Class+" by "+found[0].Reason, qt.Equals, "cold by hot")
	list := e.m.Disturbances()
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Check(t, list[0].Factor > 1.2, qt.IsTrue)

	for i, kind := range []string{"hot", "other"} {
		id := shard.ID(fmt.Sprintf("a%d/1", i+1))
		if i > 0 {
			e.attach(id)
		}
		r := e.reports[id]
		r.Facts, r.Inventory, r.Ends = nil, nil, nil
		r.Free.CPU = 3400 - 500*int64(i)
		r.Kinds = []proto.KindShare{{Kind: kind, Share: 0.9}}
		e.receive(id, r)
	}
	j := jobOf(1, 1, 100)
	j.Steps[0].Kind = "cold"
	e.do(Submit{Ticket: 1, Job: j})
	qt.Check(t, e.m.jobs[j.ID].tasks[0].agent, qt.Equals, shard.ID("a2/1"))
}

// Off by default: nothing is learned, and orders say nothing of kinds.
func TestKindsAreNotKeptApartUnlessAsked(t *testing.T) {
	e := newApartTest(t, "another")
	qt.Check(t, e.learnDisturbance("a1/1", 1200), qt.HasLen, 0)
	qt.Check(t, e.m.Disturbances(), qt.HasLen, 0)
	j := jobOf(1, 1, 100)
	j.Steps[0].Kind = "cold"
	e.do(Submit{Ticket: 1, Job: j})
	for _, a := range e.out {
		if s, ok := a.(event.Send); ok {
			for _, b := range s.Message.Orders.Begins {
				qt.Check(t, b.Tasks[0].Kind, qt.Equals, "")
			}
		}
	}
}
