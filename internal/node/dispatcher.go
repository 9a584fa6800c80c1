package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/mesh"
	"corianderspur.example/corianderspur/internal/meter"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// Dispatcher runs the dispatcher's state machine of an entry on a control thread.
type Dispatcher struct {
	machine *disp.Machine
	loop    *Loop
	mesh    *mesh.Mesh
	notes   *notes
	cancel  context.CancelFunc
	// after is time.After, except in tests.
	after func(d time.Duration) <-chan time.Time

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan disp.Reply
}

// NewDispatcher creates a dispatcher that has not started.
func NewDispatcher(cfg conf.Dispatcher, incarnation string, seed uint64, log logr.Logger, m *meter.Meter) *Dispatcher {
	id := shard.ID(cfg.Name + "/" + incarnation)
	machine := disp.New(disp.Config{
		ID: id, Zone: cfg.AvailabilityZone, Beat: cfg.BeatMS, Silence: cfg.SilenceMS, IdleBeat: cfg.IdleBeatMS, IdleSilence: cfg.IdleSilenceMS, Lease: cfg.LeaseMS, ReattachTimeout: cfg.ReattachMS,
		AnswerMargin: cfg.AnswerMarginMS, DrainLimit: cfg.DrainLimitMS, RemoteFactor: cfg.FarFactor, ColdFactor: float64(cfg.ColdFactor),
		KeepApart: cfg.KeepApart, Seed: seed,
	})
	d := &Dispatcher{
		machine: machine, notes: &notes{log: log, meter: m}, after: time.After, waiting: map[uint64]chan disp.Reply{},
	}
	d.loop = NewLoop(clock.NewBoot(), present{d})
	d.loop.gap = cfg.SilenceMS
	d.loop.every = cfg.TickMS.Duration()
	d.mesh = mesh.New(mesh.Config{
		ID: id, Role: proto.RoleEntry, Inbox: d.loop, DialTimeout: cfg.DialTimeoutMS, RedialFirst: cfg.RedialMS,
		RedialMost: cfg.DialTimeoutMS / 3, Log: log,
	})
	d.loop.perform = d.perform
	d.loop.take = d.mesh.Take
	d.loop.stale = d.stale
	d.loop.resume = func() { d.resume(id) }
	d.loop.faulted = d.faulted
	return d
}

// Run runs the dispatcher until the context ends, which begins a planned stop, and the stop is done.
func (d *Dispatcher) Run(ctx context.Context) {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.cancel = cancel
	go func() {
		<-ctx.Done()
		d.loop.Push(event.Stop{})
	}()
	d.loop.Run(running)
	d.mesh.Close()
	d.refuseAll()
}

func (d *Dispatcher) perform(a event.Action) {
	switch a := a.(type) {
	case event.Send:
		d.mesh.Send(a.To, a.Message, a.Lazy)
	case event.Connect:
		d.mesh.Connect(a.Members)
	case disp.CloseSession:
		d.mesh.Drop(a.Peer)
	case disp.Reply:
		d.reply(a)
	case event.Note:
		d.notes.take(a)
	case event.Exit:
		d.cancel()
	}
}

// Disturbances returns the pairs of kinds of tasks that are believed to disturb each other.
func (d *Dispatcher) Disturbances() (list []disp.Disturbance) {
	d.loop.Do(func(clock.Millis) { list = d.machine.Disturbances() })
	return list
}

func (d *Dispatcher) resume(id shard.ID) {
	d.notes.log.Info("thawed")
	d.mesh.Reset(id)
	for _, a := range d.machine.Resume(d.loop.last) {
		d.perform(a)
	}
}

// faulted closes the session, or answers the caller, of an event whose handling panicked.
func (d *Dispatcher) faulted(ev event.Event, fault string) {
	d.notes.log.Info("fault", "reason", fault)
	switch ev := ev.(type) {
	case event.Received:
		d.mesh.Drop(ev.From)
	case disp.Submit:
		d.reply(disp.Reply{Ticket: ev.Ticket, Result: disp.Unknown})
	case disp.Cancel:
		d.reply(disp.Reply{Ticket: ev.Ticket, Result: disp.Unknown})
	}
}

// stale refuses a request that may have waited in a socket while the process was suspended.
func (d *Dispatcher) stale(ev event.Event) {
	switch ev := ev.(type) {
	case disp.Submit:
		d.reply(disp.Reply{Ticket: ev.Ticket, Result: disp.Refused})
	case disp.Cancel:
		d.reply(disp.Reply{Ticket: ev.Ticket, Result: disp.Unknown})
	}
}

func (d *Dispatcher) reply(r disp.Reply) {
	d.mu.Lock()
	ch := d.waiting[r.Ticket]
	delete(d.waiting, r.Ticket)
	d.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

func (d *Dispatcher) refuseAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for ticket, ch := range d.waiting {
		delete(d.waiting, ticket)
		ch <- disp.Reply{Ticket: ticket, Result: disp.Unknown}
	}
}

// ticket registers a caller that waits for a reply.
func (d *Dispatcher) ticket() (uint64, chan disp.Reply) {
	ch := make(chan disp.Reply, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	d.waiting[d.next] = ch
	return d.next, ch
}

func (d *Dispatcher) waits(ticket uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting[ticket] != nil
}

// present hands events to the dispatcher's state machine, except jobs whose callers have left in the meantime.
type present struct {
	dispatcher *Dispatcher
}

// Handle handles an event.
func (p present) Handle(now clock.Millis, ev event.Event) []event.Action {
	if s, ok := ev.(disp.Submit); ok && !p.dispatcher.waits(s.Ticket) {
		return []event.Action{abandoned(s.Job)}
	}
	return p.dispatcher.machine.Handle(now, ev)
}

func abandoned(j disp.Job) event.Note {
	return event.Note{Name: "request_abandoned", Job: j.ID, Class: j.Queue}
}

// callerLeft reports whether the caller of a request has disconnected. It waits a moment for the end of the connection if the request
// may have been held up on the way for as long as the caller waits, since that end is then right behind it.
func (d *Dispatcher) callerLeft(ctx context.Context, patience clock.Millis) bool {
	if ctx.Err() != nil {
		return true
	}
	c := connOf(ctx)
	if c == nil {
		return false
	}
	if c.ended() {
		return true
	}
	wait := c.endWait(patience)
	if wait == 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return true
	case <-d.after(wait):
		return c.ended()
	}
}

// Submit submits a job and waits for its reply; the job is dropped if its caller disconnects first.
func (d *Dispatcher) Submit(ctx context.Context, j disp.Job) disp.Reply {
	if d.callerLeft(ctx, j.Timeout) {
		d.notes.take(abandoned(j))
		return disp.Reply{Result: disp.Unknown}
	}
	if d.loop.Resuming() {
		return disp.Reply{Result: disp.Refused}
	}
	if c := connOf(ctx); c != nil && c.mayBeFrom(d.loop.lastStall(), j.Timeout) {
		d.notes.take(event.Note{Name: "job_refused", Job: j.ID, Class: j.Queue, Reason: "thawed"})
		return disp.Reply{Result: disp.Refused}
	}
	ticket, ch := d.ticket()
	d.loop.Push(disp.Submit{Ticket: ticket, Job: j})
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.waiting, ticket)
		d.mu.Unlock()
		d.loop.Push(disp.CallerLeft{Ticket: ticket})
		return disp.Reply{Result: disp.Unknown}
	}
}

// Cancel ends a job and waits for the reply.
func (d *Dispatcher) Cancel(ctx context.Context, id string) disp.Reply {
	ticket, ch := d.ticket()
	d.loop.Push(disp.Cancel{Ticket: ticket, ID: id})
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		return disp.Reply{Result: disp.Unknown}
	}
}

// State returns the state of a job; known is false for one that this entry has never had or has forgotten.
func (d *Dispatcher) State(id string) (state string, known bool) {
	d.loop.Do(func(clock.Millis) { state, known = d.machine.State(id) })
	return state, known
}

// Pending returns the number of jobs of a queue of which nothing has begun.
func (d *Dispatcher) Pending(queue string) (n int) {
	d.loop.Do(func(clock.Millis) { n = d.machine.Pending(queue) })
	return n
}

// Ready reports whether an agent can be reached.
func (d *Dispatcher) Ready() (ready bool) {
	d.loop.Do(func(clock.Millis) { ready = d.machine.Ready() })
	return ready
}

// Closing announces that the connections of callers are closed after a time: what can't be answered by then is refused.
func (d *Dispatcher) Closing(after time.Duration) {
	d.loop.Push(disp.Closing{Within: clock.Millis(after.Milliseconds())})
}

// SetAgents sets the agents to which sessions are kept open.
func (d *Dispatcher) SetAgents(agents []shard.Member) {
	d.loop.Push(disp.Members{Agents: agents})
}

// SetEvacuated sets the evacuated availability zones as the store has them.
func (d *Dispatcher) SetEvacuated(s evac.State) {
	d.loop.Push(disp.Evacuated{State: s})
}
