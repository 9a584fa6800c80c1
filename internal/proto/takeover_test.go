package proto_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
)

// An entry of an older version leaves out what ran before: that must not be taken as never started.
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
}
