package entry

import (
	"context"

	"github.com/looplab/fsm"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
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

// fenceInterval is the time between repeated fences and handover requests, in milliseconds.
const fenceInterval = 500 * clock.Millis(1)

type shardState struct {
	number     int
	fsm        *fsm.FSM
	epoch      uint64
	assignedAt clock.Millis
	// unfenced holds the agents that have not confirmed the fence; it is nil until the directory has been read.
	unfenced map[shard.ID]bool
	// previous is the former owner that still has to hand over its job state.
	previous shard.ID
	// startsKnown is set when every start within the retention time is known.
	startsKnown bool
	// handoverComplete is set when the former owner handed over its job state and knew all starts, or there was none.
	handoverComplete bool
	// moves is the number of times that starts may have become unknown since all of them were known.
	moves         int
	startsKnownAt clock.Millis
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

// transition applies an event; an event that the current state does not allow is ignored.
func (s *shardState) transition(name string) {
	if s.fsm.Can(name) {
		_ = s.fsm.Event(context.Background(), name)
	}
}

// ShardController takes over shards, fences the agents for them, and hands shards over to new owners.
type ShardController struct {
	*common
	maps          *MapController
	agents        *AgentController
	jobs          *JobController
	shards        []*shardState
	directoryCall uint64
	fenceSentAt   clock.Millis
	// onChange is called after the ownership of shards may have changed.
	onChange func()
}

// NewShardController creates a controller that owns nothing.
func NewShardController(c *common, maps *MapController, agents *AgentController) *ShardController {
	return &ShardController{common: c, maps: maps, agents: agents, fenceSentAt: never}
}

// Owned returns the state of a shard if this entry owns it and may start its tasks, else nil.
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

// SettledShards returns the shards with recorded moves that this entry has owned so long that any start by a former owner
// is past its retention time.
func (c *ShardController) SettledShards() []int {
	var settled []int
	for i, o := range c.maps.current.Shards {
		if s := c.Owned(i); s != nil && o.ID == c.cfg.ID && o.Moves > 0 && c.now > s.startsKnownAt {
			settled = append(settled, i)
		}
	}
	return settled
}

// MapChanged takes over and gives up shards according to the newly adopted map.
func (c *ShardController) MapChanged(before *shard.Map) {
	m := c.maps.current
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
	c.fenceSentAt = never
	c.advance()
	c.onChange()
}

func (c *ShardController) assign(s *shardState, o shard.Owner, before *shard.Map) {
	if s.epoch == o.Epoch && c.Held(s.number) != nil {
		s.moves = min(s.moves, o.Moves)
		if c.maps.current.Member(s.previous) == nil {
			s.previous = ""
		}
		return
	}
	c.jobs.Forget(s.number)
	s.transition(eventAssign)
	s.epoch = o.Epoch
	s.assignedAt = c.now
	s.unfenced = nil
	s.previous = o.Previous
	s.handoverComplete = false
	s.moves = o.Moves
	s.startsKnown = false
	s.startsKnownAt = never
	if o.Epoch == 1 && before == nil && c.maps.current.Version == 1 && c.maps.current.Writer == c.cfg.ID {
		s.unfenced = map[shard.ID]bool{}
		s.handoverComplete = true
	}
}

func (c *ShardController) release(s *shardState, o shard.Owner) {
	switch {
	case s.is(shardOwned) && o.Previous == c.cfg.ID:
		s.transition(eventGive)
		c.jobs.Freeze(s.number)
		c.handOver(s, o.ID, o.Epoch)
	case s.is(shardOwned), s.is(shardTaking):
		s.transition(eventLose)
		c.jobs.Freeze(s.number)
	}
}

func (c *ShardController) handOver(s *shardState, to shard.ID, epoch uint64) {
	c.send(to, proto.Message{Handover: &proto.Handover{
		Shard: s.number, Epoch: epoch, Complete: s.startsKnown, Moves: s.moves, Jobs: c.jobs.Export(s.number),
	}})
}

// HandoversWanted answers a new owner that requests the job state of shards.
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

// Handover imports the job state of a shard from its former owner.
func (c *ShardController) Handover(from shard.ID, h *proto.Handover) {
	s := c.Held(h.Shard)
	if s == nil || s.epoch != h.Epoch || s.previous != from || !s.is(shardTaking) {
		return
	}
	s.previous = ""
	s.handoverComplete = h.Complete
	s.moves = min(s.moves, h.Moves)
	c.jobs.Import(h.Jobs)
	c.advance()
}

// Fenced handles an agent's confirmation of a fence and its records of a shard.
func (c *ShardController) Fenced(from shard.ID, f *proto.Fenced) {
	s := c.Held(f.Shard)
	if s == nil || s.epoch != f.Epoch {
		return
	}
	c.jobs.Records(s, from, f.Records)
	delete(s.unfenced, from)
	c.advance()
}

// Tick repeats unanswered fences and handover requests and finishes takeovers whose wait is over.
func (c *ShardController) Tick() {
	c.advance()
}

// AgentUp fences an agent that has just connected.
func (c *ShardController) AgentUp() {
	c.fenceSentAt = never
	c.advance()
}

// advance continues takeovers: it confirms ownership, and sends the fences and handover requests that are due.
func (c *ShardController) advance() {
	if c.maps.current == nil {
		return
	}
	confirmed := false
	unfinished := false
	for _, s := range c.shards {
		if c.Held(s.number) == nil {
			continue
		}
		confirmed = c.confirmOwnership(s) || confirmed
		unfinished = unfinished || !s.startsKnown || s.unfenced == nil || len(s.unfenced) > 0
	}
	if unfinished && c.now-c.fenceSentAt >= fenceInterval {
		c.fenceSentAt = c.now
		c.readDirectory()
		c.fence()
		c.requestHandovers()
	}
	c.endColdStart()
	if confirmed {
		c.onChange()
	}
}

// confirmOwnership marks a shard as owned once no former owner can start its tasks, and reports whether it did so.
func (c *ShardController) confirmOwnership(s *shardState) bool {
	terms := c.maps.current.Terms
	fenced := s.unfenced != nil && len(s.unfenced) == 0 && !c.maps.FreshLoss()
	leasesExpired := !c.maps.current.Cold && c.now > s.assignedAt+terms.Lease+terms.Margin
	if s.is(shardOwned) {
		c.updateStartsKnown(s, fenced)
		return false
	}
	awaitsHandover := s.previous != "" && c.now < s.assignedAt+terms.Lease+terms.Margin
	if awaitsHandover || (!s.handoverComplete && !fenced && !leasesExpired) {
		return false
	}
	s.transition(eventConfirm)
	s.startsKnownAt = s.assignedAt + terms.Lease + terms.Margin + terms.Retention
	s.startsKnown = s.handoverComplete
	c.updateStartsKnown(s, fenced)
	c.emit(event.Note{
		Name: "shard_owned", Shard: s.number, Version: s.epoch, Took: c.now - s.assignedAt, Reason: startsReason(s.startsKnown),
	})
	return true
}

func startsReason(startsKnown bool) string {
	if startsKnown {
		return "all_starts_known"
	}
	return "starts_may_be_unknown"
}

// updateStartsKnown sets startsKnown once no start can be missing from the shard's job state.
func (c *ShardController) updateStartsKnown(s *shardState, fenced bool) {
	if s.startsKnown {
		return
	}
	s.startsKnown = (fenced && len(c.maps.current.Lost) == 0) || c.now > s.startsKnownAt
}

// requestHandovers asks former owners that are still in the map for their job state.
func (c *ShardController) requestHandovers() {
	wanted := map[shard.ID]*proto.Handovers{}
	for _, s := range c.shards {
		if !s.is(shardTaking) || s.previous == "" {
			continue
		}
		if wanted[s.previous] == nil {
			wanted[s.previous] = &proto.Handovers{Map: c.maps.current}
		}
		h := wanted[s.previous]
		h.Shards = append(h.Shards, proto.ShardEpoch{Shard: s.number, Epoch: s.epoch})
	}
	for _, member := range c.maps.current.Members {
		if h := wanted[member.ID]; h != nil {
			c.send(member.ID, proto.Message{Handovers: h})
		}
	}
}

// endColdStart ends a cold start once no shard is being taken over, for which every agent of the directory has confirmed.
func (c *ShardController) endColdStart() {
	if !c.maps.current.Cold || c.maps.current.Writer != c.cfg.ID {
		return
	}
	for _, s := range c.shards {
		if s.is(shardTaking) {
			return
		}
	}
	c.maps.EndColdStart()
}
