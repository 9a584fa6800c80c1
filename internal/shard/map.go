package shard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

// ID identifies one incarnation of a process, in the form name/incarnation.
type ID string

// Key identifies a job in the whole system: the start of the SHA-256 hash of its tenant and id.
type Key [16]byte

// NewKey derives the key of a job from its tenant and its id.
func NewKey(tenant, job string) Key {
	h := sha256.New()
	h.Write([]byte(tenant))
	h.Write([]byte{0})
	h.Write([]byte(job))
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the key in hexadecimal.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// Member is a member of the cluster: an entry, which may own shards and write the map.
type Member struct {
	ID      ID     `cbor:"id" json:"id"`
	Addr    string `cbor:"addr" json:"addr"`
	Zone    string `cbor:"zone" json:"zone"`
	Leaving bool   `cbor:"leaving,omitempty" json:"leaving,omitempty"`
}

// Owner is the owner of a shard, the epoch of its ownership, and the previous owner, which hands over its job state.
type Owner struct {
	ID       ID     `cbor:"id" json:"id"`
	Epoch    uint64 `cbor:"epoch" json:"epoch"`
	Previous ID     `cbor:"previous,omitempty" json:"previous,omitempty"`
	// Moves counts the changes of owner since the last time at which all task starts were certainly known.
	Moves int `cbor:"moves,omitempty" json:"moves,omitempty"`
}

// LostAgent marks one incarnation of an agent as lost: its records of started tasks may be gone.
type LostAgent struct {
	Agent   ID     `cbor:"agent" json:"agent"`
	Version uint64 `cbor:"version" json:"version"`
}

// Terms are the time bounds that every process of a deployment shares, in milliseconds.
type Terms struct {
	Lease     clock.Millis `cbor:"lease" json:"lease_ms"`
	Margin    clock.Millis `cbor:"margin" json:"margin_ms"`
	Retention clock.Millis `cbor:"retention" json:"retention_ms"`
}

// Map assigns every shard to an entry; it is replaced as a whole and only by a higher version.
type Map struct {
	Version uint64      `cbor:"version" json:"version"`
	Writer  ID          `cbor:"writer" json:"writer"`
	Cold    bool        `cbor:"cold,omitempty" json:"cold,omitempty"`
	Terms   Terms       `cbor:"terms" json:"terms"`
	Members []Member    `cbor:"members" json:"members"`
	Shards  []Owner     `cbor:"shards" json:"shards"`
	Lost    []LostAgent `cbor:"lost,omitempty" json:"lost,omitempty"`
}

// New creates the first map of a deployment, in which one member owns all n shards.
func New(m Member, n int, terms Terms) *Map {
	owners := make([]Owner, n)
	for i := range owners {
		owners[i] = Owner{ID: m.ID, Epoch: 1}
	}
	return &Map{Version: 1, Writer: m.ID, Terms: terms, Members: []Member{m}, Shards: owners}
}

// ShardOf returns the index of the shard that a job belongs to.
func (m *Map) ShardOf(k Key) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(len(m.Shards)))
}

// Member returns the member with an id, or nil.
func (m *Map) Member(id ID) *Member {
	for i := range m.Members {
		if m.Members[i].ID == id {
			return &m.Members[i]
		}
	}
	return nil
}

// IsLost reports whether an incarnation of an agent is marked as lost.
func (m *Map) IsLost(agent ID) bool {
	return slices.ContainsFunc(m.Lost, func(l LostAgent) bool { return l.Agent == agent })
}

// Next returns a deep copy with the next version and the given writer.
func (m *Map) Next(writer ID) *Map {
	next := *m
	next.Version++
	next.Writer = writer
	next.Members = slices.Clone(m.Members)
	next.Shards = slices.Clone(m.Shards)
	next.Lost = slices.Clone(m.Lost)
	return &next
}

// Add adds a member, without assigning it any shard.
func (m *Map) Add(member Member) {
	if m.Member(member.ID) != nil {
		return
	}
	m.Members = append(m.Members, member)
	slices.SortFunc(m.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Remove removes a member; its shards keep it as their owner until Balance is called.
func (m *Map) Remove(id ID) {
	m.Members = slices.DeleteFunc(m.Members, func(x Member) bool { return x.ID == id })
}

// MarkLost marks an incarnation of an agent as lost, as of this version.
func (m *Map) MarkLost(agent ID) {
	if !m.IsLost(agent) {
		m.Lost = append(m.Lost, LostAgent{Agent: agent, Version: m.Version})
	}
}

// Balance moves as few shards as possible so that the numbers of shards owned by members that are not leaving differ by at
// most one.
func (m *Map) Balance() {
	active := m.activeMembers()
	if len(active) == 0 {
		return
	}
	owned := m.countOwned(active)
	for i := range m.Shards {
		if _, ok := owned[m.Shards[i].ID]; !ok {
			to, _ := leastAndMostLoaded(active, owned)
			m.move(i, to)
			owned[to]++
		}
	}
	for {
		to, from := leastAndMostLoaded(active, owned)
		if owned[from]-owned[to] <= 1 {
			return
		}
		m.move(slices.IndexFunc(m.Shards, func(o Owner) bool { return o.ID == from }), to)
		owned[from]--
		owned[to]++
	}
}

// leastAndMostLoaded returns the first of the active members that own the fewest and the most shards.
func leastAndMostLoaded(active []ID, owned map[ID]int) (fewest, most ID) {
	fewest, most = active[0], active[0]
	for _, id := range active {
		if owned[id] < owned[fewest] {
			fewest = id
		}
		if owned[id] > owned[most] {
			most = id
		}
	}
	return fewest, most
}

func (m *Map) activeMembers() []ID {
	var ids []ID
	for _, member := range m.Members {
		if !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (m *Map) countOwned(active []ID) map[ID]int {
	owned := make(map[ID]int, len(active))
	for _, id := range active {
		owned[id] = 0
	}
	for _, o := range m.Shards {
		if _, ok := owned[o.ID]; ok {
			owned[o.ID]++
		}
	}
	return owned
}

func (m *Map) move(i int, to ID) {
	o := &m.Shards[i]
	from := o.ID
	o.Epoch++
	o.Moves++
	o.ID = to
	o.Previous = ""
	if m.Member(from) != nil {
		o.Previous = from
	}
}
