package emul

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
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
