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
	// entryPrefix is the key prefix of the liveness rows that entries write.
	entryPrefix = "entry/"
	// livenessInterval is the time between writes of a liveness row, in milliseconds.
	livenessInterval = 3 * clock.Second
	// maxTableAge is the maximum age of the last reply from the table for writing the map, in milliseconds.
	maxTableAge  = 2 * clock.Second
	joinInterval = clock.Second
	// never stands for a time long before the start of the process.
	never = clock.Millis(-1 << 40)
)

type peer struct {
	heardAt       clock.Millis
	mapVersion    uint64
	configVersion uint64
	connected     bool
	// beatSent is the Sent time of its latest heartbeat, on its own clock. beatEchoed is the Sent time of the latest heartbeat
	// of this entry that it echoed, which it does only while it has no write of the map pending.
	beatSent   clock.Millis
	beatEchoed clock.Millis
}

// MapController holds the shard map and writes its next version when members or agents join, leave or fail.
type MapController struct {
	*common
	current *shard.Map
	// pending is the next map while its write is not known to have succeeded or failed.
	pending        *shard.Map
	pendingDeletes []shard.ID
	peers          map[shard.ID]*peer
	adoptedAt      clock.Millis

	tableCall         uint64
	callIsWrite       bool
	polledAt          clock.Millis
	tableRepliedAt    clock.Millis
	livenessWrittenAt clock.Millis
	beatSentAt        clock.Millis
	joinSentAt        clock.Millis
	livenessVersions  map[string]uint64
	livenessChangedAt clock.Millis

	lostSeenAt    map[shard.ID]clock.Millis
	joinRequests  []shard.Member
	strikes       []shard.ID
	stopping      bool
	drained       bool
	coldStartOver bool

	// onMap is called after each adoption of a map with the previous map, or nil.
	onMap func(before *shard.Map)
	// onConfig is called with each configuration row read from the table.
	onConfig func(row table.Row)
	// settledShards returns the shards of this entry for which no start can be unknown any more.
	settledShards func() []int
	// completeBeat adds the configuration's version to a heartbeat, and the document if the receiver's is older and either the
	// change was made here or relayDelay has passed.
	completeBeat func(p *peer, b *proto.Beat)
}

// NewMapController creates a controller that has not read the map yet.
func NewMapController(c *common) *MapController {
	return &MapController{
		common: c, peers: map[shard.ID]*peer{}, lostSeenAt: map[shard.ID]clock.Millis{},
		livenessVersions: map[string]uint64{}, polledAt: never, tableRepliedAt: never, livenessWrittenAt: never,
		beatSentAt: never, joinSentAt: never, livenessChangedAt: c.now,
	}
}

// IsMember reports whether the map names this entry.
func (c *MapController) IsMember() bool {
	return c.current != nil && c.current.Member(c.cfg.ID) != nil
}

// SessionUp starts to monitor another entry and sends it a heartbeat.
func (c *MapController) SessionUp(id shard.ID) {
	p := c.peerOrNew(id)
	p.connected = true
	p.heardAt = c.now
	c.sendBeat(id)
}

// SessionDown marks another entry as unreachable.
func (c *MapController) SessionDown(id shard.ID) {
	c.peerOrNew(id).connected = false
	c.peerOrNew(id).beatSent = 0
	if c.current == nil || c.current.Member(id) == nil {
		delete(c.peers, id)
	}
}

func (c *MapController) peerOrNew(id shard.ID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{heardAt: c.now, beatEchoed: never}
		c.peers[id] = p
	}
	return p
}

// Beat handles another entry's heartbeat and adopts its map if that is newer.
func (c *MapController) Beat(from shard.ID, b *proto.Beat) {
	p := c.peerOrNew(from)
	p.heardAt = c.now
	p.mapVersion = b.MapVersion
	p.configVersion = b.ConfigVersion
	p.beatSent = b.Sent
	if b.Map != nil {
		c.adopt(b.Map)
	}
	if b.Echo > 0 && c.current != nil && b.MapVersion <= c.current.Version {
		p.beatEchoed = max(p.beatEchoed, b.Echo)
	}
}

// mapFreshness returns the age in milliseconds of the latest time at which every other member is known not to have
// written a newer map; ok is false if there is no such time.
func (c *MapController) mapFreshness() (age clock.Millis, ok bool) {
	if !c.IsMember() {
		return 0, false
	}
	for _, member := range c.current.Members {
		if member.ID == c.cfg.ID {
			continue
		}
		p := c.peers[member.ID]
		if p == nil || p.beatEchoed == never {
			return 0, false
		}
		age = max(age, c.now-p.beatEchoed)
	}
	return age, true
}

// Pong answers an agent's heartbeat, unless a write of the map is pending and may have taken effect.
func (c *MapController) Pong(from shard.ID, p *proto.Ping, configVersion uint64) {
	if c.current == nil || c.pending != nil {
		return
	}
	pong := &proto.Pong{Sent: p.Sent, MapVersion: c.current.Version, ConfigVersion: configVersion}
	pong.ConfirmedAge, pong.MapConfirmed = c.mapFreshness()
	if p.MapVersion < c.current.Version {
		pong.Map = c.current
	}
	c.send(from, proto.Message{Pong: pong})
}

// Join records another entry's request to be added to the map.
func (c *MapController) Join(j *proto.Join) {
	if !slices.Contains(c.joinRequests, j.Member) {
		c.joinRequests = append(c.joinRequests, j.Member)
	}
}

// Strike records that an incarnation of an agent is to be marked as lost in the map.
func (c *MapController) Strike(id shard.ID) {
	if c.current != nil && !c.current.IsLost(id) && !slices.Contains(c.strikes, id) {
		c.strikes = append(c.strikes, id)
	}
}

// Stop begins a planned stop: the shards of this entry move to other entries.
func (c *MapController) Stop() {
	c.stopping = true
}

// Drained marks this entry to be removed from the map, which ends a planned stop.
func (c *MapController) Drained() {
	c.drained = true
}

// EndColdStart marks the cold start as over, after every agent has confirmed.
func (c *MapController) EndColdStart() {
	c.coldStartOver = true
}

// Tick sends heartbeats, reads the table and writes the next map when they are due.
func (c *MapController) Tick() {
	if c.now-c.beatSentAt >= c.cfg.BeatEvery {
		c.beatSentAt = c.now
		c.BeatAll()
	}
	c.requestJoin()
	if c.tableCall != 0 {
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
		b.Echo = p.beatSent
	}
	if c.current != nil {
		b.MapVersion = c.current.Version
		if p.mapVersion < c.current.Version {
			b.Map = c.current
		}
	}
	c.completeBeat(p, b)
	c.send(id, proto.Message{Beat: b})
}

// requestJoin asks the first reachable member to add this entry to the map.
func (c *MapController) requestJoin() {
	if c.current == nil || c.stopping || c.IsMember() || c.now-c.joinSentAt < joinInterval {
		return
	}
	c.joinSentAt = c.now
	for _, member := range c.current.Members {
		if p := c.peers[member.ID]; p != nil && p.connected && c.now-p.heardAt < c.cfg.SuspectAfter {
			c.send(member.ID, proto.Message{Join: &proto.Join{Member: c.self()}})
			return
		}
	}
}

func (c *MapController) self() shard.Member {
	return shard.Member{ID: c.cfg.ID, Addr: c.cfg.Addr, Zone: c.cfg.Zone}
}

func (c *MapController) adopt(m *shard.Map) {
	if c.current != nil && m.Version <= c.current.Version {
		return
	}
	before := c.current
	c.current = m
	c.adoptedAt = c.now
	c.coldStartOver = false
	c.trackLost()
	c.emit(event.Connect{Members: m.Members})
	c.emit(event.Note{Name: "map_adopted", Version: m.Version, Count: len(m.Members)})
	for _, member := range m.Members {
		if before == nil || before.Member(member.ID) == nil {
			c.peerOrNew(member.ID).heardAt = c.now
		}
	}
	// Other entries get the map before any message that depends on it.
	c.BeatAll()
	c.onMap(before)
}

func (c *MapController) trackLost() {
	seen := make(map[shard.ID]clock.Millis, len(c.current.Lost))
	for _, l := range c.current.Lost {
		seen[l.Agent] = c.now
		if at, ok := c.lostSeenAt[l.Agent]; ok {
			seen[l.Agent] = at
		}
	}
	c.lostSeenAt = seen
	c.strikes = slices.DeleteFunc(c.strikes, c.current.IsLost)
	c.joinRequests = slices.DeleteFunc(c.joinRequests, func(m shard.Member) bool { return c.current.Member(m.ID) != nil })
}

// FreshLoss reports whether an agent was marked as lost so recently that it may not know it yet.
func (c *MapController) FreshLoss() bool {
	for _, at := range c.lostSeenAt {
		if c.now-at <= c.current.Terms.Lease+c.current.Terms.Margin {
			return true
		}
	}
	return false
}
