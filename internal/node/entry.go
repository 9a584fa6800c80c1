package node

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/mesh"
	"corianderspur.example/corianderspur/internal/meter"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/rest"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

const flushLimit = 2 * time.Second

// Entry runs an entry as a process.
type Entry struct {
	cfg     conf.Entry
	id      shard.ID
	machine *entry.Machine
	loop    *Loop
	mesh    *mesh.Mesh
	store   table.Store
	notes   *notes
	cancel  context.CancelFunc
	tables  *tableCaller

	mu      sync.Mutex
	nextRef uint64
	waiting map[uint64]chan *proto.Answer
	applies map[uint64]chan entry.Applied
}

var (
	_ rest.Dispatcher    = (*Entry)(nil)
	_ rest.Administrator = (*Entry)(nil)
)

// RunEntry runs an entry until its context ends, which begins a planned stop, and the stop is done.
func RunEntry(ctx context.Context, cfg conf.Entry, incarnation string, seed uint64, log logr.Logger) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "entry %s", cfg.Name)
		}
	}()
	m, err := meter.New(cfg.Name)
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newEntry(cfg, incarnation, seed, running, cancel, &notes{log: log, meter: m})
	listeners, err := n.listen(m)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		n.loop.Push(event.Stop{})
	}()
	log.Info("started", "id", string(n.id), "callers", cfg.CallerAddr, "sessions", cfg.SessionAddr, "admin", cfg.AdminAddr)
	n.loop.Run(running)
	for _, l := range listeners {
		_ = l.Drain(flushLimit)
	}
	n.mesh.Flush(flushLimit)
	n.mesh.Close()
	log.Info("stopped")
	return nil
}

func newEntry(
	cfg conf.Entry, incarnation string, seed uint64, running context.Context, cancel context.CancelFunc, out *notes,
) *Entry {
	id := shard.ID(cfg.Name + "/" + incarnation)
	c := clock.NewSystem()
	machine := entry.New(entry.Config{
		ID: id, Addr: cfg.SessionAddr, Zone: cfg.AvailabilityZone, Shards: cfg.Shards,
		Terms:     shard.Terms{Lease: cfg.LeaseMS, Margin: cfg.MarginMS, Retention: cfg.RetentionMS},
		BeatEvery: min(500, cfg.SuspectAfterMS/4), SuspectAfter: cfg.SuspectAfterMS, PollEvery: clock.Second,
		ColdStartAfter: 10 * clock.Second, StrikeAfter: 30 * clock.Second, LostAfter: 10 * clock.Second,
		DrainLimit: cfg.DrainLimitMS, MaxQueued: cfg.MaxQueued, UrgentReserve: cfg.UrgentReserve, PackJobs: cfg.PackJobs, SendAhead: cfg.SendAhead, Baseline: cfg.Baseline, Seed: seed,
	}, c.Now())
	n := &Entry{
		cfg: cfg, id: id, machine: machine, loop: NewLoop(c, machine), notes: out, cancel: cancel,
		store:   table.NewHTTPStore(cfg.TableAddr, newTableClient()),
		waiting: map[uint64]chan *proto.Answer{}, applies: map[uint64]chan entry.Applied{},
	}
	n.tables = &tableCaller{ctx: running, store: n.store, loop: n.loop}
	n.mesh = mesh.New(mesh.Config{ID: id, Role: proto.RoleEntry, Inbox: n.loop, Counter: out.meter, BatchDelay: cfg.BatchMS})
	n.loop.perform = n.perform
	n.loop.take = n.mesh.Take
	n.loop.stale = n.stale
	n.loop.resume = func() {
		out.log.Info("thawed")
		n.mesh.Reset(id)
	}
	return n
}

func (n *Entry) listen(m *meter.Meter) (all []*Listener, err error) {
	sessions := http.NewServeMux()
	sessions.Handle(mesh.Path, n.mesh)
	for _, x := range []struct {
		addr    string
		handler http.Handler
	}{
		{n.cfg.CallerAddr, rest.NewCallerHandler(n)},
		{n.cfg.SessionAddr, sessions},
		{n.cfg.AdminAddr, rest.NewAdminHandler(n, n.cfg.Tokens, m.Handler())},
	} {
		l, err := Listen(x.addr, x.handler)
		if err != nil {
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}

func (n *Entry) perform(a event.Action) {
	switch a := a.(type) {
	case event.Send:
		n.mesh.Send(a.To, a.Message, a.Lazy)
	case event.Connect:
		n.mesh.Connect(a.Members)
	case event.TableCall:
		n.tables.call(a)
	case event.Note:
		n.notes.take(a)
	case event.Exit:
		n.cancel()
	case entry.Respond:
		n.respond(a.Ref, a.Answer)
	case entry.Applied:
		n.applied(a)
	}
}

// stale answers a request that may have waited while the process was suspended.
func (n *Entry) stale(ev event.Event) {
	if s, ok := ev.(entry.Submit); ok {
		n.respond(s.Ref, &proto.Answer{
			Key: s.Job.Key, Digest: s.Job.Digest, Status: proto.StatusFailed, Run: proto.RanUnknown, Reason: proto.ReasonStale,
		})
	}
	if a, ok := ev.(entry.Apply); ok {
		n.applied(entry.Applied{Ref: a.Ref, Err: entry.ErrTableDown})
	}
}

func (n *Entry) respond(ref uint64, a *proto.Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.waiting[ref]; ch != nil {
		ch <- a
		delete(n.waiting, ref)
	}
}

func (n *Entry) applied(a entry.Applied) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.applies[a.Ref]; ch != nil {
		ch <- a
		delete(n.applies, a.Ref)
	}
}

// Submit passes a job to the control thread and waits for its answer.
func (n *Entry) Submit(ctx context.Context, job proto.Job, lookup bool) (*proto.Answer, error) {
	ch := make(chan *proto.Answer, 1)
	n.mu.Lock()
	n.nextRef++
	ref := n.nextRef
	n.waiting[ref] = ch
	n.mu.Unlock()
	n.loop.Ready()
	n.loop.Push(entry.Submit{Ref: ref, Job: job, Lookup: lookup})
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		n.mu.Lock()
		delete(n.waiting, ref)
		n.mu.Unlock()
		n.loop.Push(entry.Abandon{Ref: ref})
		return nil, ctx.Err()
	}
}

// Cancel requests the end of a job.
func (n *Entry) Cancel(key shard.Key) {
	n.loop.Push(entry.CancelJob{Key: key})
}

// Resuming reports whether the process was suspended until a moment ago.
func (n *Entry) Resuming() bool {
	return n.loop.Resuming()
}

// Apply replaces the configuration of version base; a *rest.ConflictError means that another version has replaced it already.
func (n *Entry) Apply(ctx context.Context, base uint64, d *policy.Document) (version uint64, err error) {
	ch := make(chan entry.Applied, 1)
	n.mu.Lock()
	n.nextRef++
	ref := n.nextRef
	n.applies[ref] = ch
	n.mu.Unlock()
	n.loop.Push(entry.Apply{Ref: ref, Base: base, Document: d})
	select {
	case a := <-ch:
		if a.Conflict != nil {
			return a.Version, &rest.ConflictError{Current: a.Conflict}
		}
		return a.Version, a.Err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Config returns the configuration in force.
func (n *Entry) Config() *policy.Document {
	var d *policy.Document
	n.loop.Do(func(clock.Millis) { d = n.machine.Config() })
	return d
}

// Status returns the entry's view of the deployment.
func (n *Entry) Status() entry.Status {
	var s entry.Status
	n.loop.Do(func(now clock.Millis) { s = n.machine.Status(now) })
	return s
}

// Strike declares that an incarnation of an agent is gone for good.
func (n *Entry) Strike(agent shard.ID) {
	n.loop.Push(entry.Strike{Agent: agent})
}

// History returns all changes of the configuration in ascending order of their versions.
func (n *Entry) History(ctx context.Context) (changes []policy.Document, err error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	reply, err := n.store.Transact(ctx, table.Txn{Prefixes: []string{entry.ChangePrefix}})
	if err != nil {
		return nil, err
	}
	for _, row := range reply.Rows {
		var d policy.Document
		if err := json.Unmarshal(row.Value, &d); err != nil {
			return nil, errors.Wrapf(err, "row %s", row.Key)
		}
		changes = append(changes, d)
	}
	slices.SortFunc(changes, func(a, b policy.Document) int { return int(int64(a.Version) - int64(b.Version)) })
	return changes, nil
}
