package disp

import (
	"slices"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/place"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// pool is what the agents of one service have, while jobs are placed.
type pool struct {
	views      []*agentView
	candidates []place.Candidate
	free       room.Room
	total      room.Room
	// full says that a job before has not got all of its room.
	full bool
}

// placeAll sends tasks that have room to agents, in the order of the line.
func (m *Machine) placeAll() {
	pools := map[string]*pool{}
	clear(m.wants)
	for _, w := range m.line.Jobs() {
		j := m.jobs[w.ID]
		p := pools[j.Service]
		if p == nil {
			p = m.newPool(j.Service)
			pools[j.Service] = p
		}
		if m.placeJob(j, p) || p.full {
			continue
		}
		p.full = true
		m.wantRoom(j.Service, w.Rank())
	}
}

// newPool returns the agents of a service that take tasks. Those whose heartbeat is overdue are left out, as what is sent to a
// machine that is gone is lost with it; if all are overdue, it is this process that was late.
func (m *Machine) newPool(service string) *pool {
	var prompt, overdue []*agentView
	for _, id := range m.agentIDs() {
		v := m.agents[id]
		switch {
		case !m.usable(v, service):
		case m.isOverdue(v):
			overdue = append(overdue, v)
		default:
			prompt = append(prompt, v)
		}
	}
	if len(prompt) == 0 {
		prompt = overdue
	}
	return m.poolOf(prompt)
}

func (m *Machine) poolOf(views []*agentView) *pool {
	p := &pool{views: views}
	for _, v := range views {
		c := place.Candidate{
			ID: v.id, Free: v.estimate(), Total: v.facts.Total, Labels: v.facts.Labels, Slow: v.slow, Failing: v.failing,
			Away: m.cfg.Zone != "" && v.facts.Zone != m.cfg.Zone,
		}
		p.candidates = append(p.candidates, c)
		p.total = p.total.Plus(c.Total)
		if c.Free.CPU > 0 {
			p.free = p.free.Plus(c.Free)
		}
	}
	return p
}

// placeJob sends the waiting tasks of a job, and reports whether all had room. A job of which nothing has begun goes
// whole, unless it is first in line: small jobs behind it would take each slot before enough are free for a wide one.
func (m *Machine) placeJob(j *job, p *pool) bool {
	whole := p.full && !j.line.Begun
	budget := p.free.Minus(m.kept(j, p))
	if len(p.candidates) == 0 || (whole && !budget.Fits(j.need())) {
		return false
	}
	near := j.line.StaysNear(m.now, m.cfg.Far)
	tasks, needs := m.waitingOf(j, near)
	all := len(tasks)
	tasks, needs = within(budget, tasks, needs)
	if all > 0 && len(tasks) == 0 {
		return false
	}
	if len(tasks) == 0 {
		m.line.Remove(j.ID)
		return true
	}
	candidates := slices.Clone(p.candidates)
	m.countHeld(j, candidates)
	chosen := place.Choose(candidates, needs, m.rng)
	missing := all - len(tasks)
	for _, c := range chosen {
		if c < 0 {
			missing++
		}
	}
	if missing > 0 && (whole || (near && !j.line.Begun)) {
		// What waits for its rack keeps nobody from the others.
		return near
	}
	p.candidates = candidates
	p.free = p.free.Minus(j.need())
	begun := j.line.Begun
	m.send(j, tasks, chosen, p.views)
	m.settle(j)
	if !begun && j.line.Begun {
		m.noteBegun(j, missing)
	}
	return missing == 0
}

// kept returns the room that a job has to leave free for more pressing ones.
func (m *Machine) kept(j *job, p *pool) room.Room {
	g := m.guards[j.Service]
	if g == nil {
		return room.Room{}
	}
	return g.Kept(m.now, j.line, j.largest(), p.total)
}

// largest returns the need of the waiting task that needs most of the processors.
func (j *job) largest() (need room.Room) {
	for _, t := range j.tasks {
		if n := j.Steps[t.step].Need; t.state == waiting && n.CPU > need.CPU {
			need = n
		}
	}
	return need
}

// within returns the first tasks that fit into a budget together.
func within(budget room.Room, tasks []*task, needs []place.Task) ([]*task, []place.Task) {
	for i := range needs {
		if !budget.Fits(needs[i].Need) {
			return tasks[:i], needs[:i]
		}
		budget = budget.Minus(needs[i].Need)
	}
	return tasks, needs
}

// noteBegun logs that a job has begun, with what it was decided by.
func (m *Machine) noteBegun(j *job, missing int) {
	n := event.Note{Name: "job_begun", Job: j.ID, Class: j.Queue, Count: len(j.tasks) - missing, Took: m.now - j.received}
	for _, t := range j.tasks {
		if t.state == sent {
			n.Peer = t.agent
			break
		}
	}
	m.addInputs(&n, j.Service)
	m.note(n)
}

// countHeld sets how many tasks of a job with a limit are at each agent.
func (m *Machine) countHeld(j *job, candidates []place.Candidate) {
	for i := range candidates {
		candidates[i].Held = 0
	}
	if !slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Limit > 0 }) {
		return
	}
	for i := range candidates {
		candidates[i].Held = m.held(j, candidates[i].ID)
	}
}

func (m *Machine) waitingOf(j *job, near bool) (tasks []*task, needs []place.Task) {
	for _, t := range j.tasks {
		if t.state != waiting {
			continue
		}
		step := j.Steps[t.step]
		tasks = append(tasks, t)
		needs = append(needs, place.Task{
			Need: step.Need, Requires: step.Requires, Near: step.Near, Far: m.cfg.Far,
			OnlyNear: near && step.Near != "", Limit: step.Limit, Avoid: t.avoid,
		})
	}
	return tasks, needs
}

// held counts the tasks of a job that are at an agent.
func (m *Machine) held(j *job, id shard.ID) (n int) {
	for _, t := range j.tasks {
		if (t.state == sent || t.state == lost) && t.agent == id {
			n++
		}
	}
	return n
}

// send orders the chosen agents to begin tasks, with one order for each agent.
func (m *Machine) send(j *job, tasks []*task, chosen []int, views []*agentView) {
	begins := make([]*proto.Begin, len(views))
	for i, t := range tasks {
		c := chosen[i]
		if c < 0 {
			continue
		}
		v := views[c]
		if begins[c] == nil {
			v.seq++
			begins[c] = &proto.Begin{Seq: v.seq, Job: j.ID, Service: j.Service, Spec: j.Spec, Rank: j.line.OwnRank()}
		}
		step := j.Steps[t.step]
		t.state = sent
		t.agent = v.id
		if !v.busy {
			v.busy, v.busySince = true, m.now
		}
		t.run++
		j.placed = m.now
		begins[c].Tasks = append(begins[c].Tasks, proto.TaskBegin{
			Task: t.name, Run: t.run, Need: step.Need, EstimateMS: step.Estimate,
		})
		v.flight = append(v.flight, flight{seq: v.seq, need: step.Need})
	}
	for c, b := range begins {
		if b != nil {
			m.order(views[c], &proto.Orders{Begins: []proto.Begin{*b}})
		}
	}
}
