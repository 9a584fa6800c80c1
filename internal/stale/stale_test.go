package stale_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/stale"
)

// Runs that come back show that others take what reports name: room for one task is gone within milliseconds, room for four is
// used for fewer. Once no run has come back for a while, reports hold.
func TestOldReportsCountForLessWhileRunsComeBack(t *testing.T) {
	c := &stale.Contention{}
	task := room.Resources{CPU: 7000}
	fits := func(cpu int64, left float64) bool { return room.Resources{CPU: cpu}.Times(left).Fits(task) }
	qt.Check(t, c.Left(1000, 400), qt.Equals, 1.0)

	c.Returned(1000)
	qt.Check(t, fits(8000, c.Left(1001, 0)), qt.IsTrue)
	qt.Check(t, fits(8000, c.Left(1001, 20)), qt.IsFalse)
	qt.Check(t, fits(28_000, c.Left(1001, 50)), qt.IsTrue)
	qt.Check(t, fits(28_000, c.Left(1001, 100)), qt.IsFalse)
	qt.Check(t, c.Left(1499, 20) < 1, qt.IsTrue)
	qt.Check(t, c.Left(1500, 20), qt.Equals, 1.0)
}
