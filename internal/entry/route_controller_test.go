package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

// A caller must not be told that nothing ran by an owner's answer from before its job was forwarded again.
func TestNotRunOfAFormerOwnerIsNotDeliveredWhileTheJobIsUnderWay(t *testing.T) {
	const owner, next = shard.ID("entry-1/1"), shard.ID("entry-2/1")
	m := newSingleEntry(t, 1, 1)
	terms := shard.Terms{Lease: 3000, Margin: 500, Retention: 600_000}
	members := []shard.Member{{ID: self, Addr: "127.0.0.1:1"}, {ID: owner, Addr: "127.0.0.1:2"}, {ID: next, Addr: "127.0.0.1:3"}}
	adopt := func(version uint64, id shard.ID) []event.Action {
		return m.Handle(10, event.Received{From: owner, Message: proto.Message{Beat: &proto.Beat{Sent: 1, MapVersion: version, Map: &shard.Map{
			Version: version, Writer: owner, Terms: terms, Members: members, Shards: []shard.Owner{{ID: id, Epoch: version}},
		}}}})
	}
	for _, id := range []shard.ID{owner, next} {
		m.Handle(9, event.SessionUp{Peer: id, Role: proto.RoleEntry})
	}
	forwards := func(actions []event.Action) (to []shard.ID) {
		for _, a := range actions {
			if s, ok := a.(event.Send); ok && s.Message.Forward != nil {
				to = append(to, s.To)
			}
		}
		return to
	}
	adopt(2, owner)
	job := proto.Job{Key: shard.NewKey("shops", "job"), ID: "job", Tenant: "shops", Budget: 10_000, Digest: 1, Tasks: []proto.Task{{}}}
	qt.Assert(t, forwards(m.Handle(11, entry.Submit{Ref: 1, Job: job})), qt.DeepEquals, []shard.ID{owner})
	qt.Assert(t, forwards(adopt(3, next)), qt.DeepEquals, []shard.ID{next})

	for _, a := range m.Handle(12, event.Received{From: owner, Message: proto.Message{Answer: &proto.Answer{
		Key: job.Key, Digest: 1, Status: proto.StatusRefused, Run: proto.RanNo, Reason: proto.ReasonOverload,
	}}}) {
		if r, ok := a.(entry.Respond); ok {
			qt.Check(t, r.Answer.Run, qt.Not(qt.Equals), proto.RanNo)
		}
	}
}

// A caller must be told by the answer to the newest forward of its job, not by one that was made before, and be told once.
func TestAnswerToTheNewestForwardIsDelivered(t *testing.T) {
	const owner = shard.ID("entry-1/1")
	m := newSingleEntry(t, 1, 1)
	terms := shard.Terms{Lease: 3000, Margin: 500, Retention: 600_000}
	m.Handle(9, event.SessionUp{Peer: owner, Role: proto.RoleEntry})
	m.Handle(10, event.Received{From: owner, Message: proto.Message{Beat: &proto.Beat{Sent: 1, MapVersion: 2, Map: &shard.Map{
		Version: 2, Writer: owner, Terms: terms, Shards: []shard.Owner{{ID: owner, Epoch: 2}},
		Members: []shard.Member{{ID: self, Addr: "127.0.0.1:1"}, {ID: owner, Addr: "127.0.0.1:2"}},
	}}}})
	var forwards []uint64
	var told []proto.Ran
	take := func(actions []event.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case event.Send:
				if a.Message.Forward != nil {
					forwards = append(forwards, a.Message.Forward.Number)
				}
			case entry.Respond:
				told = append(told, a.Answer.Run)
			}
		}
	}
	job := proto.Job{Key: shard.NewKey("shops", "job"), ID: "job", Tenant: "shops", Budget: 10_000, Digest: 1, Tasks: []proto.Task{{}}}
	take(m.Handle(11, entry.Submit{Ref: 1, Job: job}))
	take(m.Handle(12, event.SessionDown{Peer: owner}))
	take(m.Handle(13, event.SessionUp{Peer: owner, Role: proto.RoleEntry}))
	qt.Assert(t, forwards, qt.DeepEquals, []uint64{1, 2})
	for i, n := range forwards {
		take(m.Handle(14, event.Received{From: owner, Message: proto.Message{Answer: &proto.Answer{
			Key: job.Key, Digest: 1, Status: proto.StatusRefused, Run: proto.RanNo, Reason: proto.ReasonOverload, Forward: n,
		}}}))
		qt.Check(t, told, qt.HasLen, i)
	}
	qt.Check(t, told, qt.DeepEquals, []proto.Ran{proto.RanNo})
}

// The owner's answer repeats the number of the forward that it answers, or its receiver could never be told that nothing ran.
func TestAnswerRepeatsTheNumberOfTheForward(t *testing.T) {
	const from = shard.ID("entry-1/1")
	m := newSingleEntry(t, 1, 1)
	m.Handle(9, event.SessionUp{Peer: from, Role: proto.RoleEntry})
	job := proto.Job{Key: shard.NewKey("shops", "job"), ID: "job", Tenant: "shops", Budget: 10_000, Digest: 1, Tasks: []proto.Task{{}}}
	for n := range uint64(2) {
		m.Handle(10, event.Received{From: from, Message: proto.Message{Forward: &proto.Forward{Job: job, Wait: true, Number: n + 7}}})
	}
	var answered []uint64
	for _, a := range m.Handle(11, event.Received{From: agentID(0), Message: proto.Message{Result: &proto.Result{
		Key: job.Key, Digest: 1, Outcomes: []proto.Outcome{{Attempt: 1, State: proto.StateDone}},
	}}}) {
		if s, ok := a.(event.Send); ok && s.Message.Answer != nil {
			answered = append(answered, s.Message.Answer.Forward)
		}
	}
	qt.Check(t, answered, qt.DeepEquals, []uint64{8})
}

// An entry that loses a shard and gets it back must not start a job by a forward of before: its sender has forwarded it again.
func TestForwardOfAnEarlierEpochStartsNothing(t *testing.T) {
	const other, from = shard.ID("entry-1/1"), shard.ID("entry-2/1")
	for epoch, want := range map[uint64]int{1: 0, 3: 1} {
		m := newSingleEntry(t, 1, 1)
		terms := shard.Terms{Lease: 3000, Margin: 500, Retention: 600_000}
		members := []shard.Member{{ID: self, Addr: "127.0.0.1:1"}, {ID: other, Addr: "127.0.0.1:2"}, {ID: from, Addr: "127.0.0.1:3"}}
		m.Handle(9, event.SessionUp{Peer: from, Role: proto.RoleEntry})
		adopt := func(version uint64, id shard.ID) []event.Action {
			return m.Handle(10, event.Received{From: from, Message: proto.Message{Beat: &proto.Beat{Sent: 1, MapVersion: version, Map: &shard.Map{
				Version: version, Writer: from, Terms: terms, Members: members, Shards: []shard.Owner{{ID: id, Epoch: version}},
			}}}})
		}
		adopt(2, other)
		job := proto.Job{Key: shard.NewKey("shops", "job"), ID: "job", Tenant: "shops", Budget: 60_000, Digest: 1, Tasks: []proto.Task{{}}}
		m.Handle(11, event.Received{From: from, Message: proto.Message{Forward: &proto.Forward{
			Job: job, Wait: true, Number: 1, Epoch: epoch,
		}}})
		starts := 0
		count := func(actions []event.Action) (directory []event.Action) {
			for _, a := range actions {
				if s, ok := a.(event.Send); ok && s.Message.Start != nil {
					starts++
				}
				if call, ok := a.(event.TableCall); ok && len(call.Txn.Prefixes) > 0 {
					row := table.Row{Key: agent.MapKey, Version: 3}
					directory = m.Handle(12, event.TableDone{Call: call.Call, Reply: table.Reply{Applied: true, Rows: []table.Row{row}}})
				}
			}
			return directory
		}
		count(count(adopt(3, self)))
		count(m.Handle(5000, event.Tick{}))
		qt.Check(t, starts, qt.Equals, want, qt.Commentf("epoch %d", epoch))
	}
}

// An owner that got its shard back drops forwards of before, so a job must be forwarded again although the owner is the same.
func TestJobIsForwardedAgainUnderANewEpoch(t *testing.T) {
	const owner = shard.ID("entry-1/1")
	m := newSingleEntry(t, 1, 1)
	m.Handle(9, event.SessionUp{Peer: owner, Role: proto.RoleEntry})
	adopt := func(version uint64) []event.Action {
		return m.Handle(10, event.Received{From: owner, Message: proto.Message{Beat: &proto.Beat{Sent: 1, MapVersion: version, Map: &shard.Map{
			Version: version, Writer: owner, Terms: shard.Terms{Lease: 3000, Margin: 500, Retention: 600_000},
			Members: []shard.Member{{ID: self, Addr: "127.0.0.1:1"}, {ID: owner, Addr: "127.0.0.1:2"}},
			Shards:  []shard.Owner{{ID: owner, Epoch: version}},
		}}}})
	}
	adopt(2)
	job := proto.Job{Key: shard.NewKey("shops", "job"), ID: "job", Tenant: "shops", Budget: 10_000, Digest: 1, Tasks: []proto.Task{{}}}
	var epochs []uint64
	for _, a := range append(m.Handle(11, entry.Submit{Ref: 1, Job: job}), adopt(4)...) {
		if s, ok := a.(event.Send); ok && s.Message.Forward != nil {
			epochs = append(epochs, s.Message.Forward.Epoch)
		}
	}
	qt.Check(t, epochs, qt.DeepEquals, []uint64{2, 4})
}
