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
	// keepResults is how long the result of a job is remembered for a caller that sends it again, in milliseconds.
	keepResults = 10 * clock.Second
	// lateFactor is how many objectives after its arrival a job is still worth something to its caller.
	lateFactor = 3
	// firstRetryAfter is the shortest time after which a caller may come back, in milliseconds.
	firstRetryAfter = 1 * clock.Second
)

func (m *Machine) submit(ev Submit) {
	if old, ok := m.recent[ev.Job.ID]; ok {
		m.act(Reply{Ticket: ev.Ticket, Result: old.result})
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
	if reason := m.hopeless(j); reason != "" {
		m.refuse(j, reason)
		return
	}
	m.release(j)
	m.guard(j)
	m.work = true
}

// guard takes note of the need of jobs of the first priority.
func (m *Machine) guard(j *job) {
	if !j.line.First() {
		return
	}
	g := m.guards[j.Service]
	if g == nil {
		g = &wait.Guard{}
		m.guards[j.Service] = g
	}
	g.Arrived(m.now, j.need())
}

func (m *Machine) newJob(ev Submit) *job {
	j := &job{Job: ev.Job, tickets: []uint64{ev.Ticket}, received: m.now, deadline: m.now + ev.Job.Patience - m.cfg.AnswerMargin}
	j.left = make([]int, len(j.Steps))
	for s, step := range j.Steps {
		j.left[s] = step.Count
		for i := range step.Count {
			j.tasks = append(j.tasks, &task{name: fmt.Sprintf("%s.0.%d.%d", j.ID, s, i), step: s})
		}
	}
	chain := m.chain(j)
	j.line = wait.Job{
		ID: j.ID, Received: m.now, Priority: j.Priority, Estimate: chain, Objective: clock.Millis(j.Stretch*float64(chain)) + j.SLO,
	}
	return j
}

// chain returns the longest time that steps which wait for each other take.
func (m *Machine) chain(j *job) (longest clock.Millis) {
	ends := make([]clock.Millis, len(j.Steps))
	ratio := m.rateOf(j.Queue).ratio
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

// hopeless returns why a job can't be served whatever becomes free, or nothing.
func (m *Machine) hopeless(j *job) string {
	if m.now+m.chain(j) > j.deadline {
		return "deadline_too_short"
	}
	if m.now-m.born < learnFor {
		return ""
	}
	for _, step := range j.Steps {
		if !m.possible(j.Service, step) {
			return "no_worker"
		}
	}
	return ""
}

// learnFor is how long after its start a dispatcher does not refuse for want of an agent, in milliseconds: sessions to
// agents that started at the same time are still being opened.
const learnFor = 5 * clock.Second

func (m *Machine) possible(service string, step Step) bool {
	for _, v := range m.agents {
		if v.attached && v.facts.Service == service && v.facts.Total.Fits(step.Need) &&
			(step.Requires == "" || slices.Contains(v.facts.Labels, step.Requires)) {
			return true
		}
	}
	return false
}

// release makes the tasks wait whose earlier steps are done.
func (m *Machine) release(j *job) {
	for _, t := range j.tasks {
		if t.state == blocked && m.unblocked(j, t.step) {
			t.state = waiting
		}
	}
	m.line.Put(j.line)
}

func (m *Machine) unblocked(j *job, step int) bool {
	for _, a := range j.Steps[step].After {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

// wait makes a task wait again after a run that is over.
func (m *Machine) wait(j *job, t *task) {
	t.state = waiting
	t.agent = ""
	m.line.Put(j.line)
	m.work = true
}

// settle takes a job out of the line while it has nothing to begin.
func (m *Machine) settle(j *job) {
	if m.jobs[j.ID] != j {
		return
	}
	begun := false
	waits := false
	for _, t := range j.tasks {
		begun = begun || t.ran || t.state == sent || t.state == lost
		waits = waits || t.state == waiting
	}
	j.line.Begun = begun
	if waits {
		m.line.Put(j.line)
	} else {
		m.line.Remove(j.ID)
	}
}

func (m *Machine) checkJobs() {
	for _, w := range m.line.Overdue(m.now) {
		m.refuse(m.jobs[w.ID], "no_room")
	}
	for _, id := range m.jobIDs() {
		j := m.jobs[id]
		if m.now >= j.deadline {
			m.giveUp(j, "deadline")
		} else if j.stuck {
			m.checkLost(j)
		}
	}
}

// checkLost lets tasks start again that can't be at work any more, and gives jobs up that can't wait for that.
func (m *Machine) checkLost(j *job) {
	j.stuck = false
	for _, t := range j.tasks {
		if t.state != lost {
			continue
		}
		j.stuck = true
		useful := min(j.deadline, j.received+lateFactor*j.line.Objective)
		v := m.agents[t.agent]
		mayReturn := v != nil && m.now-v.downAt <= m.cfg.Reattach
		switch {
		case m.now >= t.clear:
			t.ran = true
			m.wait(j, t)
		case !mayReturn && t.clear+j.Steps[t.step].Estimate > useful:
			m.giveUp(j, "agent_lost")
			return
		}
	}
	m.settle(j)
}

func (m *Machine) leave(ticket uint64) {
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
	m.drop(j)
}

func (m *Machine) cancel(ev Cancel) {
	j := m.jobs[ev.ID]
	if j == nil {
		m.act(Reply{Ticket: ev.Ticket, Result: NotFound})
		return
	}
	m.act(Reply{Ticket: ev.Ticket, Result: Cancelled})
	m.finish(j, Cancelled, "cancelled")
}

func (m *Machine) refuse(j *job, reason string) {
	m.finish(j, Refused, reason)
}

// giveUp answers a job that can't be completed; what may have run is told apart from what has not.
func (m *Machine) giveUp(j *job, reason string) {
	m.settle(j)
	if j.line.Begun {
		m.finish(j, Unknown, reason)
		return
	}
	m.finish(j, Refused, reason)
}

// finish answers a job's callers and stops what is left of it.
func (m *Machine) finish(j *job, r Result, reason string) {
	retryAfter := firstRetryAfter
	switch r {
	case Completed:
		m.returns.Served(m.now)
	case Refused:
		retryAfter = m.returns.After(m.now)
	}
	for _, t := range j.tickets {
		m.act(Reply{Ticket: t, Result: r, RetryAfter: retryAfter})
		delete(m.tickets, t)
	}
	n := event.Note{
		Name: "job_" + string(r), Job: j.ID, Class: j.Queue, Reason: reason, Count: len(j.tasks), Took: m.now - j.received,
		Returned: j.returned,
	}
	if j.placed > 0 {
		n.Placed = j.placed - j.received
	}
	if r == Refused {
		n.RetryAfter = retryAfter
		m.addInputs(&n, j.Service)
	}
	m.note(n)
	if r == Completed || r == Failed || r == Cancelled {
		m.remember(j.ID, r)
	}
	m.drop(j)
}

// addInputs adds what a refusal was decided by.
func (m *Machine) addInputs(n *event.Note, service string) {
	n.Waiting = m.line.Len()
	for _, v := range m.agents {
		if m.usable(v, service) {
			n.Agents++
			n.Free += max(v.estimate().CPU, 0)
			n.Age = max(n.Age, m.now-v.heard)
		}
	}
}

// drop forgets a job and stops its runs.
func (m *Machine) drop(j *job) {
	halts := map[*agentView][]proto.RunRef{}
	for _, t := range j.tasks {
		if v := m.agents[t.agent]; t.state == sent && v != nil {
			halts[v] = append(halts[v], proto.RunRef{Task: t.name, Run: t.run})
		}
	}
	for _, id := range m.agentIDs() {
		v := m.agents[id]
		if refs := halts[v]; len(refs) > 0 {
			m.order(v, &proto.Orders{Halts: refs})
		}
	}
	m.line.Remove(j.ID)
	delete(m.jobs, j.ID)
}

func (m *Machine) remember(id string, r Result) {
	o := outcome{id: id, result: r, at: m.now}
	m.recent[id] = o
	m.recentQ = append(m.recentQ, o)
}

func (m *Machine) forget() {
	for len(m.recentQ) > 0 && m.now-m.recentQ[0].at > keepResults {
		delete(m.recent, m.recentQ[0].id)
		m.recentQ = m.recentQ[1:]
	}
}

func (j *job) need() (sum room.Room) {
	for _, t := range j.tasks {
		if t.state == waiting {
			sum = sum.Plus(j.Steps[t.step].Need)
		}
	}
	return sum
}
