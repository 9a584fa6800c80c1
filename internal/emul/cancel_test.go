package emul

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
)

// cancelAt sends the cancel of a job to an entry; the answer is in the returned caller.
func (w *World) cancelAt(e *proc, id string) *Caller {
	w.lastSerial++
	c := &Caller{
		world: w, Sent: w.now, entry: e, entryIncarnation: e.incarnation, ticket: uint64(w.lastSerial),
		Job: disp.Job{ID: id, Steps: []disp.Step{{}}}, Tries: maxTries,
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

// Review case 8: a copy of a cancelled job's request arrives at another entry, seconds after the answer.
func TestCopyOfACancelledJobStartsNothing(t *testing.T) {
	for _, distance := range []clock.Millis{500, 1000, 4000, 8000} {
		w, job := longJob(t)
		other := w.otherEntry(job)
		cancel := w.cancelAt(job.entry, job.Job.ID)
		w.Run(w.now + distance)
		qt.Assert(t, cancel.Answer, qt.Equals, disp.Cancelled)
		other.push(disp.Submit{Ticket: 1 << 40, Job: job.Job})
		for range 200 {
			w.Run(w.now + 10)
			qt.Assert(t, w.runCount(), qt.Equals, 0, qt.Commentf("copy %d ms later", distance))
		}
	}
}

// Review case 9: the entry that has a job is cut off from the agents while the job is cancelled elsewhere.
func TestCancelHoldsForAnEntryThatIsCutOff(t *testing.T) {
	for _, span := range []clock.Millis{300, 700, 1500, 5000, 9000, 14_000} {
		w, job := longJob(t)
		for _, a := range w.agents {
			w.cutFor(job.entry, a, span, true, true)
		}
		w.Run(w.now + 250)
		cancel := w.cancelAt(w.otherEntry(job), job.Job.ID)
		w.Run(w.now + 3000)
		ended := w.now
		for w.now < ended+20*clock.Second {
			w.Run(w.now + 10)
			if cancel.Answer == disp.Cancelled || cancel.Answer == disp.NotFound || w.now > ended+span {
				qt.Assert(t, w.runCount(), qt.Equals, 0, qt.Commentf("cut of %d ms, answer %q", span, cancel.Answer))
			}
		}
	}
}

// copyDelay is the shortest time after the answer to a request at which a copy of it arrives.
const copyDelay = 2 * clock.Second

// cancelBound is how long after the answer of its cancel a task of a job may begin at the latest.
const cancelBound = 3 * clock.Second

// Under random faults: once a cancel was answered with success, nothing of its job runs from cancelBound on, though its caller sends the
// job again and copies of the request arrive at other entries.
func TestDrawnFaultsBesideCancels(t *testing.T) {
	t.Parallel()
	results := map[disp.Result]int{}
	for i := range uint64(*seeds) {
		w := New(DefaultConfig(*firstSeed + i))
		w.Verbose = *trace
		w.Run(2 * clock.Second)
		w.scheduleFaults(sessionLength)
		var cancels []*Caller
		for n := range cancelledJobs {
			id := fmt.Sprintf("%016x", n+1)
			at := sessionLength / cancelledJobs * clock.Millis(n)
			tasks := Tasks{Count: 1 + w.rng.IntN(3), Need: room.Resources{CPU: 1000}, Work: 1500, Estimate: 1500, Patience: 8000}
			delay, copies := clock.Millis(w.rng.IntN(3000)), clock.Millis(w.rng.IntN(8000))
			w.After(at, func() { w.Submit(n+1, tasks) })
			w.After(at+delay, func() { cancels = append(cancels, w.cancelAt(w.entries[w.rng.IntN(3)], id)) })
			w.After(at+delay+copies, func() {
				// Copies arrive only seconds after an answer with success.
				if c := w.callers[id]; (c.Answer == disp.Completed || c.Answer == disp.Cancelled) && w.now-c.Answered >= copyDelay {
					w.entries[w.rng.IntN(3)].push(disp.Submit{Ticket: 1<<40 + uint64(n), Job: c.Job})
				}
			})
		}
		for w.now < sessionLength+12*clock.Second {
			w.Run(w.now + 50)
			for _, c := range cancels {
				since := w.now - c.Answered
				if (c.Answer != disp.Cancelled && c.Answer != disp.NotFound) || since <= cancelBound || since > proto.CancelRetention {
					continue
				}
				if tasks := w.jobRuns(c.Job.ID); len(tasks) > 0 {
					t.Errorf("seed %d: %v at work at %d, cancel answered with %q at %d", w.cfg.Seed, tasks, w.now, c.Answer, c.Answered)
					if *trace {
						t.Log(w.Log.String())
					}
					return
				}
			}
		}
		for _, c := range cancels {
			results[c.Answer]++
		}
		checkHeld(t, w)
	}
	t.Logf("%d sessions, answers to cancels: %v", *seeds, results)
	qt.Check(t, results[disp.Cancelled]+results[disp.NotFound] > results[disp.Unknown], qt.IsTrue)
}
