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

// Keys of the rows that agents and entries share.
const (
	MapKey       = "map"
	DirPrefix    = "agent/"
	never        = clock.Millis(-1 << 40)
	readInterval = 500 * clock.Millis(1)
	// homeCount is the number of entries that each heartbeat goes to; one heartbeat in tellAllEvery goes to all.
	homeCount    = 3
	tellAllEvery = 10
)

// LeaseController knows the shard map, the newest epochs, and whether this knowledge is fresh enough to start tasks.
type LeaseController struct {
	*common
	m        *shard.Map
	seen     map[int]uint64
	peers    []shard.ID
	fresh    clock.Millis
	joined   bool
	renewals int

	call   uint64
	sentAt clock.Millis
	lastAt clock.Millis
	pinged clock.Millis
	// toldAll is when the last heartbeat went to every connected entry.
	toldAll clock.Millis
}

// NewLeaseController creates a controller that has not read the map yet.
func NewLeaseController(c *common) *LeaseController {
	return &LeaseController{
		common: c, seen: map[int]uint64{}, fresh: never, lastAt: never, pinged: never, toldAll: never,
	}
}

// Current reports whether the agent's knowledge of the map is younger than the lease.
func (c *LeaseController) Current() bool {
	if c.m == nil || !c.joined {
		return false
	}
	return c.fresh > c.now-c.m.Terms.Lease
}

// Refusal returns why a start may not be accepted now, or the empty reason.
func (c *LeaseController) Refusal(s *proto.Start) proto.Reason {
	if s.Epoch < c.seen[s.Shard] {
		return proto.ReasonStale
	}
	if !s.Repeatable && !c.Current() {
		return proto.ReasonStale
	}
	c.seen[s.Shard] = s.Epoch
	return ""
}

// OwnerOf returns the owner of a shard by the map that the agent holds.
func (c *LeaseController) OwnerOf(n int) shard.ID {
	if c.m == nil || n >= len(c.m.Shards) {
		return ""
	}
	return c.m.Shards[n].ID
}

// Raise adopts the map and the epochs of a fence.
func (c *LeaseController) Raise(f *proto.Fence) {
	if f.Map != nil {
		c.adopt(f.Map)
	}
	for _, s := range f.Shards {
		c.seen[s.Shard] = max(c.seen[s.Shard], s.Epoch)
	}
}

// Check tells an owner which of its epochs are still the newest, which only a current agent can.
func (c *LeaseController) Check(from shard.ID, check *proto.Check) {
	reply := &proto.Checked{Nonce: check.Nonce}
	if c.Current() {
		for _, s := range check.Shards {
			if c.seen[s.Shard] <= s.Epoch {
				reply.Valid = append(reply.Valid, s.Shard)
			}
		}
	}
	c.send(from, proto.Message{Checked: reply})
}

// Pong takes the answer to a heartbeat; freshness counts from when the heartbeat was sent, less the age of what the entry
// vouches for.
func (c *LeaseController) Pong(p *proto.Pong) {
	if p.Map != nil {
		c.adopt(p.Map)
	}
	if p.Vouched && c.m != nil && p.MapVersion == c.m.Version {
		c.fresh = max(c.fresh, p.Sent-p.Age)
	}
}

func (c *LeaseController) adopt(m *shard.Map) {
	if c.m != nil && m.Version <= c.m.Version {
		return
	}
	c.m = m
	for i, o := range m.Shards {
		c.seen[i] = max(c.seen[i], o.Epoch)
	}
	c.emit(event.Connect{Members: m.Members})
	c.emit(event.Note{Name: "map_adopted", Version: m.Version})
	if m.IsLost(c.id) {
		c.renew()
	}
}

// renew takes a new identity after this one was struck off; records and running tasks are kept.
func (c *LeaseController) renew() {
	c.renewals++
	c.id = shard.ID(fmt.Sprintf("%s.%d", c.cfg.ID, c.renewals))
	c.joined = false
	c.fresh = never
	c.call = 0
	c.lastAt = never
	c.peers = nil
	c.emit(event.Reset{ID: c.id})
}

// Greet sends the first heartbeat of a session.
func (c *LeaseController) Greet(peer shard.ID, load proto.Load) {
	c.peers = append(c.peers, peer)
	p := c.ping(load)
	p.Worker = c.cfg.Worker
	p.Zone = c.cfg.Zone
	p.Labels = c.cfg.Labels
	c.send(peer, proto.Message{Ping: p})
}

// Forget stops the heartbeats to a process.
func (c *LeaseController) Forget(peer shard.ID) {
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
	c.toldAll = c.now
	c.pingEach(c.peers, load)
}

func (c *LeaseController) pingEach(peers []shard.ID, load proto.Load) {
	c.pinged = c.now
	for _, peer := range peers {
		c.send(peer, proto.Message{Ping: c.ping(load)})
	}
}

// homes are the entries that this agent's heartbeats go to, a few of all, as a hash of both identities decides.
func (c *LeaseController) homes() []shard.ID {
	if len(c.peers) <= homeCount {
		return c.peers
	}
	ranked := slices.Clone(c.peers)
	slices.SortFunc(ranked, func(a, b shard.ID) int { return cmp.Compare(c.rank(a), c.rank(b)) })
	return ranked[:homeCount]
}

func (c *LeaseController) rank(peer shard.ID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(peer))
	h.Write([]byte(c.id))
	return h.Sum32()
}

// Peer returns an entry that can be reached, or the empty id.
func (c *LeaseController) Peer() shard.ID {
	if len(c.peers) == 0 {
		return ""
	}
	return c.peers[0]
}

// Farewell tells every connected entry that this identity will start nothing any more, and whether another agent keeps
// its records.
func (c *LeaseController) Farewell(handed bool) {
	for _, peer := range c.peers {
		p := c.ping(proto.Load{Leaving: true})
		p.Gone = true
		p.Handed = handed
		c.send(peer, proto.Message{Ping: p})
	}
	c.joined = false
}

func (c *LeaseController) ping(load proto.Load) *proto.Ping {
	p := &proto.Ping{Sent: c.now, Load: load}
	if c.m != nil {
		p.MapVersion = c.m.Version
	}
	return p
}

// Tick sends heartbeats that are due and reads the table while the map is not known to be fresh.
func (c *LeaseController) Tick(load proto.Load) {
	switch {
	case c.now-c.toldAll >= c.cfg.PingEvery*tellAllEvery:
		c.PingAll(load)
	case c.now-c.pinged >= c.cfg.PingEvery:
		c.pingEach(c.homes(), load)
	}
	if c.call != 0 || c.now-c.lastAt < readInterval {
		return
	}
	if !c.joined || !c.nearlyCurrent() {
		c.read()
	}
}

// nearlyCurrent is false early enough for a read to finish before the lease lapses.
func (c *LeaseController) nearlyCurrent() bool {
	return c.fresh > c.now-c.m.Terms.Lease*2/3
}

// read writes the directory row, if it is not there yet, and reads the map in the same transaction.
func (c *LeaseController) read() {
	key := DirPrefix + string(c.id)
	txn := table.Txn{Keys: []string{MapKey, key}}
	if !c.joined {
		txn.Writes = []table.Write{{Key: key, Any: true, Value: []byte(c.cfg.Worker)}}
	}
	c.call = c.nextCall()
	c.sentAt = c.now
	c.lastAt = c.now
	c.emit(event.TableCall{Call: c.call, Txn: txn})
}

// TableDone takes the outcome of a read.
func (c *LeaseController) TableDone(e event.TableDone) {
	if e.Call != c.call {
		return
	}
	c.call = 0
	if e.Err != nil {
		return
	}
	if e.Reply.Row(DirPrefix+string(c.id)).Version == 0 {
		c.renew()
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
	if c.id != id || m.Version < c.m.Version {
		return
	}
	c.joined = true
	c.fresh = c.sentAt
}
