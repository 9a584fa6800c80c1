package disp

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// runEnded handles the end of a run; ends of superseded runs are ignored.
func (m *Machine) runEnded(v *agentView, e proto.End) {
	v.lastEnd = max(v.lastEnd, e.N)
	j, t := m.findTask(e.Task)
	if t == nil || t.run != e.Run || t.agent != v.id || (t.state != sent && t.state != lost) {
		return
	}
	j.work += int64(e.TookMS) * j.Steps[t.step].Need.CPU
	switch e.How {
	case proto.EndDone:
		m.taskDone(v, j, t, e)
	case proto.EndFailed:
		m.taskFailed(v, j, t, e)
	case proto.EndStalled:
		t.ran = true
		t.avoid = v.id
		v.failureRate += stallWeight * (1 - v.failureRate)
		m.note(event.Note{Name: "task_stalled", Job: t.name, Peer: v.id})
		m.requeue(j, t, reportedEnd(e))
	case proto.EndNoRoom:
		j.returned++
		m.requeue(j, t, reportedEnd(e))
	case proto.EndOutdated:
		m.requeue(j, t, reportedEnd(e))
	case proto.EndNotBegun:
		v.backoffUntil = m.now + beginBackoff
		m.requeue(j, t, reportedEnd(e))
		t.run += runNumberSkip
	default:
		t.ran = true
		m.requeue(j, t, reportedEnd(e))
	}
	m.updateQueued(j)
}

const (
	// beginBackoff is how long an agent that did not begin a task gets no tasks, in milliseconds.
	beginBackoff = 50 * clock.Millis(1)
	// runNumberSkip is added to the number of a run that did not begin, as the backend server may have rejected the number as outdated.
	runNumberSkip = 10
	// stallWeight is the weight of a stalled task in an agent's failure rate.
	stallWeight = 0.3
	// ewmaWeight is the weight of a new value in an exponentially weighted moving average.
	ewmaWeight = 0.1
)

func (m *Machine) findTask(name string) (*job, *task) {
	id, _, _ := strings.Cut(name, ".")
	j := m.jobs[id]
	if j == nil {
		return nil, nil
	}
	for _, t := range j.tasks {
		if t.name == name {
			return j, t
		}
	}
	return j, nil
}

func (m *Machine) taskDone(v *agentView, j *job, t *task, e proto.End) {
	t.state = done
	t.ran = true
	j.remaining[t.step]--
	v.failureRate -= ewmaWeight * v.failureRate
	m.recordDuration(j, t, clock.Millis(float64(e.TookMS)/max(v.slow, 1)))
	m.learnApart(v, j, t, e)
	if j.remaining[t.step] == 0 {
		m.unblockTasks(j)
		m.placementDue = true
	}
	for _, n := range j.remaining {
		if n > 0 {
			return
		}
	}
	m.finish(j, Completed, "")
}

func (m *Machine) taskFailed(v *agentView, j *job, t *task, e proto.End) {
	t.ran = true
	t.failures++
	v.failureRate += ewmaWeight * (1 - v.failureRate)
	m.note(event.Note{Name: "task_failed", Job: t.name, Peer: v.id, Count: t.failures})
	if t.failures >= max(j.MaxAttempts, 1) {
		m.finish(j, Failed, "attempts")
		return
	}
	t.avoid = v.id
	m.requeue(j, t, reportedEnd(e))
}

// recordDuration updates the ratio of actual to estimated duration of a task's queue.
func (m *Machine) recordDuration(j *job, t *task, took clock.Millis) {
	est := j.Steps[t.step].Estimate
	if est <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(est)
	tm := m.timingOf(j.Queue)
	tm.ratio += ewmaWeight / 4 * (min(ratio, 10) - tm.ratio)
}

func (m *Machine) timingOf(queue string) *timing {
	r := m.timings[queue]
	if r == nil {
		r = &timing{ratio: 1}
		m.timings[queue] = r
	}
	return r
}
