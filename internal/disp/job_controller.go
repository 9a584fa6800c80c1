package disp

import (
	"fmt"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/wait"
)

const (
	// resultRetention is how long the result of a job is remembered for a caller that sends it again, in milliseconds.
	resultRetention = 10 * clock.Second
	// usefulObjectives is how long after its arrival a job whose tasks were lost is kept, in multiples of its objective; the caller is
	// served sooner by another entry after that.
	usefulObjectives = 3
	// minRetryAfter is the shortest time after which a caller may retry, in milliseconds.
	minRetryAfter = 1 * clock.Second
)

func (m *Machine) submit(ev Submit) {
	switch old, ok := m.recent[ev.Job.ID]; {
	case ok && old.result == NotFound:
		m.note(event.Note{Name: "job_cancelled_before", Job: ev.Job.ID, Class: ev.Job.Queue})
		m.emit(Reply{Ticket: ev.Ticket, Result: Cancelled})
		return
	case ok:
		m.emit(Reply{Ticket: ev.Ticket, Result: old.result})
		return
	}
	if j := m.jobs[ev.Job.ID]; j != nil {
		j.tickets = append(j.tickets, ev.Ticket)
		m.tickets[ev.Ticket] = j.ID
		return
	}
	j := m.newJob(ev)
	m.jobs[j.ID] = j
	m.tickets[ev.Ticket] = j.ID
	if reason := m.refusalReason(j); reason != "" {
		m.refuse(j, reason)
		return
	}
	m.unblockTasks(j)
	m.recordFirstPriority(j)
	m.placementDue = true
}

// recordFirstPriority records what a job of the first priority needs, so that room is kept free for the next ones.
func (m *Machine) recordFirstPriority(j *job) {
	if !j.queued.First() {
		return
	}
	g := m.guards[j.Service]
	if g == nil {
		g = &wait.Reservation{}
		m.guards[j.Service] = g
	}
	g.Observe(m.now, j.waitingNeed(), j.largestNeed())
}

func (m *Machine) newJob(ev Submit) *job {
	j := &job{Job: ev.Job, tickets: []uint64{ev.Ticket}, received: m.now, deadline: m.answerBy(m.now + ev.Job.Timeout - m.cfg.AnswerMargin)}
	j.remaining = make([]int, len(j.Steps))
	for s, step := range j.Steps {
		j.remaining[s] = step.Count
		for i := range step.Count {
			j.tasks = append(j.tasks, &task{name: fmt.Sprintf("%s.0.%d.%d", j.ID, s, i), step: s})
		}
	}
	estimate := m.criticalPath(j)
	j.queued = wait.Job{
		ID: j.ID, Received: m.now, Priority: j.Priority, Estimate: estimate, Objective: clock.Millis(j.Stretch*float64(estimate)) + j.SLO,
	}
	return j
}

// criticalPath returns the estimated length of the longest chain of dependent steps, in milliseconds.
func (m *Machine) criticalPath(j *job) (longest clock.Millis) {
	ends := make([]clock.Millis, len(j.Steps))
	ratio := m.timingOf(j.Queue).ratio
	for s, step := range j.Steps {
		begin := clock.Millis(0)
		for _, a := range step.After {
			begin = max(begin, ends[a])
		}
		ends[s] = begin + clock.Millis(ratio*float64(step.Estimate))
		longest = max(longest, ends[s])
	}
	return longest
}

// noWorker is the reason to refuse a job that no agent can run.
const noWorker = "no_worker"

// refusalReason returns why a job can't be served no matter how much room becomes free, or "" if it can.
func (m *Machine) refusalReason(j *job) string {
	switch fits := m.now+m.criticalPath(j) <= j.deadline; {
	case !fits && m.closesAt > 0:
		return "closing"
	case !fits:
		return "deadline_too_short"
	}
	if m.now-m.startedAt < startupGrace {
		return ""
	}
	for _, step := range j.Steps {
		if !m.anyAgentFits(j.Service, step) {
			return noWorker
		}
	}
	return ""
}

// startupGrace is how long after its start a dispatcher refuses no job for lack of a suitable agent, in milliseconds: sessions to
// agents that started at the same time are still being opened.
const startupGrace = 5 * clock.Second

func (m *Machine) anyAgentFits(service string, step Step) bool {
	for _, v := range m.agents {
		if v.attached && !m.evacuated.Has(v.facts.Zone) && v.facts.Service == service && v.facts.Total.Fits(step.Need) &&
			(step.Requires == "" || slices.Contains(v.facts.Labels, step.Requires)) {
			return true
		}
	}
	return false
}

// unblockTasks moves the blocked tasks whose earlier steps are done to waiting.
func (m *Machine) unblockTasks(j *job) {
	for _, t := range j.tasks {
		if t.state == blocked && m.stepReady(j, t.step) {
			t.state = waiting
		}
	}
	m.waitQueue.Put(j.queued)
}

func (m *Machine) stepReady(j *job, step int) bool {
	for _, a := range j.Steps[step].After {
		if j.remaining[a] > 0 {
			return false
		}
	}
	return true
}

// updateQueued updates whether a job has begun, and removes it from the wait queue while none of its tasks is waiting.
func (m *Machine) updateQueued(j *job) {
	if m.jobs[j.ID] != j {
		return
	}
	begun := false
	waits := false
	for _, t := range j.tasks {
		begun = begun || t.ran || t.state == sent || t.state == lost
		waits = waits || t.state == waiting
	}
	j.queued.Started = begun
	if waits {
		m.waitQueue.Put(j.queued)
	} else {
		m.waitQueue.Remove(j.ID)
	}
}

func (m *Machine) checkJobs() {
	for _, w := range m.waitQueue.Overdue(m.now) {
		m.refuse(m.jobs[w.ID], "no_room")
	}
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		if m.now >= j.deadline {
			m.giveUp(j, "deadline")
		} else if j.hasLost {
			m.checkLost(j)
		}
	}
}

// checkLost queues lost tasks again once they can no longer be running, and gives up jobs that can't wait for that.
func (m *Machine) checkLost(j *job) {
	j.hasLost = false
	for _, t := range j.tasks {
		if t.state != lost {
			continue
		}
		j.hasLost = true
		usefulUntil := min(j.deadline, j.received+usefulObjectives*j.queued.Objective)
		v := m.agents[t.agent]
		// While the session is back its stamps let the agent's runs go on, and its inventory is still to come.
		isBack := v != nil && v.downAt == 0
		mayReturn := isBack || (v != nil && m.now-v.downAt <= m.cfg.ReattachTimeout)
		switch {
		case isBack:
		case m.now >= t.lapseAt:
			t.ran = true
			m.requeue(j, t, leaseLapsed)
		case !mayReturn && t.lapseAt+j.Steps[t.step].Estimate > usefulUntil:
			m.giveUp(j, "agent_lost")
			return
		}
	}
	m.updateQueued(j)
}

func (m *Machine) callerLeft(ticket uint64) {
	j := m.jobs[m.tickets[ticket]]
	delete(m.tickets, ticket)
	if j == nil {
		return
	}
	j.tickets = slices.DeleteFunc(j.tickets, func(t uint64) bool { return t == ticket })
	if len(j.tickets) > 0 {
		return
	}
	m.note(event.Note{Name: "caller_left", Job: j.ID, Class: j.Queue, Took: m.now - j.received})
	m.removeJob(j)
}

func (m *Machine) refuse(j *job, reason string) {
	m.finish(j, Refused, reason)
}

// giveUp answers a job that can't be completed: Unknown if any of its tasks may have run, otherwise Refused.
func (m *Machine) giveUp(j *job, reason string) {
	m.updateQueued(j)
	if j.queued.Started {
		m.finish(j, Unknown, reason)
		return
	}
	m.finish(j, Refused, reason)
}

// finish answers a job's callers and stops its remaining runs.
func (m *Machine) finish(j *job, r Result, reason string) {
	retryAfter := minRetryAfter
	switch r {
	case Completed:
		m.retryTimes.Served(m.now)
	case Refused:
		retryAfter = m.retryTimes.Delay(m.now)
	}
	for _, t := range j.tickets {
		m.emit(Reply{Ticket: t, Result: r, RetryAfter: retryAfter})
		delete(m.tickets, t)
	}
	n := event.Note{
		Name: "job_" + string(r), Job: j.ID, Class: j.Queue, Reason: reason, Count: len(j.tasks), Took: m.now - j.received,
		Returned: j.returned, Work: j.work, Late: r == Completed && m.now > j.received+j.queued.Objective,
	}
	if j.lastSent > 0 {
		n.Placed = j.lastSent - j.received
	}
	if r == Refused {
		n.RetryAfter = retryAfter
		m.addDecisionInputs(&n, j.Service)
		n.Binding, n.Usable = m.binding(j)
	}
	m.note(n)
	if r == Completed || r == Failed || r == Cancelled {
		m.rememberResult(j.ID, r)
	}
	m.removeJob(j)
}

// addDecisionInputs adds the figures that a decision on a job was based on.
func (m *Machine) addDecisionInputs(n *event.Note, service string) {
	n.Waiting = m.waitQueue.Len()
	for _, v := range m.agents {
		if m.usable(v, service) {
			n.Agents++
			n.Free += max(v.estimatedFree().CPU, 0)
			n.Age = max(n.Age, m.now-v.lastReport)
		}
	}
}

// removeJob forgets a job and stops the runs of its tasks in state sent.
func (m *Machine) removeJob(j *job) {
	halts := map[*agentView][]proto.RunRef{}
	for _, t := range j.tasks {
		if v := m.agents[t.agent]; t.state == sent && v != nil {
			halts[v] = append(halts[v], proto.RunRef{Task: t.name, Run: t.run})
		}
	}
	for _, id := range m.agentIDs() {
		v := m.agents[id]
		if refs := halts[v]; len(refs) > 0 {
			m.sendOrders(v, &proto.Orders{Halts: refs})
		}
	}
	m.waitQueue.Remove(j.ID)
	delete(m.jobs, j.ID)
}

func (m *Machine) rememberResult(id string, r Result) {
	o := outcome{id: id, result: r, at: m.now}
	m.recent[id] = o
	m.recentOrder = append(m.recentOrder, o)
}

func (m *Machine) expireResults() {
	for len(m.recentOrder) > 0 && m.now-m.recentOrder[0].at > resultRetention {
		delete(m.recent, m.recentOrder[0].id)
		m.recentOrder = m.recentOrder[1:]
	}
}

func (j *job) waitingNeed() (sum room.Resources) {
	for _, t := range j.tasks {
		if t.state == waiting {
			sum = sum.Plus(j.Steps[t.step].Need)
		}
	}
	return sum
}
