package emul

import (
	"fmt"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/room"
)

// Caller submits one job and retries it, up to maxTries times, until it gets a final answer.
type Caller struct {
	Job disp.Job
	// Answer is the final answer; empty until there is one.
	Answer   disp.Result
	Sent     clock.Millis
	Answered clock.Millis
	// Tries counts how often the job was sent.
	Tries int
	// refused says that the first try was refused, so that no task of the job may ever begin.
	refused          bool
	world            *World
	entry            *proc
	entryIncarnation int
	ticket           uint64
}

// maxTries bounds how often a caller sends a job.
const maxTries = 6

// Tasks describes a job with one step; times are in milliseconds.
type Tasks struct {
	Count    int
	Need     room.Resources
	Work     clock.Millis
	Estimate clock.Millis
	Fails    bool
	Patience clock.Millis
	// Works holds the run time of each task where they differ from Work.
	Works []clock.Millis
	// Queue and Priority are those of the job's queue.
	Queue    string
	Priority int
}

// Submit creates a caller that submits a job now.
func (w *World) Submit(number int, t Tasks) *Caller {
	id := fmt.Sprintf("%016x", number)
	if t.Queue == "" {
		t.Queue = "q"
	}
	c := &Caller{
		world: w, Sent: w.now,
		Job: disp.Job{
			ID: id, Queue: t.Queue, Priority: t.Priority, Service: service, MaxAttempts: 3, Stretch: 1.6, SLO: 60, Timeout: t.Patience,
			Steps: []disp.Step{{Count: t.Count, Need: t.Need, Estimate: t.Estimate}},
		},
	}
	for i := range t.Count {
		work := t.Work
		if i < len(t.Works) {
			work = t.Works[i]
		}
		w.plans[fmt.Sprintf("%s.0.0.%d", id, i)] = taskPlan{Plan: Plan{Work: work, Fails: t.Fails}, queue: t.Queue, need: t.Need}
	}
	w.callers[id] = c
	c.send()
	return c
}

func (c *Caller) send() {
	w := c.world
	c.Tries++
	c.entry = w.entries[w.rng.IntN(len(w.entries))]
	w.lastSerial++
	c.ticket = uint64(w.lastSerial)
	c.entryIncarnation = c.entry.incarnation
	if !c.entry.up {
		c.retryLater()
		return
	}
	ticket := c.ticket
	w.logf("caller sends %s to %s", c.Job.ID, c.entry.name)
	c.entry.push(disp.Submit{Ticket: ticket, Job: c.Job})
	w.after(c.Job.Timeout, func() {
		if c.ticket == ticket && c.Answer == "" {
			if !w.cfg.CutCallers {
				c.entry.callerLeft(c.entryIncarnation, ticket)
			}
			c.retryLater()
		}
	})
}

func (p *proc) callerLeft(incarnation int, ticket uint64) {
	if p.incarnation == incarnation {
		p.push(disp.CallerLeft{Ticket: ticket})
	}
}

// retryLater sends the job again after resendAfter. The previous request gets no answer any more.
func (c *Caller) retryLater() {
	c.ticket = 0
	if c.Tries >= maxTries {
		return
	}
	c.world.after(resendAfter, c.send)
}

func (w *World) deliverReply(p *proc, r disp.Reply) {
	for _, id := range sortedKeys(w.callers) {
		c := w.callers[id]
		if c.ticket != r.Ticket || c.entry != p || c.Answer != "" {
			continue
		}
		w.logf("caller of %s gets %s", id, r.Result)
		if r.Result == disp.Unknown {
			c.retryLater()
			return
		}
		c.ticket = 0
		c.Answer = r.Result
		c.Answered = w.now
		c.refused = r.Result == disp.Refused && c.Tries == 1
		w.checker.jobAnswered(c)
		return
	}
}

// retryDisconnected makes the callers whose connections to p have just broken retry.
func (w *World) retryDisconnected(p *proc) {
	for _, id := range sortedKeys(w.callers) {
		if c := w.callers[id]; c.entry == p && c.ticket != 0 && c.Answer == "" {
			c.retryLater()
		}
	}
}
