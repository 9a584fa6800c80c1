package study

import (
	"math/rand/v2"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/place"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/wait"
)

// Outcome is what a policy made of a load.
type Outcome struct {
	Worth float64
	// InTime, Late, Refused and Lost count jobs; late ones were answered after their objective.
	InTime, Late, Refused, Lost int
	// Served says of each job whether the product answered it as complete.
	Served []bool
	// Earned and Offered hold the worth by second of arrival.
	Earned  []float64
	Offered []float64
	// ByKind holds the worth earned by kind of request.
	ByKind map[string]float64
}

func (l *Load) newOutcome() *Outcome {
	seconds := int(l.Length/clock.Second) + 1
	o := &Outcome{Earned: make([]float64, seconds), Offered: make([]float64, seconds), ByKind: map[string]float64{}}
	for _, j := range l.Jobs {
		o.Offered[j.At/clock.Second] += j.Worth
	}
	return o
}

func (o *Outcome) answered(j Job, at clock.Millis) {
	worth := j.worthAt(at)
	o.Worth += worth
	o.ByKind[j.Kind] += worth
	o.Earned[j.At/clock.Second] += worth
	if at-j.At <= j.Objective {
		o.InTime++
	} else {
		o.Late++
	}
}

// Central is a policy of one dispatcher that knows the state of all servers without delay.
type Central struct {
	Name string
	// Patient jobs wait; others are refused at once if they don't fit.
	Patient bool
	// Ranked orders waiting jobs as the product does, otherwise they go in the order of their arrival and the first one blocks.
	Ranked bool
	// Random places tasks on any server with room, otherwise on the emptiest of normal speed.
	Random bool
}

// Centrals returns the central policies to compare with.
func Centrals() []Central {
	return []Central{
		{Name: "random", Random: true}, {Name: "first-come", Patient: true}, {Name: "exact", Patient: true, Ranked: true},
	}
}

type central struct {
	Central
	load   *Load
	out    *Outcome
	rng    *rand.Rand
	agenda clock.Agenda
	now    clock.Millis
	queue  wait.Queue
	order  []string
	jobs   map[string]*centralJob
	free   []int64
}

type centralJob struct {
	Job
	queued  wait.Job
	waiting []clock.Millis
	running int
}

// Play lets the policy serve a load.
func (c Central) Play(l *Load) *Outcome {
	s := &central{Central: c, load: l, out: l.newOutcome(), rng: rand.New(rand.NewPCG(l.Seed, 5)), jobs: map[string]*centralJob{}}
	for _, v := range l.Servers {
		s.free = append(s.free, v.CPU)
		for _, sp := range v.Spans {
			s.agenda.Add(sp.To, s.place)
		}
	}
	for i, j := range l.Jobs {
		s.agenda.Add(j.At, func() { s.arrive(i, j) })
	}
	const end = 10 * Length
	for at, f, ok := s.agenda.Next(end); ok; at, f, ok = s.agenda.Next(end) {
		s.now = at
		f()
	}
	return s.out
}

func (s *central) arrive(number int, j Job) {
	id := jobID(number)
	cj := &centralJob{Job: j, waiting: j.Work, queued: wait.Job{
		ID: id, Received: j.At, Priority: j.Priority, Estimate: j.Estimate,
		Objective: clock.Millis(stretch*float64(j.Estimate)) + slo,
	}}
	s.jobs[id] = cj
	s.queue.Put(cj.queued)
	s.order = append(s.order, id)
	s.place()
	refuseAt := cj.queued.RefuseAt()
	if !s.Patient {
		refuseAt = s.now
	}
	s.agenda.Add(refuseAt, func() {
		if s.jobs[id] != nil && !cj.queued.Started {
			s.out.Refused++
			s.remove(id)
			s.place()
		}
	})
}

func (s *central) remove(id string) {
	delete(s.jobs, id)
	s.queue.Remove(id)
}

// place starts what fits, in the order of the policy.
func (s *central) place() {
	if s.Ranked {
		full := false
		for _, w := range s.queue.Jobs() {
			full = !s.placeJob(s.jobs[w.ID], !full) || full
		}
		return
	}
	for len(s.order) > 0 {
		cj := s.jobs[s.order[0]]
		if cj != nil && !s.placeJob(cj, false) && s.Patient {
			return
		}
		s.order = s.order[1:]
	}
}

// placeJob starts the waiting tasks of a job and reports whether all have started. One that has not begun starts whole, unless it
// may begin with a part.
func (s *central) placeJob(cj *centralJob, partly bool) bool {
	servers, candidates := s.candidates()
	left := float64(cj.At + cj.queued.Objective - s.now)
	tasks := make([]place.Task, len(cj.waiting))
	for i := range tasks {
		tasks[i] = place.Task{Need: room.Resources{CPU: cj.Need}, MaxSlow: max(left/float64(cj.Estimate), 1)}
	}
	chosen := place.Choose(candidates, tasks, s.rng)
	var waiting []clock.Millis
	for i, c := range chosen {
		if c < 0 {
			waiting = append(waiting, cj.waiting[i])
		}
	}
	if len(waiting) > 0 && !cj.queued.Started && !partly {
		return false
	}
	for i, c := range chosen {
		if c >= 0 {
			s.start(cj, servers[c], cj.waiting[i])
		}
	}
	cj.waiting = waiting
	if len(waiting) == 0 {
		s.queue.Remove(cj.queued.ID)
	}
	return len(waiting) == 0
}

// candidates returns the servers that are up, each with what place.Choose needs of it. Random placement takes the servers in random
// order and hides what would distinguish them.
func (s *central) candidates() (servers []int, candidates []place.Candidate) {
	for i, v := range s.load.Servers {
		if v.Speed(s.now) > 0 {
			servers = append(servers, i)
		}
	}
	if s.Random {
		s.rng.Shuffle(len(servers), func(a, b int) { servers[a], servers[b] = servers[b], servers[a] })
	}
	for _, i := range servers {
		v := s.load.Servers[i]
		c := place.Candidate{Free: room.Resources{CPU: s.free[i]}, Total: room.Resources{CPU: v.CPU}, Slow: 1 / v.Speed(s.now)}
		if s.Random {
			c.Total, c.Slow = room.Resources{CPU: unlimitedCPU}, 1
		}
		candidates = append(candidates, c)
	}
	return servers, candidates
}

// unlimitedCPU makes the free shares of all servers equal, in thousandths of a core.
const unlimitedCPU = 1 << 40

func (s *central) start(cj *centralJob, server int, work clock.Millis) {
	cj.queued.Started = true
	cj.running++
	s.free[server] -= cj.Need
	end, lost := s.load.Servers[server].end(s.now, work)
	s.agenda.Add(end, func() {
		s.free[server] += cj.Need
		cj.running--
		if lost {
			cj.waiting = append(cj.waiting, work)
			s.queue.Put(cj.queued)
		}
		if cj.running == 0 && len(cj.waiting) == 0 {
			s.out.answered(cj.Job, s.now)
			s.remove(cj.queued.ID)
		}
		s.place()
	})
}

// end returns when a run that starts now ends, and whether it is lost with the server.
func (s Server) end(now clock.Millis, work clock.Millis) (at clock.Millis, lost bool) {
	left := float64(work)
	for at = now; left > 0; at++ {
		speed := s.Speed(at)
		if speed == 0 {
			return at, true
		}
		left -= speed
	}
	return at, false
}
