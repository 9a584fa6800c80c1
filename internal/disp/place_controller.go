package disp

import (
	"math"
	"slices"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/place"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// pool holds the agents of one service and their room while jobs are placed.
type pool struct {
	views      []*agentView
	candidates []place.Candidate
	// warmth is the speed of each candidate's backend server after its start, as a share of its full speed.
	warmth []float64
	// claimed is what the jobs placed so far need for their tasks without room.
	claimed room.Resources
	total   room.Resources
	// full says that an earlier job did not get room for all of its tasks.
	full bool
}

// placeAll sends waiting tasks to agents that have room, in the order of the wait queue.
func (m *Machine) placeAll() {
	pools := map[string]*pool{}
	clear(m.wantRanks)
	for _, w := range m.waitQueue.Jobs() {
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
		m.requestRoom(j.Service, w.Rank())
	}
}

// newPool returns the agents of a service that accept tasks. Those whose report is overdue are left out, as tasks sent to a
// failed machine are lost with it; if all are overdue, this process itself was delayed, and they are used.
func (m *Machine) newPool(service string) *pool {
	var responsive, overdue []*agentView
	for _, id := range m.agentIDs() {
		v := m.agents[id]
		switch {
		case !m.usable(v, service):
		case m.isOverdue(v):
			overdue = append(overdue, v)
		default:
			responsive = append(responsive, v)
		}
	}
	if len(responsive) == 0 {
		responsive = overdue
	}
	return m.poolOf(responsive)
}

func (m *Machine) poolOf(views []*agentView) *pool {
	p := &pool{views: views, candidates: make([]place.Candidate, 0, len(views)), warmth: make([]float64, 0, len(views))}
	paces, least := mediansOf(views), leastColdness(views, m.now, m.cfg.ColdFactor)
	for _, v := range views {
		c := place.Candidate{
			ID: v.id, Free: v.estimatedFree(), Total: v.facts.Total, Labels: v.facts.Labels, Failing: v.failureRate,
			Kinds: v.kinds, Remote: m.cfg.Zone != "" && v.facts.Zone != m.cfg.Zone,
		}
		c.Slow, c.Steady = v.slowness(paces)
		cold := v.coldness(m.now, m.cfg.ColdFactor) / least
		if cold > 1 {
			c.Slow, c.Steady = max(c.Slow, cold), 1
		}
		v.slow = c.Slow
		p.candidates = append(p.candidates, c)
		p.warmth = append(p.warmth, 1/cold)
		p.total = p.total.Plus(c.Total.Times(1 / c.Slow))
	}
	return p
}

// freeFor returns the free capacity at the agents that are slower than elsewhere by no more than a factor, less what earlier jobs
// have claimed.
func (p *pool) freeFor(maxSlow float64) (free room.Resources) {
	for i, c := range p.candidates {
		if c.Free.CPU > 0 && c.Slow <= maxSlow {
			free = free.Plus(c.Free.Times(p.warmth[i]))
		}
	}
	return free.Minus(p.claimed)
}

// usefulSlowness returns the slowness up to which the waiting tasks of a job are done in time, 1 at the least.
func (m *Machine) usefulSlowness(j *job) float64 {
	useful := math.Inf(1)
	for _, t := range j.tasks {
		if t.state == waiting {
			useful = min(useful, max(m.maxSlowness(j, j.Steps[t.step]), 1))
		}
	}
	return useful
}

// placeJob sends the waiting tasks of a job, and reports whether later jobs may be placed as if all of them had room. A job of
// which nothing has begun is sent all or nothing unless it is the first that lacks room: small jobs behind that one would take
// each slot before enough are free for a wide job.
func (m *Machine) placeJob(j *job, p *pool) bool {
	allOrNothing := p.full && !j.queued.Started
	budget := m.budget(j, p)
	if len(p.candidates) == 0 || (allOrNothing && !budget.Fits(j.waitingNeed())) {
		return false
	}
	near := j.queued.StaysNear(m.now, m.cfg.RemoteFactor)
	tasks, needs := m.waitingTasks(j, near)
	all := len(tasks)
	tasks, needs = fitting(budget, tasks, needs)
	if all > 0 && len(tasks) == 0 {
		return false
	}
	if len(tasks) == 0 {
		m.waitQueue.Remove(j.ID)
		return true
	}
	candidates := slices.Clone(p.candidates)
	m.setHeld(j, candidates)
	chosen := place.Choose(candidates, needs, m.rng)
	missing := all - len(tasks)
	claimed := j.waitingNeed()
	for i, c := range chosen {
		if c < 0 {
			missing++
		} else {
			claimed = claimed.Minus(needs[i].Need)
		}
	}
	if missing > 0 && (allOrNothing || (near && !j.queued.Started)) {
		// A job that waits for room near its data doesn't hold back jobs that can use other agents.
		return near
	}
	m.noteMoved(j, needs)
	p.candidates = candidates
	p.claimed = p.claimed.Plus(claimed)
	begun := j.queued.Started
	m.sendBegins(j, tasks, chosen, p.views)
	m.updateQueued(j)
	if !begun && j.queued.Started {
		m.noteJobBegun(j, missing)
	}
	return missing == 0
}

// budget returns the capacity that a job may use. Where some is reserved for jobs of the first priority, only CPU of which
// a task of theirs can use all counts.
func (m *Machine) budget(j *job, p *pool) room.Resources {
	maxSlow := m.usefulSlowness(j)
	free := p.freeFor(maxSlow)
	g := m.guards[j.Service]
	if g == nil {
		return free
	}
	reserved := g.Reserved(m.now, j.queued, j.largestNeed(), p.total)
	if reserved == (room.Resources{}) {
		return free
	}
	free.CPU = p.wholeTasksCPU(g.TaskNeed(), maxSlow) - p.claimed.CPU
	return free.Minus(reserved)
}

// wholeTasksCPU returns the free CPU that tasks of a need can use at the agents that are slower than elsewhere by no more than a
// factor, in thousandths of a core.
func (p *pool) wholeTasksCPU(need room.Resources, maxSlow float64) (sum int64) {
	for _, c := range p.candidates {
		if need.CPU > 0 && c.Free.CPU > 0 && c.Slow <= maxSlow {
			sum += c.Free.CPU / need.CPU * need.CPU
		}
	}
	return sum
}

// largestNeed returns the need of the waiting task that needs the most CPU.
func (j *job) largestNeed() (need room.Resources) {
	for _, t := range j.tasks {
		if n := j.Steps[t.step].Need; t.state == waiting && n.CPU > need.CPU {
			need = n
		}
	}
	return need
}

// fitting returns the longest prefix of the tasks that fits into a budget.
func fitting(budget room.Resources, tasks []*task, needs []place.Task) ([]*task, []place.Task) {
	for i := range needs {
		if !budget.Fits(needs[i].Need) {
			return tasks[:i], needs[:i]
		}
		budget = budget.Minus(needs[i].Need)
	}
	return tasks, needs
}

// noteJobBegun logs that a job has begun, with the length of the queue and the free capacity after its tasks were sent. The
// figures include agents with overdue reports, which newPool may have left out.
func (m *Machine) noteJobBegun(j *job, missing int) {
	n := event.Note{Name: "job_begun", Job: j.ID, Class: j.Queue, Count: len(j.tasks) - missing, Took: m.now - j.received}
	for _, t := range j.tasks {
		if t.state == sent {
			n.Peer = t.agent
			break
		}
	}
	m.addDecisionInputs(&n, j.Service)
	m.note(n)
}

// setHeld sets the number of a job's tasks that each agent has; only jobs with a limit on some step need it.
func (m *Machine) setHeld(j *job, candidates []place.Candidate) {
	for i := range candidates {
		candidates[i].Placed = 0
	}
	if !slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Limit > 0 }) {
		return
	}
	for i := range candidates {
		candidates[i].Placed = m.countHeldAt(j, candidates[i].ID)
	}
}

func (m *Machine) waitingTasks(j *job, near bool) (tasks []*task, needs []place.Task) {
	apart := m.apartOf(j.Service)
	for _, t := range j.tasks {
		if t.state != waiting {
			continue
		}
		step := j.Steps[t.step]
		maxSlow := m.maxSlowness(j, step)
		tasks = append(tasks, t)
		need := place.Task{
			Need: step.Need, Requires: step.Requires, Near: step.Near, Far: m.cfg.RemoteFactor,
			OnlyNear: near && step.Near != "", Limit: step.Limit, Avoid: t.avoid, MaxSlow: maxSlow,
		}
		need.Kind, need.Apart = m.kindOf(j, step), apart
		needs = append(needs, need)
	}
	return tasks, needs
}

// countHeldAt counts the tasks of a job that are at an agent.
func (m *Machine) countHeldAt(j *job, id shard.ID) (n int) {
	for _, t := range j.tasks {
		if (t.state == sent || t.state == lost) && t.agent == id {
			n++
		}
	}
	return n
}

// sendBegins sends each chosen agent one message with the tasks to begin.
func (m *Machine) sendBegins(j *job, tasks []*task, chosen []int, views []*agentView) {
	begins := make([]*proto.Begin, len(views))
	for i, t := range tasks {
		c := chosen[i]
		if c < 0 {
			continue
		}
		v := views[c]
		if begins[c] == nil {
			v.beginSeq++
			begins[c] = &proto.Begin{Seq: v.beginSeq, Job: j.ID, Service: j.Service, Spec: j.Spec, Rank: j.queued.OwnRank(), Instance: v.facts.Instance, Born: v.facts.Born}
		}
		step := j.Steps[t.step]
		t.state = sent
		t.agent = v.id
		if !v.busy {
			v.busy, v.busySince = true, m.now
		}
		t.run++
		t.seq = v.beginSeq
		if t.resent {
			m.note(event.Note{Name: "task_sent_again", Job: t.name, Class: j.Queue, Peer: v.id, Run: t.run, Seq: t.seq, Took: m.now - j.received})
		}
		j.lastSent = m.now
		begins[c].Tasks = append(begins[c].Tasks, proto.TaskBegin{
			Task: t.name, Run: t.run, Need: step.Need, EstimateMS: step.Estimate, Requires: step.Requires,
			Kind: m.kindOf(j, step),
		})
		v.inFlight = append(v.inFlight, inFlightTask{seq: v.beginSeq, need: step.Need})
	}
	for c, b := range begins {
		if b != nil {
			m.sendOrders(views[c], &proto.Orders{Begins: []proto.Begin{*b}})
		}
	}
}

// binding returns what keeps a waiting job from being placed, by the room that this dispatcher knows of, and the CPU of that room
// which the job could use in time.
func (m *Machine) binding(j *job) (what string, usable int64) {
	p := m.newPool(j.Service)
	_, needs := m.waitingTasks(j, false)
	free := p.freeFor(m.usefulSlowness(j))
	switch {
	case !free.Fits(j.waitingNeed()):
		what = "full"
	case slices.Contains(place.Choose(slices.Clone(p.candidates), needs, m.rng), -1):
		what = "fragments"
	case !m.budget(j, p).Fits(j.waitingNeed()):
		what = "reservation"
	default:
		what = "order"
	}
	return what, free.CPU
}
