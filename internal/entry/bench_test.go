package entry_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"corianderspur.example/corianderspur/internal/agent"
	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/internal/table"
)

const self = shard.ID("entry-0/1")

// newSingleEntry returns an entry that owns all shards and knows a number of idle agents.
func newSingleEntry(tb testing.TB, agents, shards int) *entry.Machine {
	tb.Helper()
	m := entry.New(entry.Config{
		ID: self, Addr: "127.0.0.1:1", Shards: shards, Terms: shard.Terms{Lease: 3000, Margin: 500, Retention: 600_000},
		BeatEvery: 500, SuspectAfter: 2000, PollEvery: 1 << 40, ColdStartAfter: 1 << 40, StrikeAfter: 1 << 40, LostAfter: 1 << 40,
		MaxQueued: 1 << 20, UrgentReserve: 0.05,
	}, 0)
	var row []byte
	answer := func(actions []event.Action) (next []event.Action) {
		for _, a := range actions {
			call, ok := a.(event.TableCall)
			if !ok {
				continue
			}
			if len(call.Txn.Writes) > 0 {
				row = call.Txn.Writes[0].Value
			}
			reply := table.Reply{Applied: true}
			if row != nil {
				reply.Rows = []table.Row{{Key: agent.MapKey, Version: 1, Value: row}}
			}
			next = append(next, m.Handle(1, event.TableDone{Call: call.Call, Reply: reply})...)
		}
		return next
	}
	for actions := m.Handle(1, event.Tick{}); len(actions) > 0; {
		actions = answer(actions)
	}
	answer(m.Handle(2, event.Tick{}))
	for i := range agents {
		id := agentID(i)
		m.Handle(3, event.SessionUp{Peer: id, Role: proto.RoleAgent})
		m.Handle(3, event.Received{From: id, Message: proto.Message{Ping: &proto.Ping{
			Worker: fmt.Sprint("worker-", i), Zone: "a", Load: proto.Load{Slots: 1000},
		}}})
	}
	return m
}

func agentID(i int) shard.ID {
	return shard.ID(fmt.Sprintf("agent-%d/1", i))
}

// runJob runs a job from submission to answer; the agents answer each start immediately.
func runJob(tb testing.TB, m *entry.Machine, n, tasks int, now clock.Millis) {
	tb.Helper()
	id := fmt.Sprint("job-", n)
	job := proto.Job{Key: shard.NewKey("shops", id), ID: id, Tenant: "shops", Budget: 10_000, Digest: 1}
	for range tasks {
		job.Tasks = append(job.Tasks, proto.Task{Payload: []byte(`{"ms":50}`)})
	}
	answered := false
	actions := m.Handle(now, entry.Submit{Ref: uint64(n + 1), Job: job})
	for len(actions) > 0 {
		var next []event.Action
		for _, a := range actions {
			switch a := a.(type) {
			case entry.Respond:
				answered = a.Answer.Status == proto.StatusComplete
			case event.Send:
				if s := a.Message.Start; s != nil {
					next = append(next, m.Handle(now, event.Received{From: a.To, Message: resultOf(s)})...)
				}
			}
		}
		actions = next
	}
	if !answered {
		tb.Fatal("not answered")
	}
}

func resultOf(s *proto.Start) proto.Message {
	r := &proto.Result{Shard: s.Shard, Key: s.Key, Digest: s.Digest, Load: proto.Load{Slots: 1000}}
	for _, item := range s.Items {
		r.Outcomes = append(r.Outcomes, proto.Outcome{
			Index: item.Index, Attempt: item.Attempt, State: proto.StateDone, RunTime: 50, Output: make([]byte, 100),
		})
	}
	return proto.Message{Result: r}
}

// BenchmarkEntryTask measures the CPU time per task in jobs of 20 tasks, by number of agents.
func BenchmarkEntryTask(b *testing.B) {
	const tasks = 20
	for _, agents := range []int{11, 250, 2500} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			m := newSingleEntry(b, agents, 256)
			now := clock.Millis(10_000)
			for n := range b.N/tasks + 1 {
				now++
				runJob(b, m, n, tasks, now)
			}
		})
	}
}

// BenchmarkEntryMemory measures the memory per remembered job of 20 tasks with outputs of 100 bytes.
func BenchmarkEntryMemory(b *testing.B) {
	for _, jobs := range []int{5_000, 10_000, 20_000, 40_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for range b.N {
				m := newSingleEntry(b, 11, 256)
				before := heapBytes()
				for n := range jobs {
					runJob(b, m, n, 20, clock.Millis(10_000+n*10))
				}
				m.Handle(clock.Millis(10_000+jobs*10), event.Tick{})
				b.ReportMetric(float64(heapBytes()-before)/float64(jobs), "B/job")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkEntryTick measures one tick of an idle entry and one heartbeat of an agent, by number of agents.
func BenchmarkEntryTick(b *testing.B) {
	for _, agents := range []int{11, 250, 2500} {
		m := newSingleEntry(b, agents, 256)
		b.Run(fmt.Sprintf("tick/agents=%d", agents), func(b *testing.B) {
			for n := range b.N {
				m.Handle(clock.Millis(20_000+n*10), event.Tick{})
			}
		})
		b.Run(fmt.Sprintf("ping/agents=%d", agents), func(b *testing.B) {
			for n := range b.N {
				m.Handle(1<<30, event.Received{From: agentID(n % agents), Message: proto.Message{Ping: &proto.Ping{Load: proto.Load{Slots: 8}}}})
			}
		})
	}
}

// BenchmarkMapSize measures the encoded size of the shard map, by number of shards.
func BenchmarkMapSize(b *testing.B) {
	for _, shards := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("shards=%d/members=40", shards), func(b *testing.B) {
			m := shard.New(shard.Member{ID: self}, shards, shard.Terms{})
			for i := range 39 {
				m.Add(shard.Member{ID: shard.ID(fmt.Sprintf("entry-%d/0123456789abcdef", i+1)), Addr: "10.0.0.1:7000", Zone: "umea"})
			}
			m.Balance()
			for range b.N {
				data, err := cbor.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "B/map")
			}
		})
	}
}

// BenchmarkCompile measures the compilation of a configuration, by number of rules.
func BenchmarkCompile(b *testing.B) {
	for _, rules := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("rules=%d/tenants=170", rules), func(b *testing.B) {
			d := &policy.Document{}
			for i := range rules {
				d.Rules = append(d.Rules, policy.Rule{Name: fmt.Sprint("r", i), Request: fmt.Sprintf("kind=k%d,tenant in (a,b,c)", i)})
			}
			for i := range 170 {
				d.Tenants = append(d.Tenants, policy.Tenant{Name: fmt.Sprint("t", i), TasksPerSecond: 100})
			}
			for range b.N {
				if _, err := policy.Compile(d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
