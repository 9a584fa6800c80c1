package agent_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

const lease = 3 * clock.Second

func start(epoch uint64, job string, repeatable bool) event.Received {
	return event.Received{From: owner, Message: proto.Message{Start: &proto.Start{
		Shard: 1, Epoch: epoch, Key: shard.NewKey("shops", job), Job: job, Tenant: "shops", Repeatable: repeatable,
		Budget: 60_000, Items: []proto.Item{{Attempt: 1, Payload: []byte(`{"ms":50}`)}},
	}}}
}

// runs counts the tasks that actions start.
func runs(actions []event.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(agent.Run); ok {
			n++
		}
	}
	return n
}

func pong(sent, age clock.Millis) event.Received {
	return event.Received{From: owner, Message: proto.Message{Pong: &proto.Pong{Sent: sent, MapVersion: 1, MapConfirmed: true, ConfirmedAge: age}}}
}

// An agent whose map was confirmed neither by an entry nor by the table within the lease starts no task that must not be
// repeated.
func TestLapsedLeaseRefusesStarts(t *testing.T) {
	m := serving(t, 1, lease)
	qt.Check(t, runs(m.Handle(2000, start(1, "in time", false))), qt.Equals, 1)
	qt.Check(t, runs(m.Handle(1000+lease+1, start(1, "too late", false))), qt.Equals, 0)
	qt.Check(t, runs(m.Handle(1000+lease+2, start(1, "repeatable", true))), qt.Equals, 1)
	m.Handle(6000, pong(5900, 100))
	qt.Check(t, runs(m.Handle(6001, start(1, "current again", false))), qt.Equals, 1)
}

// A delayed reply does not extend the lease: the lease counts from when the heartbeat was sent, not from the arrival of
// the reply.
func TestLateAnswerIsNotFresh(t *testing.T) {
	m := serving(t, 1, lease)
	m.Handle(9000, pong(2000, 0))
	qt.Check(t, runs(m.Handle(9001, start(1, "late", false))), qt.Equals, 0)
}

// A reply extends the lease only if the entry has heard from every other one, recently enough, and holds the same map as
// the agent.
func TestOnlyFreshVouchersCount(t *testing.T) {
	m := serving(t, 2, lease)
	m.Handle(6000, pong(5900, lease))
	qt.Check(t, runs(m.Handle(6001, start(1, "too old", false))), qt.Equals, 0)
	for _, p := range []proto.Pong{{Sent: 5900, MapVersion: 1}, {Sent: 5900, MapVersion: 0, MapConfirmed: true}} {
		m.Handle(6002, event.Received{From: owner, Message: proto.Message{Pong: &p}})
		qt.Check(t, runs(m.Handle(6003, start(1, "not vouched", false))), qt.Equals, 0)
	}
	m.Handle(6004, pong(5900, 1000))
	qt.Check(t, runs(m.Handle(6005, start(1, "vouched", false))), qt.Equals, 1)
}

// Once the agent has seen a newer epoch, it refuses starts under an older one.
func TestFenceRefusesOlderEpoch(t *testing.T) {
	m := serving(t, 1, lease)
	m.Handle(2000, event.Received{From: owner, Message: proto.Message{Fence: &proto.Fence{
		Shards: []proto.ShardEpoch{{Shard: 1, Epoch: 5}},
	}}})
	qt.Check(t, runs(m.Handle(2001, start(4, "old", false))), qt.Equals, 0)
	qt.Check(t, runs(m.Handle(2002, start(4, "old and repeatable", true))), qt.Equals, 0)
	qt.Check(t, runs(m.Handle(2003, start(5, "new", false))), qt.Equals, 1)
}

// A start that arrives twice runs once.
func TestDoubledStart(t *testing.T) {
	m := serving(t, 1, lease)
	qt.Check(t, runs(m.Handle(2000, start(1, "a", false))), qt.Equals, 1)
	qt.Check(t, runs(m.Handle(2001, start(1, "a", false))), qt.Equals, 0)
	m.Handle(2002, agent.RunDone{Key: shard.NewKey("shops", "a"), Attempt: 1, Verdict: agent.VerdictDone})
	qt.Check(t, runs(m.Handle(2003, start(1, "a", false))), qt.Equals, 0)
}

// A queued task is refused, not started, if the lease has expired when a slot becomes free.
func TestLeaseLapsesInQueue(t *testing.T) {
	m := serving(t, 1, lease)
	for i := range 8 {
		m.Handle(2000, start(1, string(rune('a'+i)), false))
	}
	qt.Check(t, runs(m.Handle(2000, start(1, "waits", false))), qt.Equals, 0)
	done := agent.RunDone{Key: shard.NewKey("shops", "a"), Attempt: 1, Verdict: agent.VerdictDone}
	actions := m.Handle(1000+lease+1, done)
	qt.Check(t, runs(actions), qt.Equals, 0)
	refused := false
	for _, a := range actions {
		if s, ok := a.(event.Send); ok && s.Message.Result != nil {
			o := s.Message.Result.Outcomes[0]
			refused = refused || (o.State == proto.StateRefused && o.Refusal == proto.ReasonStale)
		}
	}
	qt.Check(t, refused, qt.IsTrue)
}

// A backend server is ejected after two consecutive failures and takes tasks again after one successful trial.
func TestFailingBackendServerIsEjected(t *testing.T) {
	m := serving(t, 1, 1<<40)
	now := clock.Millis(2000)
	fail := func(job string, v agent.Verdict) {
		m.Handle(now, start(1, job, false))
		m.Handle(now, agent.RunDone{Key: shard.NewKey("shops", job), Attempt: 1, Verdict: v})
	}
	fail("1", agent.VerdictServerFailed)
	fail("2", agent.VerdictServerFailed)
	qt.Check(t, m.Status(now).Load.Ejected, qt.IsTrue)
	qt.Check(t, runs(m.Handle(now, start(1, "3", false))), qt.Equals, 0)
	now += 5000
	m.Handle(now, event.Tick{})
	qt.Check(t, m.Status(now).Load.Trial, qt.IsTrue)
	qt.Check(t, runs(m.Handle(now, start(1, "4", false))), qt.Equals, 1)
	qt.Check(t, runs(m.Handle(now, start(1, "5", false))), qt.Equals, 0)
	m.Handle(now, agent.RunDone{Key: shard.NewKey("shops", "4"), Attempt: 1, Verdict: agent.VerdictDone})
	qt.Check(t, m.Status(now).Load.Trial, qt.IsFalse)
}

// A stopping agent accepts no records of another agent: they would be lost when it exits.
func TestStoppingAgentTakesNoCustody(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		m := serving(t, 1, lease)
		if stopping {
			m.Handle(2000, event.Stop{})
		}
		taken := false
		custody := proto.Message{RecordTransfer: &proto.RecordTransfer{Of: "agent-1/1"}}
		for _, a := range m.Handle(2001, event.Received{From: owner, Message: custody}) {
			s, ok := a.(event.Send)
			taken = taken || (ok && s.Message.RecordTransferAck != nil)
		}
		qt.Check(t, taken, qt.Equals, !stopping)
	}
}

// Several agents may have a record of the same task: a refusal at one must not replace the outcome of a run at another.
func TestCustodyKeepsWhatRan(t *testing.T) {
	key := shard.NewKey("shops", "order")
	refused := proto.Outcome{Attempt: 1, State: proto.StateRefused, Refusal: proto.ReasonStopping}
	done := proto.Outcome{Attempt: 2, State: proto.StateDone, Output: []byte("x")}
	for _, order := range [][]proto.Outcome{{refused, done}, {done, refused}} {
		m := serving(t, 1, lease)
		for i, o := range order {
			m.Handle(clock.Millis(2000+i), event.Received{From: owner, Message: proto.Message{RecordTransfer: &proto.RecordTransfer{
				Records: []proto.ShardRecord{{Shard: 1, Record: proto.Record{Key: key, Outcomes: []proto.Outcome{o}}}},
			}}})
		}
		fence := proto.Message{Fence: &proto.Fence{Shards: []proto.ShardEpoch{{Shard: 1, Epoch: 2}}}}
		for _, a := range m.Handle(2002, event.Received{From: owner, Message: fence}) {
			if s, ok := a.(event.Send); ok && s.Message.Fenced != nil {
				qt.Check(t, s.Message.Fenced.Records[0].Outcomes, qt.DeepEquals, []proto.Outcome{done})
			}
		}
	}
}

// An agent that the map marks as lost takes a new identity and starts nothing before that one is registered.
func TestStruckAgentTakesNewIdentity(t *testing.T) {
	m := serving(t, 1, 1<<40)
	next := shard.New(shard.Member{ID: owner}, 256, shard.Terms{Lease: 1 << 40, Retention: 600_000}).Next(owner)
	next.MarkLost("agent-0/1")
	reset := false
	for _, a := range m.Handle(2000, event.Received{From: owner, Message: proto.Message{Fence: &proto.Fence{Map: next}}}) {
		if r, ok := a.(event.Reset); ok {
			reset = r.ID == "agent-0/1.1"
		}
	}
	qt.Check(t, reset, qt.IsTrue)
	qt.Check(t, m.ID(), qt.Equals, shard.ID("agent-0/1.1"))
	qt.Check(t, runs(m.Handle(2001, start(1, "not joined", false))), qt.Equals, 0)
}
