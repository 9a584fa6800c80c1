package shard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

// ID names one incarnation of a process, in the form name/incarnation.
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

// Member is an entry that may own shards and write the map.
type Member struct {
	ID      ID     `cbor:"id" json:"id"`
	Addr    string `cbor:"addr" json:"addr"`
	Zone    string `cbor:"zone" json:"zone"`
	Leaving bool   `cbor:"leaving,omitempty" json:"leaving,omitempty"`
}

// Owner says who owns a shard, since which epoch, and which former owner hands its memory over.
type Owner struct {
	ID       ID     `cbor:"id" json:"id"`
	Epoch    uint64 `cbor:"epoch" json:"epoch"`
	Previous ID     `cbor:"previous,omitempty" json:"previous,omitempty"`
	// Moves counts the changes of owner since the last time at which no start could be unknown.
	Moves int `cbor:"moves,omitempty" json:"moves,omitempty"`
}

// Loss marks one incarnation of an agent whose records of started tasks may be gone.
type Loss struct {
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
	Version uint64   `cbor:"version" json:"version"`
	Writer  ID       `cbor:"writer" json:"writer"`
	Cold    bool     `cbor:"cold,omitempty" json:"cold,omitempty"`
	Terms   Terms    `cbor:"terms" json:"terms"`
	Members []Member `cbor:"members" json:"members"`
	Shards  []Owner  `cbor:"shards" json:"shards"`
	Lost    []Loss   `cbor:"lost,omitempty" json:"lost,omitempty"`
}

// New creates the first map of a deployment, in which one member owns all n shards.
func New(m Member, n int, terms Terms) *Map {
	owners := make([]Owner, n)
	for i := range owners {
		owners[i] = Owner{ID: m.ID, Epoch: 1}
	}
	return &Map{Version: 1, Writer: m.ID, Terms: terms, Members: []Member{m}, Shards: owners}
}

// Of returns the number of the shard that holds a job.
func (m *Map) Of(k Key) int {
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

// IsLost reports whether an incarnation of an agent has been struck off.
func (m *Map) IsLost(agent ID) bool {
	return slices.ContainsFunc(m.Lost, func(l Loss) bool { return l.Agent == agent })
}

// Next returns a deep copy with the version raised by one, written by an entry.
func (m *Map) Next(writer ID) *Map {
	n := *m
	n.Version++
	n.Writer = writer
	n.Members = slices.Clone(m.Members)
	n.Shards = slices.Clone(m.Shards)
	n.Lost = slices.Clone(m.Lost)
	return &n
}

// Add names a new member, without giving it any shard.
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

// Remove takes a member out of the map; its shards keep their owner until Balance is called.
func (m *Map) Remove(id ID) {
	m.Members = slices.DeleteFunc(m.Members, func(x Member) bool { return x.ID == id })
}

// Strike marks an incarnation of an agent as lost as of this version.
func (m *Map) Strike(agent ID) {
	if !m.IsLost(agent) {
		m.Lost = append(m.Lost, Loss{Agent: agent, Version: m.Version})
	}
}

// Balance moves as few shards as it can so that members which are not leaving own equal numbers, within one.
func (m *Map) Balance() {
	stay := m.staying()
	if len(stay) == 0 {
		return
	}
	owned := m.countOwned(stay)
	for i := range m.Shards {
		if _, ok := owned[m.Shards[i].ID]; !ok {
			to, _ := extremes(stay, owned)
			m.move(i, to)
			owned[to]++
		}
	}
	for {
		to, from := extremes(stay, owned)
		if owned[from]-owned[to] <= 1 {
			return
		}
		m.move(slices.IndexFunc(m.Shards, func(o Owner) bool { return o.ID == from }), to)
		owned[from]--
		owned[to]++
	}
}

// extremes returns the first members that own the fewest and the most shards.
func extremes(stay []ID, owned map[ID]int) (fewest, most ID) {
	fewest, most = stay[0], stay[0]
	for _, id := range stay {
		if owned[id] < owned[fewest] {
			fewest = id
		}
		if owned[id] > owned[most] {
			most = id
		}
	}
	return fewest, most
}

func (m *Map) staying() []ID {
	var ids []ID
	for _, member := range m.Members {
		if !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (m *Map) countOwned(stay []ID) map[ID]int {
	owned := make(map[ID]int, len(stay))
	for _, id := range stay {
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
