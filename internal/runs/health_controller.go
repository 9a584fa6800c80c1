package runs

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

const (
	// stallTimeout is how long a run may make no progress, in milliseconds; it is about twice the longest poll.
	stallTimeout = 250 * clock.Millis(1)
	// ejectAfter is the number of jobs in a row that fail or stall before the backend server is ejected and takes nothing for a while.
	ejectAfter = 3
	// minEject and maxEject bound the time of ejection, in milliseconds; it doubles each time.
	minEject = 1 * clock.Second
	maxEject = 8 * clock.Second
	// noRenewAfter is the number of orders in a row without an answer after which polls renew nothing, and silentAfter
	// the number after which no tasks are accepted, until one is answered. Single answers get lost at times.
	noRenewAfter = 2
	silentAfter  = 4
	// goneAfter is the number of polls in a row whose connection was refused after which the backend server's process counts as
	// ended, and its runs with it: the agent runs on the same machine, so that it is not the network that refuses.
	goneAfter = 2
)

// health tracks the failures of runs at the backend server and the orders that it left unanswered.
type health struct {
	// failures counts jobs that failed or stalled since a task was done; lastJob is the job counted last.
	failures int
	lastJob  string
	// probation says that the backend server was ejected and gets one task at a time until one is done.
	probation     bool
	ejectDuration clock.Millis
	unanswered    int
	// unreachable counts polls in a row whose connection was refused.
	unreachable int
}

func (h *health) resetUnanswered() {
	h.unanswered, h.unreachable = 0, 0
}

// accepting reports whether another task may be accepted beside the running ones.
func (h *health) accepting(running int) bool {
	return h.unanswered < silentAfter && (!h.probation || running == 0)
}

// countUnanswered counts an order without an answer.
func (m *Machine) countUnanswered() {
	m.health.unanswered++
	if m.health.unanswered == silentAfter {
		m.note(event.Note{Name: "backend_server_silent", Count: len(m.runs)})
		m.markAllDirty()
	}
}

// recordOutcome updates the health with the end of a run.
func (m *Machine) recordOutcome(r *run, how proto.EndReason) {
	switch {
	case how == proto.EndDone:
		if m.health.probation {
			m.note(event.Note{Name: "backend_server_sound"})
			m.markAllDirty()
		}
		m.health.failures, m.health.probation, m.health.ejectDuration = 0, false, 0
	case how == proto.EndFailed, r.stalled:
		m.recordFailure(r)
	}
}

func (m *Machine) recordFailure(r *run) {
	h := &m.health
	job, _, _ := strings.Cut(r.task, ".")
	if job == h.lastJob && !h.probation {
		return
	}
	h.lastJob = job
	h.failures++
	if h.failures < ejectAfter && !h.probation {
		return
	}
	h.probation = true
	h.ejectDuration = min(max(2*h.ejectDuration, minEject), maxEject)
	m.backoffUntil = m.now + h.ejectDuration
	m.note(event.Note{Name: "backend_server_ejected", Count: h.failures, Took: h.ejectDuration})
	m.markAllDirty()
}

// checkProgress records the progress of a run, and stops a run that has stalled.
func (m *Machine) checkProgress(status Running) {
	r := m.runs[status.Task]
	if r == nil || r.run != status.Run || r.phase != running {
		return
	}
	m.pace.progressed(m.now, r, status.Percent)
	if status.Percent > r.percent || r.progressAt == 0 {
		r.percent = status.Percent
		r.progressAt = m.now
		return
	}
	if m.now-r.progressAt <= stallTimeout {
		return
	}
	m.note(event.Note{Name: "run_stalled", Job: r.task, Peer: r.peer, Took: m.now - r.workingSince, Count: int(r.percent)})
	r.stalled = true
	m.haltRun(r)
}
