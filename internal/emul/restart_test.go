package emul

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/room"
)

// An order that is under way while a replaced backend server is announced must not lead to a second run elsewhere.
func TestOrderUnderWayToAReplacedBackendServerRunsOnce(t *testing.T) {
	for seed := range uint64(8) {
		cfg := DefaultConfig(seed)
		cfg.Agents, cfg.Latency = 8, 8
		w := New(cfg)
		w.Run(2 * clock.Second)
		w.scheduleJobs(20*clock.Second, 0)
		for i := range 36 {
			w.After(clock.Millis(i)*500, func() { w.ReplaceBackend(i%cfg.Agents, 60) })
		}
		w.Run(24 * clock.Second)
		qt.Check(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// A job whose order is under way to a replaced backend server was answered with a refusal, and ran: there is no other room for it.
func TestJobUnderWayToAReplacedBackendServerIsNotRefused(t *testing.T) {
	for seed := range uint64(8) {
		cfg := DefaultConfig(seed)
		cfg.Agents, cfg.Latency = 1, 8
		w := New(cfg)
		w.Run(6 * clock.Second)
		for i := range 100 {
			w.After(clock.Millis(i)*180, func() {
				w.Submit(i+1, Tasks{Count: 1, Need: room.Resources{CPU: 1600}, Work: 60, Estimate: 60, Patience: 1500})
			})
		}
		for i := range 36 {
			w.After(clock.Millis(i)*500, func() { w.ReplaceBackend(0, 60) })
		}
		w.Run(30 * clock.Second)
		qt.Check(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for _, c := range w.callers {
			qt.Check(t, c.Answer, qt.Equals, disp.Completed)
		}
	}
}

// Runs that a backend server has started after a restart under its id were taken for those of before, and started elsewhere too.
func TestRunsConfirmedByARestartedBackendServerGoOn(t *testing.T) {
	for seed := range uint64(20) {
		cfg := DefaultConfig(seed)
		cfg.Agents = 8
		w := New(cfg)
		w.Run(3 * clock.Second)
		r := w.agents[0].backend
		r.crash()
		w.After(300, func() { r.restart(r.id) })
		for i := range 8 {
			w.After(500, func() {
				w.Submit(i+1, Tasks{Count: 4, Need: room.Resources{CPU: 1600}, Work: 900, Estimate: 900, Patience: 1500})
			})
		}
		w.Run(8 * clock.Second)
		qt.Check(t, w.Violations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		for _, c := range w.callers {
			qt.Check(t, c.Answer, qt.Equals, disp.Completed)
		}
	}
}
