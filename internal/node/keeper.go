package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/mesh"
	"corianderspur.example/corianderspur/internal/meter"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/runs"
	"corianderspur.example/corianderspur/internal/shard"
)

// Runner carries out orders at a backend server; each call returns within the order's timeout.
type Runner interface {
	Start(ctx context.Context, o runs.StartRun) runs.StartDone
	Halt(ctx context.Context, o runs.HaltRun) runs.HaltDone
	Poll(ctx context.Context, o runs.Poll) runs.PollDone
}

// Keeper runs the state machine of an agent for leased runs on a control thread.
type Keeper struct {
	id      shard.ID
	machine *runs.Machine
	loop    *Loop
	mesh    *mesh.Mesh
	runner  Runner
	notes   *notes
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewKeeper creates a keeper that has not started. The runner counts leases on the same clock.
func NewKeeper(cfg conf.Keeper, incarnation string, seed uint64, runner Runner, c clock.Clock, log logr.Logger, m *meter.Meter) *Keeper {
	id := shard.ID(cfg.Name + "/" + incarnation)
	machine := runs.New(runs.Config{
		ID: id, Name: cfg.Name, Zone: cfg.AvailabilityZone, Token: newToken(seed), Lease: cfg.LeaseMS, Silence: cfg.SilenceMS, IdleSilence: cfg.IdleSilenceMS,
		Reattach: cfg.ReattachMS, PollWait: cfg.PollWaitMS,
		OrderTimeout: cfg.OrderTimeoutMS, DrainLimit: cfg.DrainLimitMS, EvacuationWait: cfg.EvacuationWaitMS,
	})
	k := &Keeper{
		id: id, machine: machine, loop: NewLoop(c, machine), runner: runner, notes: &notes{log: log, meter: m},
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.loop.gap = cfg.SilenceMS
	k.loop.every = cfg.TickMS.Duration()
	k.mesh = mesh.New(mesh.Config{ID: id, Role: proto.RoleAgent, Inbox: k.loop, Log: log})
	k.loop.perform = k.perform
	k.loop.faulted = k.faulted
	k.loop.take = k.mesh.Take
	k.loop.stale = func(ev event.Event) { k.loop.handle(k.loop.last, ev) }
	k.loop.resume = func() {
		log.Info("thawed")
		k.mesh.Reset(id)
	}
	return k
}

// Run accepts sessions and runs the keeper until the context ends, which begins a planned stop, and the stop is done.
func (k *Keeper) Run(ctx context.Context, sessionAddr string) (err error) {
	defer k.cancel()
	mux := http.NewServeMux()
	mux.Handle(mesh.Path, k.mesh)
	l, err := Listen(sessionAddr, mux)
	if err != nil {
		return errors.Wrap(err, "sessions")
	}
	go func() {
		<-ctx.Done()
		k.loop.Push(event.Stop{})
	}()
	k.loop.Run(k.ctx)
	k.mesh.Flush(flushLimit)
	k.mesh.Close()
	_ = l.Drain(0)
	return nil
}

// Announce handles a heartbeat of the backend server and returns once it is in force; it reports whether it is now the newest one.
func (k *Keeper) Announce(in runs.Instance) (taken bool) {
	k.loop.Do(func(now clock.Millis) {
		k.do(k.machine.Handle(now, runs.Announced{Instance: in}))
		taken = k.machine.Knows(in)
	})
	return taken
}

// SetEvacuated sets the evacuated availability zones as the store has them.
func (k *Keeper) SetEvacuated(s evac.State) {
	k.loop.Push(runs.Evacuated{State: s})
}

// Gone handles the planned end of the backend server.
func (k *Keeper) Gone(id string) {
	k.loop.Do(func(now clock.Millis) { k.do(k.machine.Handle(now, runs.InstanceLeft{ID: id})) })
}

// faulted closes the session of a message whose handling panicked; the runs of its dispatcher are then stopped.
func (k *Keeper) faulted(ev event.Event, fault string) {
	k.notes.log.Info("fault", "reason", fault)
	if r, ok := ev.(event.Received); ok {
		k.mesh.Drop(r.From)
	}
}

func (k *Keeper) do(actions []event.Action) {
	for _, a := range actions {
		k.perform(a)
	}
}

func (k *Keeper) perform(a event.Action) {
	switch a := a.(type) {
	case event.Send:
		k.mesh.Send(a.To, a.Message, a.Lazy)
	case runs.CloseSession:
		k.mesh.Drop(a.Peer)
	case runs.StartRun:
		go func() { k.loop.Push(k.runner.Start(k.ctx, a)) }()
	case runs.HaltRun:
		go func() { k.loop.Push(k.runner.Halt(k.ctx, a)) }()
	case runs.Poll:
		go func() { k.loop.Push(k.runner.Poll(k.ctx, a)) }()
	case runs.Wake:
		time.AfterFunc(a.After.Duration(), func() { k.loop.Push(event.Tick{}) })
	case event.Note:
		k.notes.take(a)
	case event.Exit:
		k.cancel()
	}
}
