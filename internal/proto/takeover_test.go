package proto_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
)

// An entry or an agent of an older version leaves out what ran before: then nothing is known, unless one start was sent.
func TestStateOfAnOlderVersionIsNotTakenAsNeverStarted(t *testing.T) {
	for _, x := range []struct {
		state proto.JobState
		want  proto.Ran
	}{
		{proto.JobState{Tasks: []proto.TaskState{{}}}, proto.RanNo},
		{proto.JobState{Tasks: []proto.TaskState{{Attempt: 1, State: proto.StateRunning}}}, proto.RanNo},
		{proto.JobState{Tasks: []proto.TaskState{{}, {Attempt: 1}}}, proto.RanUnknown},
		{proto.JobState{Tasks: []proto.TaskState{{Attempt: 2, State: proto.StateRunning}}}, proto.RanUnknown},
		{proto.JobState{Tasks: []proto.TaskState{{Attempt: 2}}, RanBefore: proto.RanNo}, proto.RanNo},
		{proto.JobState{Tasks: []proto.TaskState{{Attempt: 2}}, RanBefore: proto.RanYes}, proto.RanYes},
	} {
		qt.Check(t, x.state.EarlierStarts(), qt.Equals, x.want, qt.Commentf("%+v", x.state))
	}
	for _, x := range []struct {
		outcome proto.Outcome
		want    bool
	}{
		{proto.Outcome{Attempt: 1, State: proto.StateRefused}, false},
		{proto.Outcome{Attempt: 2, State: proto.StateRefused}, true},
		{proto.Outcome{Attempt: 2, State: proto.StateRefused, RanBefore: proto.RanNo}, false},
		{proto.Outcome{Attempt: 2, State: proto.StateRefused, RanBefore: proto.RanUnknown}, true},
	} {
		qt.Check(t, x.outcome.MayHaveRunBefore(), qt.Equals, x.want, qt.Commentf("%+v", x.outcome))
	}
}
