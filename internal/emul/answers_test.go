package emul

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/room"
)

// Wide jobs of short tasks, beside backend servers that leave one order in twenty unanswered: a third of the jobs was late, as each such
// order, and each end behind a lost poll, cost most of their slack or more. Room is not short, so that nine in ten are to make their
// objective of 1.6 times the run time and 60 ms.
func TestUnansweredOrdersDoNotMakeWideJobsLate(t *testing.T) {
	const work, objective = 60, 60*16/10 + 60
	tests := map[string]func(cfg *Config){
		"answers lost":                   func(cfg *Config) { cfg.LostShare = 0.054 },
		"orders carried out late":        func(cfg *Config) { cfg.LateShare = 0.054 },
		"nearly a fifth of answers lost": func(cfg *Config) { cfg.LostShare = 0.18 },
	}
	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := DefaultConfig(1)
			cfg.Agents = 8
			set(&cfg)
			w := New(cfg)
			w.Run(2 * clock.Second)
			number := 0
			w.repeat(12*clock.Second, 0, 20, 40, func() {
				number++
				w.Submit(number, Tasks{Count: 8, Need: room.Resources{CPU: 1000, MemMB: 64}, Work: work, Estimate: work, Patience: 3 * clock.Second})
			})
			w.Run(16 * clock.Second)
			inTime := 0
			for _, c := range w.callers {
				if c.Answer == disp.Completed && c.Answered-c.Sent <= objective {
					inTime++
				}
			}
			checkHeld(t, w)
			qt.Check(t, inTime*10 >= number*9, qt.IsTrue, qt.Commentf("%d of %d", inTime, number))
		})
	}
}
