package wait

import (
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/room"
)

const (
	// reservedJobs is the number of average jobs of the first priority for which capacity is reserved.
	reservedJobs = 0.5
	// maxReservedShare bounds the reserved capacity, as a share of the total.
	maxReservedShare = 0.1
	// reservationTTL is how long capacity stays reserved after the last job of the first priority, in milliseconds.
	reservationTTL = 5 * clock.Second
	// needSmoothing is the weight of a new job in the moving average of the need.
	needSmoothing = 0.05
)

// Reservation reserves capacity for jobs of the first priority. Without it, a job of the first priority that has many tasks
// and finds no capacity waits for several tasks to end, while jobs with few tasks take each slot as it becomes free. Also,
// dispatchers learn of each other's starts with a delay, so with no slot to spare they place tasks on the same free slot.
type Reservation struct {
	meanNeed    room.Resources
	meanTask    room.Resources
	lastArrival clock.Millis
	seen        bool
}

// Observe records a job of the first priority and the total need of its tasks.
func (g *Reservation) Observe(now clock.Millis, need, task room.Resources) {
	if !g.seen || now-g.lastArrival > reservationTTL {
		g.meanNeed, g.meanTask = need, task
	} else {
		g.meanNeed = g.meanNeed.Times(1 - needSmoothing).Plus(need.Times(needSmoothing))
		g.meanTask = g.meanTask.Times(1 - needSmoothing).Plus(task.Times(needSmoothing))
	}
	g.seen = true
	g.lastArrival = now
}

// Reserved returns the capacity, out of total, that a job must leave free; taskNeed is the need of its largest task. A job
// whose largest task needs more than the reservation is exempt: on a service with few backend servers it might never start.
func (g *Reservation) Reserved(now clock.Millis, j Job, taskNeed, total room.Resources) room.Resources {
	if !g.seen || now-g.lastArrival > reservationTTL || j.Rank() != rankOther {
		return room.Resources{}
	}
	reserved := g.meanNeed.Times(reservedJobs).AtMost(total.Times(maxReservedShare))
	if taskNeed.CPU > reserved.CPU {
		return room.Resources{}
	}
	return reserved
}

// TaskNeed returns the mean need of a task of the jobs that capacity is reserved for.
func (g *Reservation) TaskNeed() room.Resources {
	return g.meanTask
}
