package emul

import (
	"fmt"

	"corianderspur.example/corianderspur/internal/disp"
)

// checker checks invariants on what backend servers and callers observe, and records their violations.
type checker struct {
	world *World
	// runningAt maps each task to the agents on whose backend servers it is running.
	runningAt map[string]map[string]bool
	finished  map[string]bool
	// begun holds the tasks of which at least one run has begun.
	begun map[string]bool
	// startsAt counts the runs that have begun, by agent.
	startsAt   map[string]int
	violations []string
}

func (c *checker) failf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", c.world.now)+fmt.Sprintf(format, args...))
	c.world.logf("VIOLATION "+format, args...)
}

func (c *checker) runStarted(r *backend, run *activeRun) {
	if used := r.used(); !r.total.Fits(used) {
		c.failf("room: %s holds %+v of %+v", r.agent, used, r.total)
	}
	if len(c.runningAt[run.task]) > 0 {
		c.failf("twice: %s begins at %s and is at work at %v", run.task, r.agent, sortedKeys(c.runningAt[run.task]))
	}
	if caller := c.world.callers[run.task[:jobIDLen]]; caller.refused {
		c.failf("refused: %s begins after its caller was told that nothing runs", run.task)
	}
	c.startedIn(r.zone, run.task)
	c.startsAt[r.agent]++
	if c.runningAt[run.task] == nil {
		c.runningAt[run.task] = map[string]bool{}
	}
	c.runningAt[run.task][r.agent] = true
	c.begun[run.task] = true
	c.world.logf("%s starts %s run %d", r.agent, run.task, run.number)
}

const jobIDLen = 16

func (c *checker) runEnded(agent, task string, done bool) {
	delete(c.runningAt[task], agent)
	c.finished[task] = c.finished[task] || done
}

// jobAnswered checks that every task of a job that is answered as complete has finished, and that no task of a job that
// was refused has begun.
func (c *checker) jobAnswered(caller *Caller) {
	for i := range caller.Job.Steps[0].Count {
		if task := fmt.Sprintf("%s.0.0.%d", caller.Job.ID, i); caller.refused && c.begun[task] {
			c.failf("refused: %s is said not to run, %s has begun", caller.Job.ID, task)
		}
	}
	if caller.Answer != disp.Completed {
		return
	}
	for i := range caller.Job.Steps[0].Count {
		if task := fmt.Sprintf("%s.0.0.%d", caller.Job.ID, i); !c.finished[task] {
			c.failf("whole: %s is said to be complete, %s has not run", caller.Job.ID, task)
		}
	}
	if caller.refused {
		c.failf("refused: %s is said to be complete after a refusal", caller.Job.ID)
	}
}
