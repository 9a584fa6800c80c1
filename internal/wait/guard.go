package wait

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
)

const (
	// guardJobs is the number of mean jobs of the first priority for which room is kept free.
	guardJobs = 1.0
	// guardShare bounds the room that is kept free, as a part of all room.
	guardShare = 0.1
	// guardFor is how long room is kept free after the last job of the first priority, in milliseconds.
	guardFor = 5 * clock.Second
	// guardWeight is the weight of a new job in the mean need.
	guardWeight = 0.05
)

// Guard keeps some room free of jobs that are not of the first priority. A wide job of the first priority that finds no
// room waits for one end after the other, while narrow jobs take each slot as it becomes free; and with every slot taken,
// dispatchers that know of each other's starts only a little later count on the same one.
type Guard struct {
	need room.Room
	last clock.Millis
	seen bool
}

// Arrived takes note of a job of the first priority and of what all of its tasks need.
func (g *Guard) Arrived(now clock.Millis, need room.Room) {
	if !g.seen || now-g.last > guardFor {
		g.need = need
	} else {
		g.need = g.need.Times(1 - guardWeight).Plus(need.Times(guardWeight))
	}
	g.seen = true
	g.last = now
}

// Kept returns the room that a job has to leave free out of total; task is what its largest task needs. A task that is larger
// than the room to keep leaves none free: on a few backend servers it might never begin.
func (g *Guard) Kept(now clock.Millis, j Job, task, total room.Room) room.Room {
	if !g.seen || now-g.last > guardFor || j.Rank() != rankOther {
		return room.Room{}
	}
	kept := g.need.Times(guardJobs).AtMost(total.Times(guardShare))
	if task.CPU > kept.CPU {
		return room.Room{}
	}
	return kept
}
