package wait_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/wait"
)

// Jobs with few tasks leave capacity for a job of the first priority with many, as long as such jobs keep arriving.
func TestGuardKeepsRoomForTheFirstPriority(t *testing.T) {
	g := &wait.Reservation{}
	total := room.Resources{CPU: 400_000, MemMB: 10_000}
	taskNeed := room.Resources{CPU: 3000, MemMB: 64}
	narrow, wide := wait.Job{Priority: 1}, wait.Job{Priority: 0}
	qt.Check(t, g.Reserved(0, narrow, taskNeed, total), qt.Equals, room.Resources{})

	g.Observe(100, room.Resources{CPU: 48_000, MemMB: 1000}, room.Resources{CPU: 3000, MemMB: 64})
	qt.Check(t, g.Reserved(200, narrow, taskNeed, total), qt.Equals, room.Resources{CPU: 24_000, MemMB: 500})
	qt.Check(t, g.Reserved(200, wide, taskNeed, total), qt.Equals, room.Resources{})
	qt.Check(t, g.Reserved(200, wait.Job{Priority: 1, Started: true}, taskNeed, total), qt.Equals, room.Resources{})
	qt.Check(t, g.Reserved(100+5*clock.Second+1, narrow, taskNeed, total), qt.Equals, room.Resources{})
}

// On a small deployment, a job with many tasks does not reserve all of the capacity.
func TestGuardKeepsATenthAtMost(t *testing.T) {
	g := &wait.Reservation{}
	g.Observe(100, room.Resources{CPU: 48_000, MemMB: 1000}, room.Resources{CPU: 3000, MemMB: 64})
	reserved := g.Reserved(200, wait.Job{Priority: 2}, room.Resources{CPU: 3000}, room.Resources{CPU: 100_000, MemMB: 1000})
	qt.Check(t, reserved, qt.Equals, room.Resources{CPU: 10_000, MemMB: 100})
}

// On a service with few backend servers, a task that fills one of them can still start.
func TestGuardLeavesLargeTasksAlone(t *testing.T) {
	g := &wait.Reservation{}
	g.Observe(100, room.Resources{CPU: 48_000, MemMB: 1000}, room.Resources{CPU: 3000, MemMB: 64})
	reserved := g.Reserved(200, wait.Job{Priority: 2}, room.Resources{CPU: 32_000}, room.Resources{CPU: 32_000, MemMB: 1000})
	qt.Check(t, reserved, qt.Equals, room.Resources{})
}
