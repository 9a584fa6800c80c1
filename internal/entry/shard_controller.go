package entry

import (
	"context"
	"strings"

	"github.com/looplab/fsm"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

// The states of a shard at one entry and the events that change them.
const (
	shardForeign = "foreign"
	shardTaking  = "taking"
	shardOwned   = "owned"
	shardGiven   = "given"

	eventAssign  = "assign"
	eventConfirm = "confirm"
	eventGive    = "give"
	eventLose    = "lose"
)

// fenceEvery is the time between repeated fences and requests for memory, in milliseconds.
const fenceEvery = 500 * clock.Millis(1)

type shardState struct {
	number  int
	fsm     *fsm.FSM
	epoch   uint64
	learned clock.Millis
	// need lists the agents that have not confirmed the fence; nil until the directory was read.
	need map[shard.ID]bool
	// previous is the entry that still has to hand over its memory.
	previous shard.ID
	// clean says that every start within the retention time is known.
	clean bool
	// inherited says that the memory of the former owner was received and complete.
	inherited bool
	// moves is how often starts may have become unknown to the owners since they were all known.
	moves   int
	cleanAt clock.Millis
}

func newShardState(number int) *shardState {
	return &shardState{number: number, fsm: fsm.NewFSM(shardForeign, fsm.Events{
		{Name: eventAssign, Src: []string{shardForeign, shardTaking, shardOwned, shardGiven}, Dst: shardTaking},
		{Name: eventConfirm, Src: []string{shardTaking}, Dst: shardOwned},
		{Name: eventGive, Src: []string{shardOwned}, Dst: shardGiven},
		{Name: eventLose, Src: []string{shardTaking, shardOwned, shardGiven}, Dst: shardForeign},
	}, fsm.Callbacks{})}
}

func (s *shardState) is(state string) bool {
	return s.fsm.Is(state)
}

// to applies an event; one that changes nothing is no fault.
func (s *shardState) to(name string) {
	if s.fsm.Can(name) {
		_ = s.fsm.Event(context.Background(), name)
	}
}

// ShardController takes shards over, fences the agents for them, and hands them on.
type ShardController struct {
	*common
	maps    *MapController
	agents  *AgentController
	jobs    *JobController
	shards  []*shardState
	dirCall uint64
	fenceAt clock.Millis
	// onChange is called after shards changed hands.
	onChange func()
}

// NewShardController creates a controller that owns nothing.
func NewShardController(c *common, maps *MapController, agents *AgentController) *ShardController {
	return &ShardController{common: c, maps: maps, agents: agents, fenceAt: never}
}

// Owned returns the state of a shard if this entry may start tasks of it, else nil.
func (c *ShardController) Owned(n int) *shardState {
	if n < len(c.shards) && c.shards[n].is(shardOwned) {
		return c.shards[n]
	}
	return nil
}

// Held returns the state of a shard that this entry owns or is taking over, else nil.
func (c *ShardController) Held(n int) *shardState {
	if n < len(c.shards) && (c.shards[n].is(shardOwned) || c.shards[n].is(shardTaking)) {
		return c.shards[n]
	}
	return nil
}

// Count returns the number of shards in a state.
func (c *ShardController) Count(state string) int {
	n := 0
	for _, s := range c.shards {
		if s.is(state) {
			n++
		}
	}
	return n
}

// Settled returns the shards that this entry has owned for so long that no start by a former owner matters any more.
func (c *ShardController) Settled() []int {
	var settled []int
	for i, o := range c.maps.m.Shards {
		if s := c.Owned(i); s != nil && o.ID == c.cfg.ID && o.Moves > 0 && c.now > s.cleanAt {
			settled = append(settled, i)
		}
	}
	return settled
}

// MapChanged takes over and gives up shards by the map just adopted.
func (c *ShardController) MapChanged(before *shard.Map) {
	m := c.maps.m
	for len(c.shards) < len(m.Shards) {
		c.shards = append(c.shards, newShardState(len(c.shards)))
	}
	for i, o := range m.Shards {
		s := c.shards[i]
		if o.ID == c.cfg.ID {
			c.assign(s, o, before)
		} else {
			c.release(s, o)
		}
	}
	c.fenceAt = never
	c.work()
	c.onChange()
}

func (c *ShardController) assign(s *shardState, o shard.Owner, before *shard.Map) {
	if s.epoch == o.Epoch && c.Held(s.number) != nil {
		s.moves = min(s.moves, o.Moves)
		if c.maps.m.Member(s.previous) == nil {
			s.previous = ""
		}
		return
	}
	c.jobs.Forget(s.number)
	s.to(eventAssign)
	s.epoch = o.Epoch
	s.learned = c.now
	s.need = nil
	s.previous = o.Previous
	s.inherited = false
	s.moves = o.Moves
	s.clean = false
	s.cleanAt = never
	if o.Epoch == 1 && before == nil && c.maps.m.Version == 1 && c.maps.m.Writer == c.cfg.ID {
		s.need = map[shard.ID]bool{}
		s.inherited = true
	}
}

func (c *ShardController) release(s *shardState, o shard.Owner) {
	switch {
	case s.is(shardOwned) && o.Previous == c.cfg.ID:
		s.to(eventGive)
		c.jobs.Freeze(s.number)
		c.handOver(s, o.ID, o.Epoch)
	case s.is(shardOwned), s.is(shardTaking):
		s.to(eventLose)
		c.jobs.Freeze(s.number)
	}
}

func (c *ShardController) handOver(s *shardState, to shard.ID, epoch uint64) {
	c.send(to, proto.Message{Handover: &proto.Handover{
		Shard: s.number, Epoch: epoch, Complete: s.clean, Moves: s.moves, Jobs: c.jobs.Export(s.number),
	}})
}

// HandoversWanted answers a new owner that asks for the memory of shards.
func (c *ShardController) HandoversWanted(from shard.ID, h *proto.Handovers) {
	if h.Map != nil {
		c.maps.adopt(h.Map)
	}
	for _, want := range h.Shards {
		if want.Shard >= len(c.shards) {
			continue
		}
		s := c.shards[want.Shard]
		if s.is(shardGiven) && s.epoch+1 == want.Epoch {
			c.handOver(s, from, want.Epoch)
			continue
		}
		c.send(from, proto.Message{Handover: &proto.Handover{Shard: want.Shard, Epoch: want.Epoch}})
	}
}

// Handover takes the memory of a shard from its former owner.
func (c *ShardController) Handover(from shard.ID, h *proto.Handover) {
	s := c.Held(h.Shard)
	if s == nil || s.epoch != h.Epoch || s.previous != from || !s.is(shardTaking) {
		return
	}
	s.previous = ""
	s.inherited = h.Complete
	s.moves = min(s.moves, h.Moves)
	c.jobs.Import(h.Jobs)
	c.work()
}

// Fenced takes an agent's confirmation and its records of a shard.
func (c *ShardController) Fenced(from shard.ID, f *proto.Fenced) {
	s := c.Held(f.Shard)
	if s == nil || s.epoch != f.Epoch {
		return
	}
	c.jobs.Records(s, from, f.Records)
	delete(s.need, from)
	c.work()
}

// Tick repeats fences and requests that were not answered and lets time-bound takeovers end.
func (c *ShardController) Tick() {
	c.work()
}

// AgentUp fences an agent that has just connected.
func (c *ShardController) AgentUp() {
	c.fenceAt = never
	c.work()
}

// work does what the shards being taken over still need.
func (c *ShardController) work() {
	if c.maps.m == nil {
		return
	}
	changed := false
	unfinished := false
	for _, s := range c.shards {
		if c.Held(s.number) == nil {
			continue
		}
		changed = c.confirm(s) || changed
		unfinished = unfinished || !s.clean || s.need == nil || len(s.need) > 0
	}
	if unfinished && c.now-c.fenceAt >= fenceEvery {
		c.fenceAt = c.now
		c.readDirectory()
		c.fence()
		c.askMemory()
	}
	c.clearCold()
	if changed {
		c.onChange()
	}
}

// confirm moves a shard on as far as what is known of former owners allows, and reports a change of owner.
func (c *ShardController) confirm(s *shardState) bool {
	terms := c.maps.m.Terms
	fenced := s.need != nil && len(s.need) == 0 && !c.maps.FreshLoss()
	lapsed := !c.maps.m.Cold && c.now > s.learned+terms.Lease+terms.Margin
	if s.is(shardOwned) {
		c.cleanse(s, fenced)
		return false
	}
	waiting := s.previous != "" && c.now < s.learned+terms.Lease+terms.Margin
	if waiting || (!s.inherited && !fenced && !lapsed) {
		return false
	}
	s.to(eventConfirm)
	s.cleanAt = s.learned + terms.Lease + terms.Margin + terms.Retention
	s.clean = s.inherited
	c.cleanse(s, fenced)
	c.emit(event.Note{Name: "shard_owned", Shard: s.number, Version: s.epoch, Took: c.now - s.learned, Reason: certainty(s.clean)})
	return true
}

func certainty(clean bool) string {
	if clean {
		return "all_starts_known"
	}
	return "starts_may_be_unknown"
}

// cleanse marks a shard as clean once no start can be missing from its memory.
func (c *ShardController) cleanse(s *shardState, fenced bool) {
	if s.clean {
		return
	}
	s.clean = (fenced && len(c.maps.m.Lost) == 0) || c.now > s.cleanAt
}

func (c *ShardController) readDirectory() {
	missing := false
	for _, s := range c.shards {
		missing = missing || (c.Held(s.number) != nil && s.need == nil)
	}
	if !missing || c.dirCall != 0 {
		return
	}
	c.dirCall = c.nextCall()
	c.emit(event.TableCall{Call: c.dirCall, Txn: table.Txn{Keys: []string{agent.MapKey}, Prefixes: []string{agent.DirPrefix}}})
}

// TableDone takes the agents' directory, which counts only if it was read with the map that this entry holds.
func (c *ShardController) TableDone(e event.TableDone) bool {
	if e.Call != c.dirCall {
		return false
	}
	c.dirCall = 0
	if e.Err != nil || e.Reply.Row(agent.MapKey).Version < c.maps.m.Version {
		return true
	}
	for _, s := range c.shards {
		if c.Held(s.number) == nil || s.need != nil {
			continue
		}
		s.need = map[shard.ID]bool{}
		for _, row := range e.Reply.Rows {
			if id, ok := strings.CutPrefix(row.Key, agent.DirPrefix); ok {
				s.need[shard.ID(id)] = true
			}
		}
	}
	c.fence()
	c.work()
	return true
}

// fence asks every connected agent that has not confirmed yet.
func (c *ShardController) fence() {
	for _, v := range c.agents.views {
		if !v.connected {
			continue
		}
		f := &proto.Fence{Map: c.maps.m}
		for _, s := range c.shards {
			if c.Held(s.number) != nil && s.need[v.id] {
				f.Shards = append(f.Shards, proto.ShardEpoch{Shard: s.number, Epoch: s.epoch})
			}
		}
		if len(f.Shards) > 0 {
			c.send(v.id, proto.Message{Fence: f})
		}
	}
}

// askMemory asks former owners that are still in the map for their memory.
func (c *ShardController) askMemory() {
	wanted := map[shard.ID]*proto.Handovers{}
	for _, s := range c.shards {
		if !s.is(shardTaking) || s.previous == "" {
			continue
		}
		if wanted[s.previous] == nil {
			wanted[s.previous] = &proto.Handovers{Map: c.maps.m}
		}
		h := wanted[s.previous]
		h.Shards = append(h.Shards, proto.ShardEpoch{Shard: s.number, Epoch: s.epoch})
	}
	for _, member := range c.maps.m.Members {
		if h := wanted[member.ID]; h != nil {
			c.send(member.ID, proto.Message{Handovers: h})
		}
	}
}

// clearCold ends a cold start once every agent of the directory has confirmed.
func (c *ShardController) clearCold() {
	if !c.maps.m.Cold || c.maps.m.Writer != c.cfg.ID {
		return
	}
	for _, s := range c.shards {
		if s.is(shardTaking) {
			return
		}
	}
	c.maps.ClearCold()
}

// StruckAgents drops agents that the map marks as lost from what still has to confirm.
func (c *ShardController) StruckAgents() {
	for _, s := range c.shards {
		for _, l := range c.maps.m.Lost {
			delete(s.need, l.Agent)
		}
	}
}
