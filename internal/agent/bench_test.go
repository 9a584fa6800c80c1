package agent_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

const owner = shard.ID("entry-0/1")

// serving returns an agent that is registered, is current, and has a backend server.
func serving(tb testing.TB, entries int, lease clock.Millis) *agent.Machine {
	tb.Helper()
	m := agent.New(agent.Config{
		ID: "agent-0/1", Worker: "worker-0", Zone: "a", PingEvery: 1000, QueueLimit: 16, KeepBytes: 8 << 20,
		BackendTimeout: 1 << 40, EjectAfter: 2, EjectFor: 5000, EjectMax: 60_000,
	}, 0)
	sm := shard.New(shard.Member{ID: owner}, 256, shard.Terms{Lease: lease, Margin: 500, Retention: 600_000})
	for i := 1; i < entries; i++ {
		sm.Add(shard.Member{ID: shard.ID(fmt.Sprintf("entry-%d/1", i)), Addr: "127.0.0.1:17000", Zone: "a"})
	}
	value, err := cbor.Marshal(sm)
	if err != nil {
		tb.Fatal(err)
	}
	for _, a := range m.Handle(1000, event.Tick{}) {
		if call, ok := a.(event.TableCall); ok {
			rows := []table.Row{{Key: agent.MapKey, Version: 1, Value: value}, {Key: agent.DirPrefix + "agent-0/1", Version: 1}}
			m.Handle(1001, event.TableDone{Call: call.Call, Reply: table.Reply{Applied: true, Rows: rows}})
		}
	}
	for _, member := range sm.Members {
		m.Handle(1002, event.SessionUp{Peer: member.ID, Role: proto.RoleEntry})
	}
	m.Handle(1003, agent.BackendAnnounced{Slots: 8})
	return m
}

// runTask runs a job with a single task, from its start to the acknowledgement of its result.
func runTask(m *agent.Machine, n int, now clock.Millis) {
	var key shard.Key
	binary.BigEndian.PutUint64(key[:], uint64(n))
	m.Handle(now, event.Received{From: owner, Message: proto.Message{Start: &proto.Start{
		Shard: n % 256, Epoch: 1, Key: key, Job: "order", Tenant: "shops", Digest: 1, Budget: 1000,
		Items: []proto.Item{{Attempt: 1, Payload: []byte(`{"ms":50}`)}},
	}}})
	m.Handle(now, agent.RunDone{Key: key, Attempt: 1, Verdict: agent.VerdictDone, Output: make([]byte, 100)})
	m.Handle(now, event.Received{From: owner, Message: proto.Message{Ack: &proto.Ack{Key: key, Indexes: []int{0}}}})
}

// BenchmarkAgentTask measures the CPU time of one task and the memory of one record, with its output of 100 bytes and,
// beyond 8 MiB of outputs, without.
func BenchmarkAgentTask(b *testing.B) {
	for _, records := range []int{9_000, 18_000, 36_000, 72_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			m := serving(b, 40, 1<<40)
			before := heap()
			for n := range records {
				runTask(m, n, 2000)
			}
			m.Handle(2000, event.Tick{})
			bytes := float64(heap()-before) / float64(records)
			b.ResetTimer()
			for n := range b.N {
				runTask(m, records+n, 2000)
			}
			b.ReportMetric(bytes, "B/record")
		})
	}
}

// BenchmarkAgentHeartbeats measures one second of control traffic: ticks, heartbeats to entries and their replies.
func BenchmarkAgentHeartbeats(b *testing.B) {
	for _, entries := range []int{3, 10, 40} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			m := serving(b, entries, 1<<40)
			now := clock.Millis(2000)
			for range b.N {
				for range 100 {
					now += 10
					for _, a := range m.Handle(now, event.Tick{}) {
						if s, ok := a.(event.Send); ok {
							m.Handle(now, event.Received{From: s.To, Message: proto.Message{Pong: &proto.Pong{Sent: now}}})
						}
					}
				}
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
