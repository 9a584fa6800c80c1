package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
)

func (p *proc) configVersion() uint64 {
	return p.machine.(*entry.Machine).Config().Version
}

// A change made while work runs is in force at every entry within 3 s; the work goes on.
func TestConfigChangeUnderWork(t *testing.T) {
	c, w := session(t, 3, 2)
	e0 := w.proc("e0")
	answer := w.submit(e0, w.owned(e0, order, 3000))
	w.run(100)
	next := rules()
	next.ChangeID = "deny-orders"
	next.Rules[1].Deny = true
	e0.handle(entry.Apply{Ref: 2, Base: 1, Document: next})
	w.run(3000)
	for _, name := range []string{"e0", "e1", "e2"} {
		c.Check(w.proc(name).configVersion(), qt.Equals, uint64(2))
	}
	refused := w.submit(w.proc("e1"), w.owned(w.proc("e1"), order, 50))
	w.run(500)
	c.Assert(answer.status(), qt.Equals, proto.StatusComplete)
	c.Assert(refused.answer.Reason, qt.Equals, proto.ReasonDenied)
	w.golden(t)
}

// An entry that is cut off from the table learns of a change from another entry.
func TestConfigChangeReachesEntryCutFromTable(t *testing.T) {
	c, w := session(t, 3, 2)
	w.cuts[cut{"e2", tableName}] = w.now + 60_000
	w.cuts[cut{tableName, "e2"}] = w.now + 60_000
	next := rules()
	next.ChangeID = "second"
	w.proc("e0").handle(entry.Apply{Ref: 2, Base: 1, Document: next})
	w.run(3000)
	c.Assert(w.proc("e2").configVersion(), qt.Equals, uint64(2))
}

// Of two operators who race, one gets a conflict that names the other's change; the loser's change never comes into force.
func TestOperatorsRace(t *testing.T) {
	c, w := session(t, 2, 1)
	for i, name := range []string{"e0", "e1"} {
		d := rules()
		d.ChangeID = "by-" + name
		w.proc(name).handle(entry.Apply{Ref: uint64(10 + i), Base: 1, Document: d})
	}
	w.run(3000)
	var won string
	conflicts := 0
	for _, a := range w.applied[1:] {
		if a.Conflict == nil {
			won = map[uint64]string{10: "by-e0", 11: "by-e1"}[a.Ref]
			continue
		}
		conflicts++
		c.Check(a.Conflict.Who+a.Conflict.ChangeID, qt.Not(qt.Equals), "")
	}
	c.Assert(conflicts, qt.Equals, 1)
	for _, name := range []string{"e0", "e1"} {
		c.Check(w.proc(name).machine.(*entry.Machine).Config().ChangeID, qt.Equals, won)
	}
}

// A change whose reply is lost is settled by its id: it is made once, and making it again later changes nothing.
func TestLostReplyOfChange(t *testing.T) {
	c, w := session(t, 2, 1)
	e0 := w.proc("e0")
	second := rules()
	second.ChangeID = "second"
	w.lossy = w.now + 1000
	e0.handle(entry.Apply{Ref: 2, Base: 1, Document: second})
	w.run(6000)
	c.Assert(w.applied[1].Version, qt.Equals, uint64(2))
	third := rules()
	third.ChangeID = "third"
	e0.handle(entry.Apply{Ref: 3, Base: 2, Document: third})
	w.run(2000)
	e0.handle(entry.Apply{Ref: 4, Base: 1, Document: second})
	w.run(2000)
	c.Assert(w.applied[3].Version, qt.Equals, uint64(2))
	c.Assert(e0.machine.(*entry.Machine).Config().ChangeID, qt.Equals, "third")
}

// An entry never goes back to an older configuration, whatever another one sends it.
func TestConfigNeverReverts(t *testing.T) {
	c, w := session(t, 1, 1)
	m := w.proc("e0").machine.(*entry.Machine)
	old := *m.Config()
	old.Version = 0
	old.Rules = []policy.Rule{{Name: "old", Deny: true}}
	w.proc("e0").handle(received("e9", proto.Message{Beat: &proto.Beat{ConfigVersion: 0, Config: &old}}))
	c.Assert(m.Config().Version, qt.Equals, uint64(1))
	c.Assert(m.Config().Rules[0].Name, qt.Equals, "check")
}
