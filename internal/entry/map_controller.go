package entry

import (
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

const (
	// entryPrefix is the start of the keys of the rows by which entries show that they live.
	entryPrefix = "entry/"
	// lifeEvery is the time between writes of such a row, in milliseconds.
	lifeEvery = 3 * clock.Second
	// recentTable is how fresh the last reply of the table must be before the map is written, in milliseconds.
	recentTable = 2 * clock.Second
	joinEvery   = clock.Second
	never       = clock.Millis(-1 << 40)
)

type peer struct {
	heard         clock.Millis
	mapVersion    uint64
	configVersion uint64
	connected     bool
	// sent is the time of its latest heartbeat on its own clock, echoed that of the latest one of this entry that it has
	// answered with no write of the map unsettled.
	sent   clock.Millis
	echoed clock.Millis
}

// MapController holds the shard map and writes its next version when members or agents come, go or fail.
type MapController struct {
	*common
	m       *shard.Map
	pending *shard.Map
	deletes []shard.ID
	peers   map[shard.ID]*peer
	adopted clock.Millis

	call      uint64
	casCall   bool
	polledAt  clock.Millis
	tableOK   clock.Millis
	lifeAt    clock.Millis
	beatAt    clock.Millis
	joinAt    clock.Millis
	lifeSeen  map[string]uint64
	lifeFresh clock.Millis

	lostSeen  map[shard.ID]clock.Millis
	joins     []shard.Member
	strikes   []shard.ID
	stopping  bool
	drained   bool
	coldClear bool

	// onMap is called after each adoption with the map held before it, or nil.
	onMap func(before *shard.Map)
	// onConfig is called with each row of the configuration that was read.
	onConfig func(row table.Row)
	// settled lists the shards of this entry for which no start can be unknown any more.
	settled func() []int
	// beat completes a heartbeat with the configuration's version and document.
	beat func(p *peer, b *proto.Beat)
}

// NewMapController creates a controller that has not read the map yet.
func NewMapController(c *common) *MapController {
	return &MapController{
		common: c, peers: map[shard.ID]*peer{}, lostSeen: map[shard.ID]clock.Millis{},
		lifeSeen: map[string]uint64{}, polledAt: never, tableOK: never, lifeAt: never, beatAt: never,
		joinAt: never, lifeFresh: c.now,
	}
}

// IsMember reports whether the map names this entry.
func (c *MapController) IsMember() bool {
	return c.m != nil && c.m.Member(c.cfg.ID) != nil
}

// SessionUp starts to watch another entry.
func (c *MapController) SessionUp(id shard.ID) {
	p := c.peer(id)
	p.connected = true
	p.heard = c.now
	c.sendBeat(id)
}

// SessionDown notes that another entry cannot be reached now.
func (c *MapController) SessionDown(id shard.ID) {
	c.peer(id).connected = false
	c.peer(id).sent = 0
	if c.m == nil || c.m.Member(id) == nil {
		delete(c.peers, id)
	}
}

func (c *MapController) peer(id shard.ID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{heard: c.now, echoed: never}
		c.peers[id] = p
	}
	return p
}

// Beat takes another entry's heartbeat and adopts what it knows better.
func (c *MapController) Beat(from shard.ID, b *proto.Beat) {
	p := c.peer(from)
	p.heard = c.now
	p.mapVersion = b.MapVersion
	p.configVersion = b.ConfigVersion
	p.sent = b.Sent
	if b.Map != nil {
		c.adopt(b.Map)
	}
	if b.Echo > 0 && c.m != nil && b.MapVersion <= c.m.Version {
		p.echoed = max(p.echoed, b.Echo)
	}
}

// vouch returns how long ago every other entry of the map is known not to have written another one, if it is known.
func (c *MapController) vouch() (age clock.Millis, ok bool) {
	if !c.IsMember() {
		return 0, false
	}
	for _, member := range c.m.Members {
		if member.ID == c.cfg.ID {
			continue
		}
		p := c.peers[member.ID]
		if p == nil || p.echoed == never {
			return 0, false
		}
		age = max(age, c.now-p.echoed)
	}
	return age, true
}

// Pong answers an agent's heartbeat, unless it is not known whether a write of the map took effect.
func (c *MapController) Pong(from shard.ID, p *proto.Ping, configVersion uint64) {
	if c.m == nil || c.pending != nil {
		return
	}
	pong := &proto.Pong{Sent: p.Sent, MapVersion: c.m.Version, ConfigVersion: configVersion}
	pong.Age, pong.Vouched = c.vouch()
	if p.MapVersion < c.m.Version {
		pong.Map = c.m
	}
	c.send(from, proto.Message{Pong: pong})
}

// Join notes that another entry wants to be named in the map.
func (c *MapController) Join(j *proto.Join) {
	if !slices.Contains(c.joins, j.Member) {
		c.joins = append(c.joins, j.Member)
	}
}

// Strike notes that an incarnation of an agent is gone.
func (c *MapController) Strike(id shard.ID) {
	if c.m != nil && !c.m.IsLost(id) && !slices.Contains(c.strikes, id) {
		c.strikes = append(c.strikes, id)
	}
}

// Stop begins a planned stop: the shards of this entry are given to others.
func (c *MapController) Stop() {
	c.stopping = true
}

// Drained ends a planned stop: this entry is taken out of the map.
func (c *MapController) Drained() {
	c.drained = true
}

// ClearCold tells that every agent has confirmed a cold start.
func (c *MapController) ClearCold() {
	c.coldClear = true
}

// Tick sends heartbeats, reads the table and writes the next map when they are due.
func (c *MapController) Tick() {
	if c.now-c.beatAt >= c.cfg.BeatEvery {
		c.beatAt = c.now
		c.BeatAll()
	}
	c.requestJoin()
	if c.call != 0 {
		return
	}
	if c.pending != nil {
		c.writePending()
		return
	}
	if c.proposeChange() {
		return
	}
	if c.now-c.polledAt >= c.cfg.PollEvery {
		c.poll()
	}
}

// BeatAll sends a heartbeat to every connected entry.
func (c *MapController) BeatAll() {
	for _, id := range c.sortedPeers() {
		if c.peers[id].connected {
			c.sendBeat(id)
		}
	}
}

func (c *MapController) sortedPeers() []shard.ID {
	ids := make([]shard.ID, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *MapController) sendBeat(id shard.ID) {
	p := c.peers[id]
	b := &proto.Beat{Sent: c.now}
	if c.pending == nil {
		b.Echo = p.sent
	}
	if c.m != nil {
		b.MapVersion = c.m.Version
		if p.mapVersion < c.m.Version {
			b.Map = c.m
		}
	}
	c.beat(p, b)
	c.send(id, proto.Message{Beat: b})
}

// requestJoin asks the members that can be reached, in turn, to name this entry.
func (c *MapController) requestJoin() {
	if c.m == nil || c.stopping || c.IsMember() || c.now-c.joinAt < joinEvery {
		return
	}
	c.joinAt = c.now
	for _, member := range c.m.Members {
		if p := c.peers[member.ID]; p != nil && p.connected && c.now-p.heard < c.cfg.SuspectAfter {
			c.send(member.ID, proto.Message{Join: &proto.Join{Member: c.self()}})
			return
		}
	}
}

func (c *MapController) self() shard.Member {
	return shard.Member{ID: c.cfg.ID, Addr: c.cfg.Addr, Zone: c.cfg.Zone}
}

func (c *MapController) adopt(m *shard.Map) {
	if c.m != nil && m.Version <= c.m.Version {
		return
	}
	before := c.m
	c.m = m
	c.adopted = c.now
	c.coldClear = false
	c.noteLosses()
	c.emit(event.Connect{Members: m.Members})
	c.emit(event.Note{Name: "map_adopted", Version: m.Version, Count: len(m.Members)})
	for _, member := range m.Members {
		if before == nil || before.Member(member.ID) == nil {
			c.peer(member.ID).heard = c.now
		}
	}
	// Others learn of the map before they are sent anything that follows from it.
	c.BeatAll()
	c.onMap(before)
}

func (c *MapController) noteLosses() {
	seen := make(map[shard.ID]clock.Millis, len(c.m.Lost))
	for _, l := range c.m.Lost {
		seen[l.Agent] = c.now
		if at, ok := c.lostSeen[l.Agent]; ok {
			seen[l.Agent] = at
		}
	}
	c.lostSeen = seen
	c.strikes = slices.DeleteFunc(c.strikes, c.m.IsLost)
	c.joins = slices.DeleteFunc(c.joins, func(m shard.Member) bool { return c.m.Member(m.ID) != nil })
}

// FreshLoss reports whether an agent was struck off so lately that it may not know it yet.
func (c *MapController) FreshLoss() bool {
	for _, at := range c.lostSeen {
		if c.now-at <= c.m.Terms.Lease+c.m.Terms.Margin {
			return true
		}
	}
	return false
}
