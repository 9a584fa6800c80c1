package wait

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

// Job is what the line needs to know of one job; times are in milliseconds on the dispatcher's clock.
type Job struct {
	ID string
	// Received is when the job arrived.
	Received clock.Millis
	// Objective is the time within which the job should be answered.
	Objective clock.Millis
	// Estimate is how long the job runs once all of its tasks have begun.
	Estimate clock.Millis
	// Begun says that a task of the job may have run, so that it can't be refused any more.
	Begun bool
	// Priority is the operators' order of queues; 0 comes first.
	Priority int
}

// The ranks of jobs; lower goes first.
const (
	// rankBegun are jobs that hold room which is of no use before they end.
	rankBegun = iota
	// rankFirst are jobs of the operators' first priority.
	rankFirst
	// rankOther are all others: among them the time of refusal decides, so that none is starved.
	rankOther
)

// First reports whether the job is of the operators' first priority.
func (j Job) First() bool {
	return j.Priority == 0
}

// OwnRank returns how pressing the job is by the operators' order alone.
func (j Job) OwnRank() int {
	if j.First() {
		return rankFirst
	}
	return rankOther
}

// Rank returns how pressing the job is against those of other ranks.
func (j Job) Rank() int {
	if j.Begun {
		return rankBegun
	}
	return j.OwnRank()
}

// holdShare is the part of a job's objective for which it may wait before it is refused. The rest covers that its slowest task
// takes longer than the estimate: a caller is better served by a true refusal while it can still come back than by a late answer,
// and while room is short each late answer takes the room of one in time.
const holdShare = 0.16

// nearShare is the part of the time until its refusal for which a job waits for room near its data.
const nearShare = 0.5

// StaysNear reports whether the job should still wait for room near its data, where it takes far times as long elsewhere.
func (j Job) StaysNear(now clock.Millis, far float64) bool {
	slack := float64(j.Objective) - far*float64(j.Estimate)
	return slack < 0 && now < j.Received+clock.Millis(nearShare*float64(j.RefuseAt()-j.Received))
}

// LatestStart is the time at which all tasks have to begin for the job to meet its objective.
func (j Job) LatestStart() clock.Millis {
	return j.Received + j.Objective - j.Estimate
}

// RefuseAt is the time at which a job is refused if nothing of it has begun.
func (j Job) RefuseAt() clock.Millis {
	return j.Received + clock.Millis(holdShare*float64(j.Objective))
}

// Line holds the jobs that have tasks to begin, most pressing first.
type Line struct {
	jobs []Job
}

func before(a, b Job) int {
	if d := a.Rank() - b.Rank(); d != 0 {
		return d
	}
	if d := a.RefuseAt() - b.RefuseAt(); d != 0 {
		return int(d)
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// Put adds a job, or puts it where it belongs after a change.
func (l *Line) Put(j Job) {
	l.Remove(j.ID)
	i, _ := slices.BinarySearchFunc(l.jobs, j, before)
	l.jobs = slices.Insert(l.jobs, i, j)
}

// Remove takes a job out of the line.
func (l *Line) Remove(id string) {
	l.jobs = slices.DeleteFunc(l.jobs, func(j Job) bool { return j.ID == id })
}

// Jobs returns the jobs in order, as a copy.
func (l *Line) Jobs() []Job {
	return slices.Clone(l.jobs)
}

// Len returns the number of jobs in the line.
func (l *Line) Len() int {
	return len(l.jobs)
}

// Overdue returns the jobs of which nothing has begun and that have waited for as long as they may.
func (l *Line) Overdue(now clock.Millis) (due []Job) {
	for _, j := range l.jobs {
		if !j.Begun && now >= j.RefuseAt() {
			due = append(due, j)
		}
	}
	return due
}
