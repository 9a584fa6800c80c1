package study

import (
	"fmt"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/emul"
	"corianderspur.example/corianderspur/internal/room"
)

const (
	// warmup is how long the emulated processes run before the first job arrives, in milliseconds.
	warmup = 2 * clock.Second
	// patience is how long a caller waits at least, and memMB the memory of a task, which is never short.
	patience = 1500 * clock.Millis(1)
	memMB    = 64
)

func jobID(number int) string {
	return fmt.Sprintf("%016x", number+1)
}

// PlayProduct lets the product serve a load in the emulator, and returns the rules that it broke.
func PlayProduct(l *Load) (out *Outcome, violations []string) {
	cfg := emul.DefaultConfig(l.Seed)
	cfg.Entries, cfg.Agents = l.Entries, len(l.Servers)
	cfg.Total = room.Resources{CPU: l.Servers[0].CPU, MemMB: 128_000}
	cfg.Disturb = l.Disturb
	if l.KeepApart {
		cfg.Dispatcher.KeepApart = []string{disp.AnyService}
	}
	w := emul.New(cfg)
	w.Run(warmup)
	scheduleFaults(w, l.Servers)
	callers := make([]*emul.Caller, len(l.Jobs))
	for i, j := range l.Jobs {
		w.After(j.At, func() { callers[i] = submit(w, i, j) })
	}
	w.Run(warmup + 2*l.Length)
	out = l.newOutcome()
	out.Served = make([]bool, len(l.Jobs))
	for i, c := range callers {
		switch c.Answer {
		case disp.Completed:
			out.Served[i] = true
			out.answered(l.Jobs[i], c.Answered-c.Sent+l.Jobs[i].At)
		case disp.Refused:
			out.Refused++
		default:
			out.Lost++
		}
	}
	return out, w.Violations()
}

func submit(w *emul.World, number int, j Job) *emul.Caller {
	return w.Submit(number+1, emul.Tasks{
		Count: len(j.Work), Need: room.Resources{CPU: j.Need, MemMB: memMB}, Works: j.Work, Estimate: j.Estimate,
		Patience: patience + usefulObjectives*j.Objective, Queue: j.Kind, Priority: j.Priority,
	})
}

// scheduleFaults plays the spans of the servers; if all servers are down at once, the processes beside them and the entries are too.
func scheduleFaults(w *emul.World, servers []Server) {
	if at, downtime := powerLoss(servers); downtime > 0 {
		w.After(at, func() { w.LosePower(downtime) })
		return
	}
	for i, s := range servers {
		for _, sp := range s.Spans {
			w.After(sp.From, func() {
				if sp.Speed == 0 {
					w.LoseBackend(i, sp.To-sp.From)
					return
				}
				w.SetSpeed(i, sp.Speed)
				w.After(sp.To-sp.From, func() { w.SetSpeed(i, 1) })
			})
		}
	}
}

// powerLoss returns when all servers go down together and for how long; the downtime is zero if they don't.
func powerLoss(servers []Server) (at, downtime clock.Millis) {
	for _, s := range servers {
		if len(s.Spans) != 1 || s.Spans[0] != servers[0].Spans[0] || s.Spans[0].Speed > 0 {
			return 0, 0
		}
	}
	return servers[0].Spans[0].From, servers[0].Spans[0].To - servers[0].Spans[0].From
}
