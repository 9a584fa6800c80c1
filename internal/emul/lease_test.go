package emul

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/room"
)

// submitLong runs a job of one long task and returns the number of the agent at whose backend server it runs.
func submitLong(t *testing.T, w *World, patience clock.Millis) (c *Caller, agent int) {
	c = w.Submit(1, Tasks{Count: 1, Need: room.Resources{CPU: 1000}, Work: 6 * clock.Second, Estimate: 300, Patience: patience})
	w.Run(w.now + 100)
	for i, a := range w.agents {
		if len(a.backend.runs) > 0 {
			return c, i
		}
	}
	t.Fatal("the task has not begun")
	return nil, 0
}

// Stops get no answer while polls do: the runs of an entry that is lost must not go on until another entry starts their tasks.
func TestUnansweredStopsEndWithTheLease(t *testing.T) {
	for seed := range uint64(20) {
		w := New(DefaultConfig(seed + 1))
		w.Verbose = true
		w.Run(3 * clock.Second)
		c, agent := submitLong(t, w, 10*clock.Second)
		w.LateOrders(agent, 4*clock.Second)
		w.Kill(c.entry, false, 8*clock.Second)
		w.Run(w.now + 6*clock.Second)
		qt.Assert(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d\n%s", seed+1, w.Log.String()))
	}
}

// The same for the runs of a caller that has left and sends its job again 1.3 s later.
func TestUnansweredStopsOfALeftCallerEndWithTheLease(t *testing.T) {
	for seed := range uint64(20) {
		w := New(DefaultConfig(seed + 1))
		w.Verbose = true
		w.Run(3 * clock.Second)
		_, agent := submitLong(t, w, 400)
		w.LateOrders(agent, 4*clock.Second)
		w.Run(w.now + 6*clock.Second)
		qt.Assert(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d\n%s", seed+1, w.Log.String()))
	}
}

// An agent ends while its start is under way, which the backend server carries out after the successor has listed the runs there.
func TestStartsOfAnEndedAgentAreFenced(t *testing.T) {
	for seed := range uint64(20) {
		cfg := DefaultConfig(seed + 1)
		cfg.LateMin, cfg.LateRange = 200, 300
		w := New(cfg)
		w.Verbose = true
		w.Run(3 * clock.Second)
		for i := range w.agents {
			w.LateOrders(i, 20)
		}
		c := w.Submit(1, Tasks{Count: 1, Need: room.Resources{CPU: 1000}, Work: 2 * clock.Second, Estimate: 300, Patience: 10 * clock.Second})
		w.Run(w.now + 10)
		for _, a := range w.agents {
			w.Kill(a, false, 30)
		}
		w.Run(w.now + 6*clock.Second)
		qt.Assert(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d\n%s", seed+1, w.Log.String()))
		qt.Check(t, c.Answer, qt.Equals, disp.Completed, qt.Commentf("seed %d", seed+1))
	}
}

// The first messages of sessions are held up on their way to an agent, which dies once it has started the run: the lease must be counted
// from the order.
func TestOrderBehindADelayedFirstMessageRunsOnce(t *testing.T) {
	const delay, agents = 905, 2
	for seed := range uint64(20) {
		cfg := DefaultConfig(seed + 1)
		cfg.Entries, cfg.Agents = 1, agents
		w := New(cfg)
		w.Verbose = true
		for _, a := range w.agents {
			w.cutFor(w.entries[0], a, delay, true, false)
		}
		w.Run(5)
		w.Submit(1, Tasks{Count: 1, Need: room.Resources{CPU: 1000}, Work: 6 * clock.Second, Estimate: 1000, Patience: 10 * clock.Second})
		for w.now < 2*delay {
			w.Run(w.now + 1)
			for _, a := range w.agents {
				if len(a.backend.runs) > 0 {
					w.Kill(a, true, 5*clock.Second)
				}
			}
		}
		w.Run(w.now + 6*clock.Second)
		qt.Assert(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d\n%s", seed+1, w.Log.String()))
	}
}
