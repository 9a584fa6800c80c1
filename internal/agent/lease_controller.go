package agent

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

// MapKey is the key of the row with the shard map, DirPrefix the prefix of the keys of the agent directory; agents and
// entries share these rows.
const (
	MapKey            = "map"
	DirPrefix         = "agent/"
	never             = clock.Millis(-1 << 40)
	tableReadInterval = 500 * clock.Millis(1)
	// heartbeatPeerCount is the number of entries that each heartbeat goes to; one heartbeat in broadcastEvery goes to all.
	heartbeatPeerCount = 3
	broadcastEvery     = 10
)

// LeaseController holds the shard map and the newest epochs, and decides whether they are recent enough to start tasks.
type LeaseController struct {
	*common
	shardMap *shard.Map
	// epochs holds the newest epoch seen of each shard.
	epochs map[int]uint64
	peers  []shard.ID
	// confirmedAt is the latest time at which the map is known to have been current.
	confirmedAt clock.Millis
	// registered is whether the directory has a row of the present identity and the map was read with it.
	registered bool
	// renewals counts the changes of identity.
	renewals int

	pendingCall uint64
	callSentAt  clock.Millis
	lastRead    clock.Millis
	lastPing    clock.Millis
	// lastBroadcast is when the last heartbeat went to every connected entry.
	lastBroadcast clock.Millis
}

// NewLeaseController creates a controller that has not read the map yet.
func NewLeaseController(c *common) *LeaseController {
	return &LeaseController{
		common: c, epochs: map[int]uint64{}, confirmedAt: never, lastRead: never, lastPing: never, lastBroadcast: never,
	}
}

// Current reports whether the agent is registered and its map was confirmed within the lease.
func (c *LeaseController) Current() bool {
	if c.shardMap == nil || !c.registered {
		return false
	}
	return c.confirmedAt > c.now-c.shardMap.Terms.Lease
}

// Refusal returns the reason why a start must be refused, or the empty reason if it may be accepted.
func (c *LeaseController) Refusal(s *proto.Start) proto.Reason {
	if s.Epoch < c.epochs[s.Shard] {
		return proto.ReasonStale
	}
	if !s.Repeatable && !c.Current() {
		return proto.ReasonStale
	}
	c.epochs[s.Shard] = s.Epoch
	return ""
}

// OwnerOf returns the owner of a shard according to the agent's map, or the empty id.
func (c *LeaseController) OwnerOf(number int) shard.ID {
	if c.shardMap == nil || number >= len(c.shardMap.Shards) {
		return ""
	}
	return c.shardMap.Shards[number].ID
}

// ApplyFence adopts the map of a fence, if newer, and raises the known epochs to those of the fence.
func (c *LeaseController) ApplyFence(f *proto.Fence) {
	if f.Map != nil {
		c.adopt(f.Map)
	}
	for _, s := range f.Shards {
		c.epochs[s.Shard] = max(c.epochs[s.Shard], s.Epoch)
	}
}

// Check tells an owner which of its epochs are still the newest; an agent that is not current confirms none.
func (c *LeaseController) Check(from shard.ID, check *proto.Check) {
	reply := &proto.Checked{Nonce: check.Nonce}
	if c.Current() {
		for _, s := range check.Shards {
			if c.epochs[s.Shard] <= s.Epoch {
				reply.Valid = append(reply.Valid, s.Shard)
			}
		}
	}
	c.send(from, proto.Message{Checked: reply})
}

// Pong handles the reply to a heartbeat. The time of a confirmation is that at which the heartbeat was sent, less the age
// of what the entry confirms.
func (c *LeaseController) Pong(p *proto.Pong) {
	if p.Map != nil {
		c.adopt(p.Map)
	}
	if p.MapConfirmed && c.shardMap != nil && p.MapVersion == c.shardMap.Version {
		c.confirmedAt = max(c.confirmedAt, p.Sent-p.ConfirmedAge)
	}
}

func (c *LeaseController) adopt(m *shard.Map) {
	if c.shardMap != nil && m.Version <= c.shardMap.Version {
		return
	}
	c.shardMap = m
	for i, o := range m.Shards {
		c.epochs[i] = max(c.epochs[i], o.Epoch)
	}
	c.emit(event.Connect{Members: m.Members})
	c.emit(event.Note{Name: "map_adopted", Version: m.Version})
	if m.IsLost(c.id) {
		c.renewIdentity()
	}
}

// renewIdentity takes a new identity after the map or the directory dropped the old one; records and running tasks are
// kept.
func (c *LeaseController) renewIdentity() {
	c.renewals++
	c.id = shard.ID(fmt.Sprintf("%s.%d", c.cfg.ID, c.renewals))
	c.registered = false
	c.confirmedAt = never
	c.pendingCall = 0
	c.lastRead = never
	c.peers = nil
	c.emit(event.Reset{ID: c.id})
}

// PeerConnected sends the first heartbeat of a session, which also describes the worker.
func (c *LeaseController) PeerConnected(peer shard.ID, load proto.Load) {
	c.peers = append(c.peers, peer)
	p := c.ping(load)
	p.Worker = c.cfg.Worker
	p.Zone = c.cfg.Zone
	p.Labels = c.cfg.Labels
	c.send(peer, proto.Message{Ping: p})
}

// PeerDisconnected stops sending heartbeats to an entry.
func (c *LeaseController) PeerDisconnected(peer shard.ID) {
	kept := c.peers[:0]
	for _, p := range c.peers {
		if p != peer {
			kept = append(kept, p)
		}
	}
	c.peers = kept
}

// PingAll sends a heartbeat to every connected entry.
func (c *LeaseController) PingAll(load proto.Load) {
	c.lastBroadcast = c.now
	c.pingEach(c.peers, load)
}

func (c *LeaseController) pingEach(peers []shard.ID, load proto.Load) {
	c.lastPing = c.now
	for _, peer := range peers {
		c.send(peer, proto.Message{Ping: c.ping(load)})
	}
}

// heartbeatPeers returns the connected entries that regular heartbeats go to: a few, chosen by rendezvous hashing of both
// identities.
func (c *LeaseController) heartbeatPeers() []shard.ID {
	if len(c.peers) <= heartbeatPeerCount {
		return c.peers
	}
	ranked := slices.Clone(c.peers)
	slices.SortFunc(ranked, func(a, b shard.ID) int { return cmp.Compare(c.hashWith(a), c.hashWith(b)) })
	return ranked[:heartbeatPeerCount]
}

func (c *LeaseController) hashWith(peer shard.ID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(peer))
	h.Write([]byte(c.id))
	return h.Sum32()
}

// Peer returns a connected entry, or the empty id.
func (c *LeaseController) Peer() shard.ID {
	if len(c.peers) == 0 {
		return ""
	}
	return c.peers[0]
}

// SendGone tells every connected entry that this identity starts no more tasks, and whether its records were transferred
// to another agent.
func (c *LeaseController) SendGone(transferred bool) {
	for _, peer := range c.peers {
		p := c.ping(proto.Load{Leaving: true})
		p.Gone = true
		p.Handed = transferred
		c.send(peer, proto.Message{Ping: p})
	}
	c.registered = false
}

func (c *LeaseController) ping(load proto.Load) *proto.Ping {
	p := &proto.Ping{Sent: c.now, Load: load}
	if c.shardMap != nil {
		p.MapVersion = c.shardMap.Version
	}
	return p
}

// Tick sends heartbeats that are due, and reads the table if the agent isn't registered or its lease is about to expire.
func (c *LeaseController) Tick(load proto.Load) {
	switch {
	case c.now-c.lastBroadcast >= c.cfg.PingEvery*broadcastEvery:
		c.PingAll(load)
	case c.now-c.lastPing >= c.cfg.PingEvery:
		c.pingEach(c.heartbeatPeers(), load)
	}
	if c.pendingCall != 0 || c.now-c.lastRead < tableReadInterval {
		return
	}
	if !c.registered || !c.recentlyConfirmed() {
		c.readTable()
	}
}

// recentlyConfirmed reports whether the map was confirmed within two thirds of the lease; the rest of the lease leaves
// time to read the table.
func (c *LeaseController) recentlyConfirmed() bool {
	return c.confirmedAt > c.now-c.shardMap.Terms.Lease*2/3
}

// readTable reads the map and, in the same transaction, writes the directory row if the agent isn't registered.
func (c *LeaseController) readTable() {
	key := DirPrefix + string(c.id)
	txn := table.Txn{Keys: []string{MapKey, key}}
	if !c.registered {
		txn.Writes = []table.Write{{Key: key, Any: true, Value: []byte(c.cfg.Worker)}}
	}
	c.pendingCall = c.nextCall()
	c.callSentAt = c.now
	c.lastRead = c.now
	c.emit(event.TableCall{Call: c.pendingCall, Txn: txn})
}

// TableDone handles the reply to a read of the table.
func (c *LeaseController) TableDone(e event.TableDone) {
	if e.Call != c.pendingCall {
		return
	}
	c.pendingCall = 0
	if e.Err != nil {
		return
	}
	if e.Reply.Row(DirPrefix+string(c.id)).Version == 0 {
		c.renewIdentity()
		return
	}
	row := e.Reply.Row(MapKey)
	if row.Version == 0 {
		return
	}
	var m shard.Map
	if err := cbor.Unmarshal(row.Value, &m); err != nil {
		c.emit(event.Note{Name: "map_unreadable", Reason: err.Error()})
		return
	}
	id := c.id
	c.adopt(&m)
	if c.id != id || m.Version < c.shardMap.Version {
		return
	}
	c.registered = true
	c.confirmedAt = c.callSentAt
}
