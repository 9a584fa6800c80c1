package wait_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/wait"
)

func ids(l *wait.Queue) (ids []string) {
	for _, j := range l.Jobs() {
		ids = append(ids, j.ID)
	}
	return ids
}

// A burst on a full deployment, with jobs of the first priority beside short and long ones. Started jobs go first, then the
// first priority, then the jobs with the earliest refusal time, so that long jobs are not starved.
func TestOrderUnderBurst(t *testing.T) {
	l := &wait.Queue{}
	l.Put(wait.Job{ID: "lookup", Received: 100, Objective: 400, Estimate: 200, Priority: 1})
	l.Put(wait.Job{ID: "confirm-old", Received: 0, Objective: 900, Estimate: 540, Priority: 2})
	l.Put(wait.Job{ID: "confirm-new", Received: 110, Objective: 1600, Estimate: 960, Priority: 2})
	l.Put(wait.Job{ID: "check", Received: 115, Objective: 200, Priority: 0})
	l.Put(wait.Job{ID: "half-begun", Received: 120, Objective: 1600, Priority: 2, Started: true})
	qt.Assert(t, ids(l), qt.DeepEquals, []string{"half-begun", "check", "confirm-old", "lookup", "confirm-new"})

	l.Put(wait.Job{ID: "lookup", Received: 100, Objective: 400, Estimate: 200, Priority: 1, Started: true})
	qt.Assert(t, ids(l)[0], qt.Equals, "lookup")
	l.Remove("check")
	qt.Assert(t, l.Len(), qt.Equals, 4)
}

// A job that would miss its objective away from its data waits for capacity near it, for part of the time until its refusal.
func TestJobWaitsNearItsDataForAWhile(t *testing.T) {
	j := wait.Job{Received: 0, Objective: 220, Estimate: 100}
	qt.Check(t, j.StaysNear(5, 3), qt.IsTrue)
	qt.Check(t, j.StaysNear(5, 1.5), qt.IsFalse)
	qt.Check(t, j.StaysNear(j.RefuseAt(), 3), qt.IsFalse)
}

// A job is refused early enough for the caller to go elsewhere, and never once one of its tasks may have run.
func TestOverdueJobsAreThoseThatHaveNotBegun(t *testing.T) {
	l := &wait.Queue{}
	l.Put(wait.Job{ID: "short", Received: 0, Objective: 200, Estimate: 110})
	l.Put(wait.Job{ID: "long", Received: 0, Objective: 2000, Estimate: 1200})
	l.Put(wait.Job{ID: "begun", Received: 0, Objective: 200, Estimate: 110, Started: true})
	due := l.Overdue(50)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Check(t, due[0].ID, qt.Equals, "short")
	qt.Check(t, due[0].RefuseAt() < clock.Millis(50), qt.IsTrue)
}

// Two jobs with the same objective, of which one has to run for most of it: that one is refused early, the other may wait while a
// burst passes.
func TestPatienceFollowsTheSlack(t *testing.T) {
	tight := wait.Job{Received: 100, Objective: 400, Estimate: 380}
	loose := wait.Job{Received: 100, Objective: 400, Estimate: 100}
	qt.Check(t, tight.RefuseAt(), qt.Equals, clock.Millis(110))
	qt.Check(t, loose.RefuseAt(), qt.Equals, clock.Millis(250))
	qt.Check(t, wait.Job{Received: 100, Objective: 400, Estimate: 500}.RefuseAt(), qt.Equals, clock.Millis(100))
}
