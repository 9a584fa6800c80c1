package trial

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/stand"
)

const (
	tick         = 50 * clock.Millis(1)
	tableTimeout = 2 * clock.Second
	tableName    = "table"
	agentSlots   = 4
)

var terms = shard.Terms{Lease: 3000, Margin: 500, Retention: 40_000}

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
	rng    *rand.Rand
	now    clock.Millis
	agenda clock.Agenda
	table  *stand.Table
	down   clock.Millis
	lossy  clock.Millis
	// loseMapWrite is how long replies are lost from the next write of the map on, in milliseconds.
	loseMapWrite clock.Millis
	procs        []*proc
	cuts         map[cut]clock.Millis
	log          strings.Builder
	logging      bool
	fixed        bool
	serial       int

	starts  map[string]int
	started map[shard.Key]int
	lastRun map[string]clock.Millis
	refs    map[uint64]*copyOf
	copies  []*copyOf
	checked map[*proto.Answer]bool
	// notRun holds the jobs of which every copy was answered that nothing ran.
	notRun   map[shard.Key]bool
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
		checked: map[*proto.Answer]bool{}, notRun: map[shard.Key]bool{}, behave: map[string]agent.Verdict{}, attempts: map[string]int{},
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d clock.Millis, f func()) {
	w.agenda.Add(w.now+max(0, d), f)
}

// run lets time pass.
func (w *world) run(d clock.Millis) {
	end := w.now + d
	for at, f, ok := w.agenda.Next(end); ok; at, f, ok = w.agenda.Next(end) {
		w.now = max(w.now, at)
		f()
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

func (w *world) isCut(a, b string) (clock.Millis, bool) {
	until := w.cuts[cut{a, b}]
	return until, until > w.now
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

func (w *world) byID(id shard.ID) *proc {
	for _, p := range w.procs {
		if p.id == id && p.alive {
			return p
		}
	}
	return nil
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

// submit sends a copy of a job to an entry, as a caller would.
func (w *world) submit(p *proc, job proto.Job) *copyOf {
	c := &copyOf{job: job, at: w.now, deadline: w.now + job.Budget, entry: p}
	w.copies = append(w.copies, c)
	ref := uint64(len(w.copies))
	w.refs[ref] = c
	delete(w.notRun, job.Key)
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
	w.checkTold(c)
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

// checkTold checks what a caller is told once every copy of its job has been answered that nothing ran: nothing has run
// then, nor does any task start before the job is submitted again.
func (w *world) checkTold(told *copyOf) {
	for _, c := range w.copies {
		if c.job.Key == told.job.Key && (c.answer == nil || c.answer.Run != proto.RanNo) {
			return
		}
	}
	if w.started[told.job.Key] > 0 {
		w.fault("the callers of %s are told that nothing ran, but something did", told.job.ID)
	}
	w.notRun[told.job.Key] = true
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
