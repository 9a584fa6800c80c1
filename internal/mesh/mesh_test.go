package mesh_test

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/mesh"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// inbox passes events to the test.
type inbox struct {
	events chan event.Event
}

func (b *inbox) Push(ev event.Event) { b.events <- ev }

func (b *inbox) Ready() {}

func newMesh(id shard.ID, role proto.Role) (*mesh.Mesh, *inbox) {
	b := &inbox{events: make(chan event.Event, 100)}
	return mesh.New(mesh.Config{ID: id, Role: role, Inbox: b}), b
}

// take returns the next event as the state machine would handle it.
func take(m *mesh.Mesh, b *inbox) event.Event {
	ev := <-b.events
	m.Take(ev)
	return ev
}

// Found by a score of a grown deployment, where slow entries had many events waiting: a task was at work twice. An order that
// was meant for a session which had ended travelled with the next one, after the agent had listed what it had there.
func TestNothingIsSentWithASessionThatTheMachineDoesNotKnow(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	entry, atEntry := newMesh("entry-0/1", proto.RoleEntry)
	server := httptest.NewServer(entry)
	defer server.Close()
	agent, atAgent := newMesh("agent-0/1", proto.RoleAgent)
	agent.Connect([]shard.Member{{ID: "entry-0/1", Addr: server.Listener.Addr().String()}})
	take(entry, atEntry)
	take(agent, atAgent)
	ping := func(n int) proto.Message { return proto.Message{Ping: &proto.Ping{Sent: clock.Millis(n)}} }

	entry.Drop("agent-0/1")
	c.Assert(take(agent, atAgent), qt.Equals, event.SessionDown{Peer: "entry-0/1"})
	take(agent, atAgent)
	down, up := <-atEntry.events, <-atEntry.events
	c.Assert(up, qt.Equals, event.SessionUp{Peer: "agent-0/1", Role: proto.RoleAgent, Session: 2})
	entry.Send("agent-0/1", ping(1), false)
	entry.Take(down)
	entry.Send("agent-0/1", ping(2), false)
	entry.Take(up)
	entry.Send("agent-0/1", ping(3), false)
	c.Check((<-atAgent.events).(event.Received).Message.Ping.Sent, qt.Equals, clock.Millis(3))
	agent.Close()
	entry.Close()
}

// Two processes open a session, exchange messages in order, reset it, and open another; nothing is left running.
func TestSession(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	entry, atEntry := newMesh("entry-0/1", proto.RoleEntry)
	server := httptest.NewServer(entry)
	defer server.Close()
	agent, atAgent := newMesh("agent-0/1", proto.RoleAgent)
	agent.Connect([]shard.Member{{ID: "entry-0/1", Addr: server.Listener.Addr().String()}})

	c.Assert(take(entry, atEntry), qt.Equals, event.SessionUp{Peer: "agent-0/1", Role: proto.RoleAgent, Session: 1})
	c.Assert(take(agent, atAgent), qt.Equals, event.SessionUp{Peer: "entry-0/1", Role: proto.RoleEntry, Session: 1})
	agent.Send("entry-0/1", proto.Message{Ping: &proto.Ping{Sent: 1}}, true)
	agent.Send("entry-0/1", proto.Message{Ping: &proto.Ping{Sent: 2}}, false)
	for want := range 2 {
		got := (<-atEntry.events).(event.Received)
		c.Check(got.From, qt.Equals, shard.ID("agent-0/1"))
		c.Check(int(got.Message.Ping.Sent), qt.Equals, want+1)
	}
	entry.Send("agent-0/1", proto.Message{Pong: &proto.Pong{Sent: 2}}, false)
	c.Assert((<-atAgent.events).(event.Received).Message.Pong, qt.IsNotNil)

	agent.Reset("agent-0/1.1")
	c.Assert(<-atAgent.events, qt.Equals, event.SessionDown{Peer: "entry-0/1"})
	c.Assert(<-atEntry.events, qt.Equals, event.SessionDown{Peer: "agent-0/1"})
	c.Assert(<-atEntry.events, qt.Equals, event.SessionUp{Peer: "agent-0/1.1", Role: proto.RoleAgent, Session: 2})
	agent.Close()
	entry.Close()
}

// A process whose address has changed, or whose first address was wrong, was dialled at the old one for ever.
func TestChangedAddressIsDialled(t *testing.T) {
	defer goleak.VerifyNone(t)
	entry, atEntry := newMesh("entry-0/1", proto.RoleEntry)
	server := httptest.NewServer(entry)
	defer server.Close()
	agent, atAgent := newMesh("agent-0/1", proto.RoleAgent)
	defer entry.Close()
	defer agent.Close()
	agent.Connect([]shard.Member{{ID: "entry-0/1", Addr: "127.0.0.1:1"}})
	agent.Connect([]shard.Member{{ID: "entry-0/1", Addr: server.Listener.Addr().String()}})
	select {
	case ev := <-atAgent.events:
		qt.Assert(t, ev, qt.Equals, event.SessionUp{Peer: "entry-0/1", Role: proto.RoleEntry, Session: 1})
		take(entry, atEntry)
	case <-time.After(10 * time.Second):
		t.Error("no session at the new address")
	}
}
