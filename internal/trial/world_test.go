package trial

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/node"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/stand"
	"corianderspur.example/corianderspur/internal/table"
)

const (
	tick         = 50 * clock.Millis(1)
	tableTimeout = 2 * clock.Second
	tableName    = "table"
	agentSlots   = 4
)

var terms = shard.Terms{Lease: 3000, Margin: 500, Retention: 40_000}

type step struct {
	at  clock.Millis
	seq int
	f   func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || (s[i].at == s[j].at && s[i].seq < s[j].seq)
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// link is one session; each end sees it begin and end by itself.
type link struct {
	ends [2]*proc
	last [2]clock.Millis
	dead bool
}

type proc struct {
	w       *world
	name    string
	id      shard.ID
	role    proto.Role
	machine node.Machine
	alive   bool
	frozen  clock.Millis
	since   clock.Millis
	held    []event.Event
	links   map[shard.ID]*link
	wanted  []shard.Member
	exited  bool
}

type cut struct{ from, to string }

type copyOf struct {
	job      proto.Job
	at       clock.Millis
	deadline clock.Millis
	entry    *proc
	answer   *proto.Answer
	answered clock.Millis
}

// world holds the processes and fakes of one session.
type world struct {
	rng   *rand.Rand
	now   clock.Millis
	steps steps
	seq   int
	table *stand.Table
	down  clock.Millis
	lossy clock.Millis
	// loseMapWrite is how long replies are lost from the next write of the map on, in milliseconds.
	loseMapWrite clock.Millis
	procs        []*proc
	cuts         map[cut]clock.Millis
	log          strings.Builder
	logging      bool
	fixed        bool
	serial       int

	starts   map[string]int
	started  map[shard.Key]int
	lastRun  map[string]clock.Millis
	refs     map[uint64]*copyOf
	copies   []*copyOf
	checked  map[*proto.Answer]bool
	applied  []entry.Applied
	faults   []string
	refused  int
	behave   map[string]agent.Verdict
	attempts map[string]int
}

func newWorld(seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 9)), table: stand.NewTable(), cuts: map[cut]clock.Millis{}, starts: map[string]int{},
		started: map[shard.Key]int{}, lastRun: map[string]clock.Millis{}, refs: map[uint64]*copyOf{},
		checked: map[*proto.Answer]bool{}, behave: map[string]agent.Verdict{}, attempts: map[string]int{},
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d clock.Millis, f func()) {
	w.seq++
	heap.Push(&w.steps, step{at: w.now + max(0, d), seq: w.seq, f: f})
}

// run lets time pass.
func (w *world) run(d clock.Millis) {
	end := w.now + d
	for len(w.steps) > 0 && w.steps[0].at <= end {
		s := heap.Pop(&w.steps).(step)
		w.now = max(w.now, s.at)
		s.f()
	}
	w.now = end
}

func (w *world) delay() clock.Millis {
	if w.fixed {
		return 1
	}
	if w.rng.IntN(20) == 0 {
		return clock.Millis(w.rng.IntN(400))
	}
	return clock.Millis(1 + w.rng.IntN(3))
}

func (w *world) newProc(name string, role proto.Role) *proc {
	w.serial++
	p := &proc{w: w, name: name, role: role, alive: true, links: map[shard.ID]*link{}}
	p.id = shard.ID(fmt.Sprintf("%s/%d", name, w.serial))
	w.procs = append(w.procs, p)
	return p
}

func (w *world) addEntry(name string) *proc {
	p := w.newProc(name, proto.RoleEntry)
	p.machine = entry.New(entry.Config{
		ID: p.id, Addr: name, Zone: "a", Shards: 4, Terms: terms, BeatEvery: 500, SuspectAfter: 2000, PollEvery: 1000,
		ColdStartAfter: 10_000, StrikeAfter: 12_000, LostAfter: 4000, DrainLimit: 10_000, MaxQueued: 1000, UrgentReserve: 0.05, Seed: 1,
	}, w.now)
	p.scheduleTick()
	return p
}

func (w *world) addAgent(name string) {
	p := w.newProc(name, proto.RoleAgent)
	p.machine = agent.New(agent.Config{
		ID: p.id, Worker: name, Zone: "a", PingEvery: 1000, QueueLimit: 16, KeepBytes: 1 << 20,
		BackendTimeout: 1 << 40, EjectAfter: 2, EjectFor: 5000, EjectMax: 60_000, DrainLimit: 10_000,
	}, w.now)
	p.scheduleTick()
	p.handle(agent.BackendAnnounced{Slots: agentSlots})
}

func (p *proc) scheduleTick() {
	p.w.after(tick, func() {
		if !p.alive {
			return
		}
		if p.frozen <= p.w.now {
			p.dial()
			p.handle(event.Tick{})
		}
		p.scheduleTick()
	})
}

// handle gives an event to a process, or holds it while the process is frozen.
func (p *proc) handle(ev event.Event) {
	if !p.alive {
		return
	}
	if p.frozen > p.w.now {
		p.held = append(p.held, ev)
		return
	}
	for _, a := range p.machine.Handle(p.w.now, ev) {
		p.perform(a)
	}
}

// freeze stops a process for a while; what arrived meanwhile is treated as by the control loop of a real one.
func (p *proc) freeze(d clock.Millis) {
	if !p.alive || p.frozen > p.w.now {
		return
	}
	p.since = p.w.now
	p.frozen = p.w.now + d
	p.w.after(d, p.thaw)
}

func (p *proc) thaw() {
	held := p.held
	p.held = nil
	stale := p.w.now-p.since > node.StaleGap
	if stale {
		p.reset(p.id)
	}
	for _, ev := range held {
		switch e := ev.(type) {
		case event.Received:
			if stale {
				continue
			}
		case entry.Submit:
			if stale {
				p.w.respond(p, e.Ref, &proto.Answer{Key: e.Job.Key, Status: proto.StatusFailed, Run: proto.RanUnknown})
				continue
			}
		}
		p.handle(ev)
	}
}

func (w *world) isCut(a, b string) (clock.Millis, bool) {
	until := w.cuts[cut{a, b}]
	return until, until > w.now
}

// dial opens the sessions that a process wants and does not have.
func (p *proc) dial() {
	for _, m := range p.wanted {
		if m.ID == p.id || p.links[m.ID] != nil || (p.named() && p.id < m.ID) {
			continue
		}
		q := p.w.byID(m.ID)
		if q == nil || q.frozen > p.w.now {
			continue
		}
		_, there := p.w.isCut(p.name, q.name)
		_, back := p.w.isCut(q.name, p.name)
		if !there && !back {
			p.open(q)
		}
	}
}

func (p *proc) named() bool {
	for _, m := range p.wanted {
		if m.ID == p.id {
			return true
		}
	}
	return false
}

func (p *proc) open(q *proc) {
	l := &link{ends: [2]*proc{p, q}}
	for i, x := range l.ends {
		other := l.ends[1-i]
		if old := x.links[other.id]; old != nil {
			x.drop(old, other.id)
		}
		x.links[other.id] = l
		x.handle(event.SessionUp{Peer: other.id, Role: other.role})
	}
}

func (p *proc) drop(l *link, peer shard.ID) {
	if p.links[peer] == l {
		delete(p.links, peer)
		p.handle(event.SessionDown{Peer: peer})
	}
}

// breakLink ends a session; each side notices by itself, some time later.
func (w *world) breakLink(l *link, ids [2]shard.ID) {
	if l.dead {
		return
	}
	l.dead = true
	for i, x := range l.ends {
		w.after(w.delay()*10, func() { x.drop(l, ids[1-i]) })
	}
}

func (p *proc) reset(id shard.ID) {
	for _, peer := range p.peers() {
		l := p.links[peer]
		p.w.breakLink(l, [2]shard.ID{l.ends[0].id, l.ends[1].id})
		delete(p.links, peer)
		p.handle(event.SessionDown{Peer: peer})
	}
	p.id = id
}

func (p *proc) peers() []shard.ID {
	var ids []shard.ID
	for _, q := range p.w.procs {
		if p.links[q.id] != nil {
			ids = append(ids, q.id)
		}
	}
	return ids
}

func (w *world) byID(id shard.ID) *proc {
	for _, p := range w.procs {
		if p.id == id && p.alive {
			return p
		}
	}
	return nil
}

func (p *proc) kill() {
	for _, peer := range p.peers() {
		l := p.links[peer]
		p.w.breakLink(l, [2]shard.ID{l.ends[0].id, l.ends[1].id})
	}
	p.alive = false
}

func (p *proc) perform(a event.Action) {
	switch a := a.(type) {
	case event.Send:
		p.send(a)
	case event.Connect:
		p.wanted = a.Members
	case event.TableCall:
		p.callTable(a)
	case event.Reset:
		p.reset(a.ID)
	case event.Exit:
		p.exited = true
		p.w.after(5, p.kill)
	case event.Note:
		if a.Name == "start_refused" {
			p.w.refused++
		}
		p.w.write("%s notes %s %s%s\n", p.name, a.Name, a.Job, a.Reason)
	case agent.Run:
		p.runTask(a)
	case entry.Respond:
		p.w.checkNotRun(a.Answer)
		p.w.respond(p, a.Ref, a.Answer)
	case entry.Applied:
		p.w.applied = append(p.w.applied, a)
		p.w.write("%s applies %d %v\n", p.name, a.Version, a.Err)
	}
}

func (p *proc) send(a event.Send) {
	l := p.links[a.To]
	if a.Message.Answer != nil {
		p.w.checkNotRun(a.Message.Answer)
	}
	if l == nil {
		return
	}
	i := 0
	if l.ends[1] == p {
		i = 1
	}
	from, to := p.id, l.ends[1-i]
	l.last[i] = max(l.last[i], p.w.now+p.w.delay())
	p.w.after(l.last[i]-p.w.now, func() { p.w.deliver(l, i, from, to, a.Message) })
}

func (w *world) deliver(l *link, i int, from shard.ID, to *proc, msg proto.Message) {
	if until, ok := w.isCut(l.ends[i].name, to.name); ok && !l.dead {
		l.last[i] = max(l.last[i], until)
		w.after(until-w.now, func() { w.deliver(l, i, from, to, msg) })
		return
	}
	if l.dead || to.links[from] != l {
		return
	}
	w.trace(l.ends[i].name, to.name, &msg)
	copied := recode(msg)
	if copied.Answer != nil {
		w.checked[copied.Answer] = true
	}
	to.handle(event.Received{From: from, Message: copied})
}

// recode passes a message through its encoding, so that no two processes share memory.
func recode(msg proto.Message) proto.Message {
	frame, err := proto.Encode([]proto.Message{msg})
	if err != nil {
		panic(err)
	}
	messages, err := proto.Decode(frame)
	if err != nil {
		panic(err)
	}
	return messages[0]
}

func (p *proc) callTable(a event.TableCall) {
	w := p.w
	done := false
	finish := func(r table.Reply, err error) {
		if !done {
			done = true
			p.handle(event.TableDone{Call: a.Call, Reply: r, Err: err})
		}
	}
	w.after(tableTimeout, func() { finish(table.Reply{}, stand.ErrDown) })
	if w.loseMapWrite > 0 && len(a.Txn.Writes) > 0 && a.Txn.Writes[0].Key == agent.MapKey {
		w.lossy = w.now + w.loseMapWrite
		w.loseMapWrite = 0
	}
	arrive := w.delay()
	if until, ok := w.isCut(p.name, tableName); ok {
		arrive += until - w.now
	}
	w.after(arrive, func() {
		if w.down > w.now {
			return
		}
		reply, err := w.table.Transact(context.Background(), a.Txn)
		if _, back := w.isCut(tableName, p.name); back || w.lossy > w.now {
			return
		}
		w.after(w.delay(), func() { finish(reply, err) })
	})
}

func (p *proc) runTask(a agent.Run) {
	w := p.w
	task := fmt.Sprintf("%s/%d", a.Job, a.Index)
	w.starts[task]++
	w.started[a.Key]++
	w.lastRun[p.name] = w.now
	w.write("%s runs %s attempt %d\n", p.name, task, a.Attempt)
	var work stand.Work
	if err := json.Unmarshal(a.Payload, &work); err != nil {
		panic(err)
	}
	verdict := agent.VerdictDone
	if v, ok := w.behave[p.name]; ok {
		verdict = v
	}
	if work.Fail {
		verdict = agent.VerdictTaskFailed
	}
	w.after(clock.Millis(work.MS), func() {
		p.handle(agent.RunDone{Key: a.Key, Index: a.Index, Attempt: a.Attempt, Verdict: verdict, Output: []byte(task)})
	})
}

// submit sends a copy of a job to an entry, as a caller would.
func (w *world) submit(p *proc, job proto.Job) *copyOf {
	c := &copyOf{job: job, at: w.now, deadline: w.now + job.Budget, entry: p}
	w.copies = append(w.copies, c)
	ref := uint64(len(w.copies))
	w.refs[ref] = c
	w.write("caller submits %s to %s\n", job.ID, p.name)
	p.handle(entry.Submit{Ref: ref, Job: job})
	return c
}

func (w *world) respond(p *proc, ref uint64, a *proto.Answer) {
	c := w.refs[ref]
	if c.answer != nil {
		w.fault("%s answered twice at %s", c.job.ID, p.name)
	}
	c.answer = a
	c.answered = w.now
	w.write("%s answers %s %s %s %s\n", p.name, c.job.ID, a.Status, a.Run, a.Reason)
	if a.Status != proto.StatusComplete {
		if len(a.Results) > 0 {
			w.fault("%s: %s answer holds results", c.job.ID, a.Status)
		}
		return
	}
	if len(a.Results) != len(c.job.Tasks) {
		w.fault("%s: %d results for %d tasks", c.job.ID, len(a.Results), len(c.job.Tasks))
	}
	for i, r := range a.Results {
		if want := fmt.Sprintf("%s/%d", c.job.ID, i); string(r) != want {
			w.fault("%s: result %d is %q", c.job.ID, i, r)
		}
	}
}

// checkNotRun checks an answer that says that nothing ran against the backend servers, when its owner gives it;
// entries that only pass it on are not asked to know better.
func (w *world) checkNotRun(a *proto.Answer) {
	if w.checked[a] {
		return
	}
	w.checked[a] = true
	if a.Run == proto.RanNo && w.started[a.Key] > 0 {
		w.fault("job %s is said not to have run, but did", a.Key)
	}
}

func (w *world) write(format string, args ...any) {
	if w.logging {
		fmt.Fprintf(&w.log, "%6d "+format, append([]any{w.now}, args...)...)
	}
}

// trace writes a message between processes, except for heartbeats.
func (w *world) trace(from, to string, msg *proto.Message) {
	if !w.logging || msg.Ping != nil || msg.Pong != nil || msg.Beat != nil {
		return
	}
	w.write("%s -> %s %s%s\n", from, to, msg.Name(), describe(msg))
}

func describe(msg *proto.Message) string {
	switch {
	case msg.Start != nil:
		return fmt.Sprintf(" %s epoch %d%s", msg.Start.Job, msg.Start.Epoch, items(msg.Start.Items))
	case msg.Result != nil:
		text := ""
		for _, o := range msg.Result.Outcomes {
			text += fmt.Sprintf(" %d:%s%s", o.Index, stateName[o.State], o.Refusal)
		}
		return text
	case msg.Answer != nil:
		return fmt.Sprintf(" %s %s %s", msg.Answer.Status, msg.Answer.Run, msg.Answer.Reason)
	case msg.Forward != nil:
		return " " + msg.Forward.Job.ID
	case msg.Fenced != nil:
		return fmt.Sprintf(" shard %d epoch %d records %d", msg.Fenced.Shard, msg.Fenced.Epoch, len(msg.Fenced.Records))
	case msg.Handover != nil:
		return fmt.Sprintf(" shard %d complete %t jobs %d", msg.Handover.Shard, msg.Handover.Complete, len(msg.Handover.Jobs))
	}
	return ""
}

var stateName = map[proto.State]string{
	proto.StateQueued: "queued", proto.StateRunning: "running", proto.StateDone: "done", proto.StateFailed: "failed",
	proto.StateRefused: "refused_",
}

func items(list []proto.Item) string {
	text := ""
	for _, item := range list {
		text += fmt.Sprintf(" %d.%d", item.Index, item.Attempt)
	}
	return text
}
