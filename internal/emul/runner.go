package emul

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/runs"
)

// maxLease is the longest lease that a backend server grants, stopTime how long a run takes to stop, in milliseconds.
const (
	maxLease = 1000 * clock.Millis(1)
	stopTime = 50 * clock.Millis(1)
)

// Plan defines how a task behaves.
type Plan struct {
	// Work is how long the task runs, in milliseconds.
	Work clock.Millis
	// Fails says that each run of the task fails at its end.
	Fails bool
}

// backend is a fake backend server. It runs tasks under a lease.
type backend struct {
	world *World
	agent string
	zone  string
	id    string
	born  int64
	// origins holds when each incarnation's clock began to count, by the time of start that it names.
	origins map[int64]clock.Millis
	total   room.Resources
	up      bool
	// refuses says that the machine refuses connections while the backend server is down.
	refuses bool
	// leaving says that the backend server has announced its end: it sends no more heartbeats.
	leaving bool
	// hung: runs that start meanwhile never end on their own. slowdown multiplies the duration of runs that start meanwhile.
	hung     bool
	slowdown float64
	// lateOrders says that starts and stops get no answer and are executed late, while polls are answered.
	lateOrders bool

	leaseUntil clock.Millis
	runs       map[string]*activeRun
	ended      []runs.Ended
	lastEnd    uint64
	highestRun map[string]int
	// fence is the highest fencing token that was seen.
	fence uint64
}

type activeRun struct {
	task      string
	number    int
	need      room.Resources
	plan      Plan
	startedAt clock.Millis
	endsAt    clock.Millis
	endless   bool
	// how is the way in which the run ends.
	how proto.EndReason
}

func newBackend(w *World, agent, id string, total room.Resources) *backend {
	r := &backend{
		world: w, agent: agent, id: id, born: int64(w.now) + 1, total: total, up: true, slowdown: 1, runs: map[string]*activeRun{},
		highestRun: map[string]int{},
	}
	r.origins = map[int64]clock.Millis{r.born: w.now}
	return r
}

// leaseFor returns when a lease ends here that an agent has counted on the clock of an incarnation. Each clock begins anew.
func (r *backend) leaseFor(born int64, until clock.Millis) clock.Millis {
	return until + r.origins[r.born] - r.origins[born]
}

// advance finishes the runs that have ended by now, and stops all others if the lease has lapsed.
func (r *backend) advance() {
	if !r.up || !r.isDue() {
		return
	}
	for _, task := range sortedKeys(r.runs) {
		run := r.runs[task]
		if !run.endless && run.endsAt <= min(r.world.now, r.leaseUntil) {
			r.finish(run, run.how, false)
		}
	}
	if r.world.now < r.leaseUntil {
		return
	}
	for _, task := range sortedKeys(r.runs) {
		r.finish(r.runs[task], proto.EndStopped, true)
	}
}

// isDue reports whether a run has ended by now, or has lost its lease.
func (r *backend) isDue() bool {
	for _, run := range r.runs {
		if r.world.now >= r.leaseUntil || (!run.endless && run.endsAt <= r.world.now) {
			return true
		}
	}
	return false
}

func (r *backend) finish(run *activeRun, how proto.EndReason, lapsed bool) {
	delete(r.runs, run.task)
	r.lastEnd++
	r.ended = append(r.ended, runs.Ended{N: r.lastEnd, Task: run.task, Run: run.number, How: how, Lapsed: lapsed})
	r.world.checker.runEnded(r.agent, run.task, how == proto.EndDone)
}

func (r *backend) renewLease(until clock.Millis) {
	r.leaseUntil = max(r.leaseUntil, min(until, r.world.now+r.world.cfg.HoldMost))
}

// namedBorn returns the time of start that answers to starts and stops name, zero if they name none.
func (r *backend) namedBorn() int64 {
	if r.world.cfg.NamesBorn {
		return r.born
	}
	return 0
}

// isFenced reports whether a higher fencing token was seen.
func (r *backend) isFenced(token uint64) bool {
	if token < r.fence {
		return true
	}
	r.fence = token
	return false
}

// start executes a start request whose lease ends at until.
func (r *backend) start(o runs.StartRun, until clock.Millis) runs.Outcome {
	r.advance()
	cur := r.runs[o.Task]
	switch {
	case r.isFenced(o.Token):
		return runs.OrderFenced
	case cur != nil && cur.number == o.Run:
		return runs.OrderDone
	case o.Run <= r.highestRun[o.Task] || until <= r.world.now:
		return runs.OrderOld
	}
	r.renewLease(until)
	r.highestRun[o.Task] = o.Run
	plan := r.world.plan(o.Task)
	run := &activeRun{
		task: o.Task, number: o.Run, need: plan.need, plan: plan.Plan, startedAt: r.world.now, endless: r.hung, how: proto.EndDone,
	}
	run.endsAt = r.world.now + clock.Millis(float64(plan.Work)*r.slowdown)
	if plan.Fails {
		run.how = proto.EndFailed
	}
	r.runs[o.Task] = run
	r.world.checker.runStarted(r, run)
	return runs.OrderDone
}

func (r *backend) halt(o runs.HaltRun) runs.Outcome {
	r.advance()
	if r.isFenced(o.Token) {
		return runs.OrderFenced
	}
	if o.Run > r.highestRun[o.Task] {
		r.highestRun[o.Task] = o.Run
	}
	if run := r.runs[o.Task]; run != nil && run.number <= o.Run {
		if end := r.world.now + stopTime; run.endless || run.endsAt > end {
			run.endless = false
			run.endsAt = end
			run.how = proto.EndStopped
		}
	}
	return runs.OrderDone
}

func (r *backend) poll(o runs.Poll, until clock.Millis) runs.PollDone {
	r.advance()
	if r.isFenced(o.Token) {
		return runs.PollDone{Number: o.Number, Outcome: runs.OrderFenced, Born: r.born}
	}
	if o.Lease > 0 {
		r.renewLease(until)
	}
	r.ended = slices.DeleteFunc(r.ended, func(e runs.Ended) bool { return e.N <= o.AckedEnd })
	l := runs.PollDone{Number: o.Number, Outcome: runs.OrderDone, Born: r.born, Clock: int64(r.world.now), Ended: slices.Clone(r.ended)}
	for _, task := range sortedKeys(r.runs) {
		run := r.runs[task]
		percent := 0.0
		if total := run.endsAt - run.startedAt; !run.endless && total > 0 {
			percent = 100 * float64(r.world.now-run.startedAt) / float64(total)
		}
		l.Running = append(l.Running, runs.Running{Task: run.task, Run: run.number, Percent: percent})
	}
	return l
}

// used returns the resources that the runs take.
func (r *backend) used() (sum room.Resources) {
	for _, run := range r.runs {
		sum = sum.Plus(run.need)
	}
	return sum
}

// crash ends all runs without reporting their ends.
func (r *backend) crash() {
	r.advance()
	for _, task := range sortedKeys(r.runs) {
		r.world.checker.runEnded(r.agent, task, false)
	}
	r.up = false
	r.runs = map[string]*activeRun{}
}

// clockStepShare is the fraction of restarts behind which the time of day has been set back, by up to clockStep milliseconds, in
// sessions that replace backend servers.
const (
	clockStepShare = 0.1
	clockStep      = 2000
)

// restart starts a new incarnation, under the same id or another.
func (r *backend) restart(id string) {
	fresh := newBackend(r.world, r.agent, id, r.total)
	fresh.zone = r.zone
	fresh.born = max(fresh.born, r.born+1)
	if r.world.cfg.ReplaceEvery > 0 && r.world.rng.Float64() < clockStepShare {
		if back := int64(1 + r.world.rng.IntN(clockStep)); back < r.born {
			fresh.born = r.born - back
		}
	}
	fresh.origins = r.origins
	fresh.origins[fresh.born] = r.world.now
	*r = *fresh
}

func (r *backend) instance(seq uint64) runs.Instance {
	return runs.Instance{ID: r.id, Born: r.born, Service: service, Zone: r.zone, Total: r.total, Seq: seq}
}
