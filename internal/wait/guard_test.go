package wait_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/wait"
)

// The load pattern of a burst: narrow jobs leave room for a wide one of the first priority, for as long as such jobs come.
func TestGuardKeepsRoomForTheFirstPriority(t *testing.T) {
	g := &wait.Guard{}
	total := room.Room{CPU: 400_000, MemMB: 10_000}
	task := room.Room{CPU: 3000, MemMB: 64}
	narrow, wide := wait.Job{Priority: 1}, wait.Job{Priority: 0}
	qt.Check(t, g.Kept(0, narrow, task, total), qt.Equals, room.Room{})

	g.Arrived(100, room.Room{CPU: 24_000, MemMB: 500})
	qt.Check(t, g.Kept(200, narrow, task, total), qt.Equals, room.Room{CPU: 24_000, MemMB: 500})
	qt.Check(t, g.Kept(200, wide, task, total), qt.Equals, room.Room{})
	qt.Check(t, g.Kept(200, wait.Job{Priority: 1, Begun: true}, task, total), qt.Equals, room.Room{})
	qt.Check(t, g.Kept(100+5*clock.Second+1, narrow, task, total), qt.Equals, room.Room{})
}

// On a small deployment a wide job does not keep everything to itself.
func TestGuardKeepsATenthAtMost(t *testing.T) {
	g := &wait.Guard{}
	g.Arrived(100, room.Room{CPU: 24_000, MemMB: 500})
	kept := g.Kept(200, wait.Job{Priority: 2}, room.Room{CPU: 3000}, room.Room{CPU: 100_000, MemMB: 1000})
	qt.Check(t, kept, qt.Equals, room.Room{CPU: 10_000, MemMB: 100})
}

// On a service of few backend servers a task that fills one of them still begins.
func TestGuardLeavesLargeTasksAlone(t *testing.T) {
	g := &wait.Guard{}
	g.Arrived(100, room.Room{CPU: 24_000, MemMB: 500})
	kept := g.Kept(200, wait.Job{Priority: 2}, room.Room{CPU: 32_000}, room.Room{CPU: 32_000, MemMB: 1000})
	qt.Check(t, kept, qt.Equals, room.Room{})
}
