package agent_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// A refusal replaces the outcome of the attempt before, which must not make a task that failed look as if it never ran.
func TestRefusalAfterAFailureDoesNotHideIt(t *testing.T) {
	for _, x := range []struct {
		ran  bool
		want proto.Ran
	}{{true, proto.RanUnknown}, {false, proto.RanNo}} {
		m := serving(t, 1, lease)
		again := start(1, "job", true)
		again.Message.Start.Items = []proto.Item{{Attempt: 2}}
		if x.ran {
			m.Handle(2000, start(1, "job", true))
			m.Handle(2001, agent.RunDone{Key: again.Message.Start.Key, Attempt: 1, Verdict: agent.VerdictTaskFailed})
		}
		m.Handle(2002, agent.BackendLeaving{})
		if !x.ran {
			m.Handle(2003, start(1, "job", true))
		}
		m.Handle(2004, again)
		fence := proto.Message{Fence: &proto.Fence{Shards: []proto.ShardEpoch{{Shard: 1, Epoch: 2}}}}
		var outcomes []proto.Outcome
		for _, a := range m.Handle(2005, event.Received{From: owner, Message: fence}) {
			if s, ok := a.(event.Send); ok && s.Message.Fenced != nil {
				outcomes = s.Message.Fenced.Records[0].Outcomes
			}
		}
		qt.Check(t, outcomes, qt.DeepEquals, []proto.Outcome{{
			Attempt: 2, State: proto.StateRefused, Refusal: proto.ReasonStopping, RanBefore: x.want,
		}})
	}
}
