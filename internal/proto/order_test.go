package proto_test

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"corianderspur.example/corianderspur/internal/proto"
)

// A pace that no agent measures would make every other backend server look slow, or none.
func TestReportWithoutASensiblePaceIsMalformed(t *testing.T) {
	for _, pace := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e9} {
		r := proto.Report{Pace: pace}
		qt.Check(t, r.Check(), qt.IsNotNil, qt.Commentf("%f", pace))
		r = proto.Report{NormalPace: pace}
		qt.Check(t, r.Check(), qt.IsNotNil, qt.Commentf("normal %f", pace))
	}
	for _, pace := range []float64{0, 0.001, 1, 40} {
		r := proto.Report{Pace: pace, NormalPace: pace}
		qt.Check(t, r.Check(), qt.IsNil, qt.Commentf("%f", pace))
	}
}

// Cancels in a report come from other processes: their number and the lengths of their ids are bounded.
func TestReportWithUnboundedCancelsIsMalformed(t *testing.T) {
	long := strings.Repeat("x", 257)
	for _, r := range []proto.Report{
		{Cancels: make([]proto.RelayedCancel, proto.MaxCancels+1)}, {Cancelled: make([]string, proto.MaxCancels+1)},
		{Cancels: []proto.RelayedCancel{{Job: "", Asker: "e1/1"}}}, {Cancels: []proto.RelayedCancel{{Job: "j1"}}},
		{Cancels: []proto.RelayedCancel{{Job: long, Asker: "e1/1"}}}, {Cancelled: []string{""}}, {Cancelled: []string{long}},
	} {
		qt.Check(t, r.Check(), qt.IsNotNil)
	}
	r := proto.Report{Cancels: []proto.RelayedCancel{{Job: "j1", Asker: "e1/1"}}, Cancelled: []string{"j2"}}
	qt.Check(t, r.Check(), qt.IsNil)
}

// While processes of two versions run, the older ones ignore fields that they don't know.
func TestFieldsOfLaterVersionsAreIgnored(t *testing.T) {
	orders := map[string]any{"stamp": 5, "later": []map[string]any{{"job": "j1"}}}
	frame, err := cbor.Marshal([]any{map[string]any{"orders": orders, "later": 1}})
	qt.Assert(t, err, qt.IsNil)
	messages, err := proto.Decode(frame)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, messages, qt.HasLen, 1)
	qt.Assert(t, messages[0].Orders, qt.DeepEquals, &proto.Orders{Stamp: 5})
}

func TestFrameKeepsCancels(t *testing.T) {
	messages := []proto.Message{
		{Orders: &proto.Orders{Stamp: 5, Cancels: []string{"j1"}, Cancelled: []proto.RelayedCancel{{Job: "j2", Asker: "e1/1"}}}},
		{Report: &proto.Report{Echo: 5, Cancels: []proto.RelayedCancel{{Job: "j2", Asker: "e1/1"}}, Cancelled: []string{"j1"}}},
	}
	frame, err := proto.Encode(messages)
	qt.Assert(t, err, qt.IsNil)
	got, err := proto.Decode(frame)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, messages)
}
