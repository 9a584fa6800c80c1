package proto_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/proto"
)

// A pace that no agent measures would make every other backend server look slow, or none.
func TestReportWithoutASensiblePaceIsMalformed(t *testing.T) {
	for _, pace := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e9} {
		r := proto.Report{Pace: pace}
		qt.Check(t, r.Check(), qt.IsNotNil, qt.Commentf("%f", pace))
	}
	for _, pace := range []float64{0, 0.001, 1, 40} {
		r := proto.Report{Pace: pace}
		qt.Check(t, r.Check(), qt.IsNil, qt.Commentf("%f", pace))
	}
}
