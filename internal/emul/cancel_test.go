package emul

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/room"
)

// cancelAt sends the cancel of a job to an entry; the answer is in the returned caller.
func (w *World) cancelAt(e *proc, id string) *Caller {
	w.lastSerial++
	c := &Caller{
		world: w, Sent: w.now, entry: e, entryIncarnation: e.incarnation, ticket: uint64(w.lastSerial),
		Job: disp.Job{ID: id, Steps: []disp.Step{{}}},
	}
	w.callers["cancel of "+id] = c
	e.push(disp.Cancel{Ticket: c.ticket, ID: id})
	return c
}

// runCount returns the number of runs at all backend servers.
func (w *World) runCount() (n int) {
	for _, a := range w.agents {
		n += len(a.backend.runs)
	}
	return n
}

// otherEntry returns an entry that is not the caller's.
func (w *World) otherEntry(c *Caller) *proc {
	for _, e := range w.entries {
		if e != c.entry {
			return e
		}
	}
	return nil
}

// longJob submits a job that runs for much longer than a cancel takes, and waits until it is running.
func longJob(t *testing.T) (*World, *Caller) {
	w := New(DefaultConfig(11))
	w.Run(3 * clock.Second)
	c := w.Submit(1, Tasks{Count: 6, Need: room.Resources{CPU: 1000}, Work: 8000, Estimate: 8000, Patience: 20_000})
	w.Run(w.now + 500)
	qt.Assert(t, w.runCount(), qt.Equals, 6)
	return w, c
}

// Review case 5: a cancel at an entry that doesn't have the job was answered as not found, and the job went on.
func TestCancelAtAnotherEntryStopsTheJob(t *testing.T) {
	w, job := longJob(t)
	cancel := w.cancelAt(w.otherEntry(job), job.Job.ID)
	w.Run(w.now + 1000)
	qt.Check(t, cancel.Answer, qt.Equals, disp.Cancelled)
	qt.Check(t, job.Answer, qt.Equals, disp.Cancelled)
	qt.Check(t, w.runCount(), qt.Equals, 0)
	qt.Check(t, cancel.Answered-cancel.Sent < 100, qt.IsTrue, qt.Commentf("%d ms", cancel.Answered-cancel.Sent))

	w.Run(w.now + 10*clock.Second)
	qt.Check(t, w.runCount(), qt.Equals, 0)
	qt.Check(t, w.Violations(), qt.HasLen, 0)
}

// Runs of a job that is cancelled at another entry stop within the time that a stop takes and the delays of the messages.
func TestCancelAtAnotherEntryTakesNoLongerThanAStop(t *testing.T) {
	w, job := longJob(t)
	w.cancelAt(w.otherEntry(job), job.Job.ID)
	w.Run(w.now + 100 + stopTime)
	qt.Assert(t, w.runCount(), qt.Equals, 0)
}

// The entry that has a job loses its sessions while the job is cancelled elsewhere, and hears of that when they come back.
func TestCancelReachesAnEntryWhoseSessionsWereReset(t *testing.T) {
	w, job := longJob(t)
	other := w.otherEntry(job)
	for _, s := range w.sessionsOf(job.entry) {
		s.close(job.entry)
	}
	w.Run(w.now + 5)
	cancel := w.cancelAt(other, job.Job.ID)
	w.Run(w.now + 1000)
	qt.Check(t, cancel.Answer, qt.Equals, disp.Cancelled)
	qt.Check(t, job.Answer, qt.Equals, disp.Cancelled)
	qt.Check(t, w.runCount(), qt.Equals, 0)
}

// A request that was under way when its job was cancelled must not start the job at the entry that it reaches.
func TestRequestBehindItsCancelStartsNothing(t *testing.T) {
	w := New(DefaultConfig(11))
	w.Run(3 * clock.Second)
	id := "0000000000000001"
	cancel := w.cancelAt(w.entries[0], id)
	w.Run(w.now + 1000)
	qt.Check(t, cancel.Answer, qt.Equals, disp.NotFound)
	for range 3 {
		delete(w.callers, id)
		job := w.Submit(1, Tasks{Count: 1, Need: room.Resources{CPU: 1000}, Work: 100, Estimate: 100, Patience: 2000})
		w.Run(w.now + 1000)
		qt.Check(t, job.Answer, qt.Equals, disp.Cancelled, qt.Commentf(job.entry.name))
	}
}

// jobRuns returns the names of a job's tasks that run at any backend server.
func (w *World) jobRuns(id string) (tasks []string) {
	for _, a := range w.agents {
		for _, task := range sortedKeys(a.backend.runs) {
			if strings.HasPrefix(task, id) {
				tasks = append(tasks, task)
			}
		}
	}
	return tasks
}

// cancelSeeds is the number of sessions, and cancelledJobs that of the jobs of each.
const (
	cancelSeeds   = 6
	cancelledJobs = 60
)

// Without faults: from the time that a stop takes after its cancel was answered, no task of a job runs any more, whichever entry was
// asked and whenever, also before the job's request arrived.
func TestNoTaskRunsAfterTheCancelOfItsJobIsAnswered(t *testing.T) {
	results := map[disp.Result]int{}
	for seed := range uint64(cancelSeeds) {
		w := New(DefaultConfig(seed + 1))
		w.Run(3 * clock.Second)
		var cancels []*Caller
		for i := range cancelledJobs {
			var delay, lead clock.Millis = clock.Millis(w.rng.IntN(1500)), 0
			if i%10 == 0 {
				delay, lead = 0, clock.Millis(w.rng.IntN(400))
			}
			tasks := Tasks{
				Count: 1 + w.rng.IntN(4), Need: room.Resources{CPU: 1000}, Work: 800, Estimate: 800, Patience: 4000,
				Works: []clock.Millis{100, 2000},
			}
			id := fmt.Sprintf("%016x", i+1)
			w.After(clock.Millis(100*i)+lead, func() { w.Submit(i+1, tasks) })
			w.After(clock.Millis(100*i)+delay, func() { cancels = append(cancels, w.cancelAt(w.entries[w.rng.IntN(3)], id)) })
		}
		for range 1200 {
			w.Run(w.now + 10)
			for _, c := range cancels {
				if c.Answer != "" && w.now-c.Answered > stopTime+10 {
					qt.Assert(t, w.jobRuns(c.Job.ID), qt.HasLen, 0, qt.Commentf("seed %d, %d ms after %q", seed+1, w.now-c.Answered, c.Answer))
				}
			}
		}
		for _, c := range cancels {
			results[c.Answer]++
		}
		qt.Assert(t, w.Violations(), qt.HasLen, 0)
	}
	qt.Check(t, results[disp.Cancelled]+results[disp.NotFound], qt.Equals, cancelSeeds*cancelledJobs, qt.Commentf("%v", results))
	qt.Check(t, results[disp.Cancelled] > results[disp.NotFound], qt.IsTrue, qt.Commentf("%v", results))
}
