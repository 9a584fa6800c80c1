package emul

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/runs"
)

// holdMost is the longest lease that a backend server grants, stopTime what a stop takes, in milliseconds.
const (
	holdMost = 1000 * clock.Millis(1)
	stopTime = 50 * clock.Millis(1)
)

// Plan says how a task behaves.
type Plan struct {
	// Work is how long the task is at work, in milliseconds.
	Work clock.Millis
	// Fails says that its runs fail at their end.
	Fails bool
}

// runner is a fake backend server with leases, late orders and lost answers.
type runner struct {
	world *World
	agent string
	id    string
	born  int64
	total room.Resources
	up    bool
	// hung runs make no progress; slow stretches their work.
	hung bool
	slow float64

	until   clock.Millis
	runs    map[string]*work
	ends    []runs.Ended
	lastEnd uint64
	highest map[string]int
}

type work struct {
	task    string
	run     int
	need    room.Resources
	plan    Plan
	began   clock.Millis
	ends    clock.Millis
	endless bool
	// how is the end that the run comes to.
	how proto.EndReason
}

func newRunner(w *World, agent, id string, total room.Resources) *runner {
	return &runner{
		world: w, agent: agent, id: id, born: int64(w.now) + 1, total: total, up: true, slow: 1, runs: map[string]*work{},
		highest: map[string]int{},
	}
}

// advance ends what has come to its end by now.
func (r *runner) advance() {
	if !r.up {
		return
	}
	for _, task := range sortedKeys(r.runs) {
		w := r.runs[task]
		if !w.endless && w.ends <= min(r.world.now, r.until) {
			r.end(w, w.how, false)
		}
	}
	if r.world.now < r.until {
		return
	}
	for _, task := range sortedKeys(r.runs) {
		r.end(r.runs[task], proto.EndStopped, true)
	}
}

func (r *runner) end(w *work, how proto.EndReason, lapsed bool) {
	delete(r.runs, w.task)
	r.lastEnd++
	r.ends = append(r.ends, runs.Ended{N: r.lastEnd, Task: w.task, Run: w.run, How: how, Lapsed: lapsed})
	r.world.check.ended(r.agent, w.task)
}

func (r *runner) renew(until clock.Millis) {
	r.until = max(r.until, min(until, r.world.now+r.world.cfg.HoldMost))
}

// start carries out an order whose lease ends at until.
func (r *runner) start(o runs.StartRun, until clock.Millis) runs.Outcome {
	r.advance()
	cur := r.runs[o.Task]
	switch {
	case cur != nil && cur.run == o.Run:
		return runs.OrderDone
	case o.Run <= r.highest[o.Task] || until <= r.world.now:
		return runs.OrderOld
	}
	r.renew(until)
	r.highest[o.Task] = o.Run
	plan := r.world.plan(o.Task)
	w := &work{task: o.Task, run: o.Run, need: plan.need, plan: plan.Plan, began: r.world.now, endless: r.hung, how: proto.EndDone}
	w.ends = r.world.now + clock.Millis(float64(plan.Work)*r.slow)
	if plan.Fails {
		w.how = proto.EndFailed
	}
	r.runs[o.Task] = w
	r.world.check.started(r, w)
	return runs.OrderDone
}

func (r *runner) halt(o runs.HaltRun) runs.Outcome {
	r.advance()
	if o.Run > r.highest[o.Task] {
		r.highest[o.Task] = o.Run
	}
	if w := r.runs[o.Task]; w != nil && w.run <= o.Run {
		if end := r.world.now + stopTime; w.endless || w.ends > end {
			w.endless = false
			w.ends = end
			w.how = proto.EndStopped
		}
	}
	return runs.OrderDone
}

func (r *runner) look(o runs.Poll, until clock.Millis) runs.PollDone {
	r.advance()
	if o.Lease > 0 {
		r.renew(until)
	}
	r.ends = slices.DeleteFunc(r.ends, func(e runs.Ended) bool { return e.N <= o.AckedEnd })
	l := runs.PollDone{Number: o.Number, Outcome: runs.OrderDone, Born: r.born, Ended: slices.Clone(r.ends)}
	for _, task := range sortedKeys(r.runs) {
		w := r.runs[task]
		percent := 0.0
		if total := w.ends - w.began; !w.endless && total > 0 {
			percent = 100 * float64(r.world.now-w.began) / float64(total)
		}
		l.Running = append(l.Running, runs.Running{Task: w.task, Run: w.run, Percent: percent})
	}
	return l
}

// used returns the room that runs take.
func (r *runner) used() (sum room.Resources) {
	for _, w := range r.runs {
		sum = sum.Plus(w.need)
	}
	return sum
}

// crash ends everything without an end that anybody hears of.
func (r *runner) crash() {
	r.advance()
	for _, task := range sortedKeys(r.runs) {
		r.world.check.ended(r.agent, task)
	}
	r.up = false
	r.runs = map[string]*work{}
}

// reborn starts a new life, under the same id or another.
func (r *runner) reborn(id string) {
	fresh := newRunner(r.world, r.agent, id, r.total)
	fresh.born = max(fresh.born, r.born+1)
	*r = *fresh
}

func (r *runner) instance(seq uint64) runs.Instance {
	return runs.Instance{ID: r.id, Born: r.born, Service: service, Zone: "z", Total: r.total, Seq: seq}
}
