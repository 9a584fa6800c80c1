package wait

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

// Job holds what Queue uses to order a job; times are in milliseconds on the dispatcher's clock.
type Job struct {
	ID string
	// Received is when the job arrived.
	Received clock.Millis
	// Objective is the time within which the job should be answered.
	Objective clock.Millis
	// Estimate is how long the job runs once all of its tasks have started.
	Estimate clock.Millis
	// Started is set once a task of the job may have run; the job can then no longer be refused.
	Started bool
	// Priority is the priority that operators gave the job's queue; 0 is the highest.
	Priority int
}

// Ranks of jobs; a lower rank is placed first.
const (
	// rankStarted is for jobs that have started: the capacity that they hold yields no answer until all of their tasks end.
	rankStarted = iota
	// rankFirstPriority is for jobs of priority 0.
	rankFirstPriority
	// rankOther is for all other jobs. They are ordered by refusal time, whatever their priority, so that none is starved.
	rankOther
)

// First reports whether the job has the first priority, 0.
func (j Job) First() bool {
	return j.Priority == 0
}

// OwnRank returns the job's rank by its priority alone, whether it has started or not.
func (j Job) OwnRank() int {
	if j.First() {
		return rankFirstPriority
	}
	return rankOther
}

// Rank returns the job's rank; jobs of a lower rank go first.
func (j Job) Rank() int {
	if j.Started {
		return rankStarted
	}
	return j.OwnRank()
}

// maxWaitShare is the share of its slack that a job may wait before it is refused; the slack is the time by which its objective
// exceeds its estimate. The rest is a reserve in case its slowest task takes longer than the estimate: an early refusal, after which the
// caller can still retry, is better than a late answer, and while capacity is short each late answer uses capacity that could have
// produced one in time.
const maxWaitShare = 0.5

// localityWaitShare is the share of the time until its refusal that a job waits for capacity near its data.
const localityWaitShare = 0.5

// StaysNear reports whether the job should still wait for capacity near its data; elsewhere it takes farFactor times as long.
func (j Job) StaysNear(now clock.Millis, farFactor float64) bool {
	slack := float64(j.Objective) - farFactor*float64(j.Estimate)
	return slack < 0 && now < j.Received+clock.Millis(localityWaitShare*float64(j.RefuseAt()-j.Received))
}

// RefuseAt is the time at which a job is refused if none of its tasks has started.
func (j Job) RefuseAt() clock.Millis {
	return j.Received + clock.Millis(maxWaitShare*float64(max(j.Objective-j.Estimate, 0)))
}

// Queue holds the jobs that have tasks waiting to start, ordered by rank and then by refusal time.
type Queue struct {
	jobs []Job
}

func compareJobs(a, b Job) int {
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

// Put adds a job, or moves it to its new position after a change.
func (l *Queue) Put(j Job) {
	l.Remove(j.ID)
	i, _ := slices.BinarySearchFunc(l.jobs, j, compareJobs)
	l.jobs = slices.Insert(l.jobs, i, j)
}

// Remove removes a job.
func (l *Queue) Remove(id string) {
	l.jobs = slices.DeleteFunc(l.jobs, func(j Job) bool { return j.ID == id })
}

// Jobs returns a copy of the jobs, in order.
func (l *Queue) Jobs() []Job {
	return slices.Clone(l.jobs)
}

// Len returns the number of jobs.
func (l *Queue) Len() int {
	return len(l.jobs)
}

// Overdue returns the jobs that have not started and whose refusal time has come.
func (l *Queue) Overdue(now clock.Millis) (due []Job) {
	for _, j := range l.jobs {
		if !j.Started && now >= j.RefuseAt() {
			due = append(due, j)
		}
	}
	return due
}
