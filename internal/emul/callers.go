package emul

import (
	"fmt"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/room"
)

// Caller sends one job until it has a final answer.
type Caller struct {
	Job disp.Job
	// Answer is the final answer; empty while there is none.
	Answer   disp.Result
	Sent     clock.Millis
	Answered clock.Millis
	// Tries counts how often the job was sent.
	Tries   int
	refused bool
	world   *World
	entry   *proc
	life    int
	ticket  uint64
}

// maxTries bounds how often a caller sends a job.
const maxTries = 6

// Tasks describes a job of one step.
type Tasks struct {
	Count    int
	Need     room.Resources
	Work     clock.Millis
	Estimate clock.Millis
	Fails    bool
	Patience clock.Millis
}

// Submit lets a caller hand a job in now.
func (w *World) Submit(number int, t Tasks) *Caller {
	id := fmt.Sprintf("%016x", number)
	c := &Caller{
		world: w, Sent: w.now,
		Job: disp.Job{
			ID: id, Queue: "q", Service: service, MaxAttempts: 3, Stretch: 1.6, SLO: 60, Timeout: t.Patience,
			Steps: []disp.Step{{Count: t.Count, Need: t.Need, Estimate: t.Estimate}},
		},
	}
	for i := range t.Count {
		w.plans[fmt.Sprintf("%s.0.0.%d", id, i)] = taskPlan{Plan: Plan{Work: t.Work, Fails: t.Fails}, need: t.Need}
	}
	w.callers[id] = c
	c.send()
	return c
}

func (c *Caller) send() {
	w := c.world
	c.Tries++
	c.entry = w.entries[w.rng.IntN(len(w.entries))]
	w.lives++
	c.ticket = uint64(w.lives)
	c.life = c.entry.life
	if !c.entry.up {
		c.again()
		return
	}
	ticket := c.ticket
	w.logf("caller sends %s to %s", c.Job.ID, c.entry.name)
	c.entry.push(disp.Submit{Ticket: ticket, Job: c.Job})
	w.after(c.Job.Timeout, func() {
		if c.ticket == ticket && c.Answer == "" {
			c.entry.leave(c.life, ticket)
			c.again()
		}
	})
}

func (p *proc) leave(life int, ticket uint64) {
	if p.life == life {
		p.push(disp.CallerLeft{Ticket: ticket})
	}
}

// again sends the job once more after a while; the request before has no answer and will get none.
func (c *Caller) again() {
	c.ticket = 0
	if c.Tries >= maxTries {
		return
	}
	c.world.after(resendAfter, c.send)
}

func (w *World) reply(p *proc, r disp.Reply) {
	for _, id := range sortedKeys(w.callers) {
		c := w.callers[id]
		if c.ticket != r.Ticket || c.entry != p || c.Answer != "" {
			continue
		}
		w.logf("caller of %s gets %s", id, r.Result)
		if r.Result == disp.Unknown {
			c.again()
			return
		}
		c.ticket = 0
		c.Answer = r.Result
		c.Answered = w.now
		c.refused = r.Result == disp.Refused && c.Tries == 1
		w.check.answered(c)
		return
	}
}

// brokenCallers lets callers whose connections have just ended send again.
func (w *World) brokenCallers(p *proc) {
	for _, id := range sortedKeys(w.callers) {
		if c := w.callers[id]; c.entry == p && c.ticket != 0 && c.Answer == "" {
			c.again()
		}
	}
}
