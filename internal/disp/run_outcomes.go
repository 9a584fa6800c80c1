package disp

import (
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// end takes the end of a run.
func (m *Machine) end(v *agentView, e proto.End) {
	v.noted = max(v.noted, e.N)
	j, t := m.find(e.Task)
	if t == nil || t.run != e.Run || t.agent != v.id || (t.state != sent && t.state != lost) {
		return
	}
	switch e.How {
	case proto.HowDone:
		m.doneTask(v, j, t, e)
	case proto.HowFailed:
		m.failedTask(v, j, t)
	case proto.HowStalled:
		t.ran = true
		t.avoid = v.id
		v.failing += stallWeight * (1 - v.failing)
		m.note(event.Note{Name: "task_stalled", Job: t.name, Peer: v.id})
		m.wait(j, t)
	case proto.HowNoRoom:
		j.returned++
		m.wait(j, t)
	case proto.HowNotBegun:
		v.shunned = m.now + shunFor
		t.run += oldRunStep
		m.wait(j, t)
	default:
		t.ran = true
		m.wait(j, t)
	}
	m.settle(j)
}

const (
	// shunFor is how long nothing is sent to an agent that did not begin a task, in milliseconds.
	shunFor = 50 * clock.Millis(1)
	// oldRunStep is added to a run number that the backend server may have taken as an old one.
	oldRunStep = 10
	// stallWeight is the weight of a stalled task in the share of tasks that fail.
	stallWeight = 0.3
	// ewma is the weight of a new figure in a moving mean.
	ewma = 0.1
)

func (m *Machine) find(name string) (*job, *task) {
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

func (m *Machine) doneTask(v *agentView, j *job, t *task, e proto.End) {
	t.state = done
	t.ran = true
	j.left[t.step]--
	v.failing -= ewma * v.failing
	m.learn(v, j, t, e.TookMS)
	if j.left[t.step] == 0 {
		m.release(j)
		m.work = true
	}
	for _, n := range j.left {
		if n > 0 {
			return
		}
	}
	m.finish(j, Completed, "")
}

func (m *Machine) failedTask(v *agentView, j *job, t *task) {
	t.ran = true
	t.fails++
	v.failing += ewma * (1 - v.failing)
	m.note(event.Note{Name: "task_failed", Job: t.name, Peer: v.id, Count: t.fails})
	if t.fails >= max(j.MaxAttempts, 1) {
		m.finish(j, Failed, "attempts")
		return
	}
	t.avoid = v.id
	m.wait(j, t)
}

// learn relates the time that a task took to its estimate, for its queue and for its agent.
func (m *Machine) learn(v *agentView, j *job, t *task, took clock.Millis) {
	est := j.Steps[t.step].Estimate
	if est <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(est)
	r := m.rateOf(j.Queue)
	v.slow += ewma * (min(ratio/r.ratio, 10) - v.slow)
	r.ratio += ewma / 4 * (min(ratio, 10) - r.ratio)
}

func (m *Machine) rateOf(queue string) *rate {
	r := m.rates[queue]
	if r == nil {
		r = &rate{ratio: 1}
		m.rates[queue] = r
	}
	return r
}
