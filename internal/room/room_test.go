package room_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspur.example/corianderspur/internal/room"
)

func draw(t *rapid.T, name string) room.Resources {
	n := rapid.Int64Range(0, 1000)
	return room.Resources{CPU: n.Draw(t, name+" cpu"), MemMB: n.Draw(t, name+" mem"), GPU: n.Draw(t, name+" gpu")}
}

func TestWhatFitsLeavesNothingNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total, need := draw(t, "total"), draw(t, "need")
		rest := total.Minus(need)
		if total.Fits(need) != (rest.CPU >= 0 && rest.MemMB >= 0 && rest.GPU >= 0) {
			t.Fatalf("%+v in %+v leaves %+v", need, total, rest)
		}
		if rest.Plus(need) != total {
			t.Fatalf("%+v and %+v are not %+v", rest, need, total)
		}
	})
}

func TestShareIsThatOfTheScarcestAmount(t *testing.T) {
	total := room.Resources{CPU: 1000, MemMB: 100}
	qt.Check(t, room.Resources{CPU: 100, MemMB: 50}.ShareOf(total), qt.Equals, 0.1)
	qt.Check(t, room.Resources{CPU: 900, MemMB: 0}.ShareOf(total), qt.Equals, 0.0)
	qt.Check(t, room.Resources{CPU: -5, MemMB: 50}.ShareOf(total), qt.Equals, 0.0)
}
