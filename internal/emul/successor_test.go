package emul

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/runs"
)

// slowStarts is an agent's machine whose starts arrive at the backend server after a delay, within their lease.
type slowStarts struct {
	machine
	world *World
	proc  *proc
	delay clock.Millis
	// started is called when a start is sent.
	started func()
}

func (s *slowStarts) Handle(now clock.Millis, ev event.Event) (actions []event.Action) {
	for _, a := range s.machine.Handle(now, ev) {
		o, ok := a.(runs.StartRun)
		if !ok {
			actions = append(actions, a)
			continue
		}
		until := now + o.Lease
		s.world.after(s.delay, func() { s.proc.backend.start(o, until) })
		s.started()
	}
	return actions
}

// A start that a killed agent has sent must not begin beside the run that its successor's list of runs has led to.
func TestStartOfAKilledAgentRunsOnce(t *testing.T) {
	for seed := range uint64(8) {
		w := New(DefaultConfig(seed))
		w.Run(2 * clock.Second)
		for _, p := range w.agents[:1] {
			killed := false
			p.machine = &slowStarts{machine: p.machine, world: w, proc: p, delay: 300, started: func() {
				if !killed {
					killed = true
					w.after(5, func() { w.Kill(p, false, 30) })
				}
			}}
		}
		w.Submit(1, Tasks{Count: 16, Need: room.Resources{CPU: 2000, MemMB: 64}, Work: 400, Estimate: 400, Patience: 4000})
		w.Run(5 * clock.Second)
		qt.Check(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}
