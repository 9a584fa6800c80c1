package disp

import (
	"fmt"
	"testing"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// BenchmarkJob measures a job of four tasks from its arrival to its answer in the state machine, beside 20 that run.
func BenchmarkJob(b *testing.B) {
	for _, agents := range []int{11, 61, 250} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) { benchmarkJob(b, agents) })
	}
}

func benchmarkJob(b *testing.B, agents int) {
	m := New(Config{ID: "e/1", Beat: 100, Silence: 1 << 40, Lease: 800, ReattachTimeout: 200, AnswerMargin: 60, Seed: 1})
	total := room.Resources{CPU: 1 << 30, MemMB: 1 << 30}
	now := clock.Millis(1000)
	seqs := map[shard.ID]uint64{}
	ends := map[shard.ID]uint64{}
	for i := range agents {
		id := shard.ID(fmt.Sprintf("a%d/1", i))
		m.Handle(now, event.SessionUp{Peer: id, Role: proto.RoleAgent})
		m.Handle(now, event.Received{From: id, Message: proto.Message{Report: &proto.Report{
			Echo: now, Free: total, Accepting: true, Settled: true, Facts: &proto.Facts{Agent: string(id), Service: "s", Total: total},
			Inventory: &proto.Inventory{},
		}}})
	}
	var running [][]event.Action
	b.ReportAllocs()
	for n := range b.N {
		j := Job{
			ID: fmt.Sprintf("%016x", n), Queue: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, SLO: 60, Timeout: 1 << 40,
			Steps: []Step{{Count: 4, Need: room.Resources{CPU: 1}, Estimate: 100}},
		}
		running = append(running, m.Handle(now, Submit{Ticket: uint64(n + 1), Job: j}))
		if len(running) <= 20 {
			continue
		}
		for _, a := range running[0] {
			s, ok := a.(event.Send)
			if !ok {
				continue
			}
			r := proto.Report{Echo: now, Free: total, Accepting: true, Settled: true}
			for _, begin := range s.Message.Orders.Begins {
				seqs[s.To] = begin.Seq
				for _, t := range begin.Tasks {
					ends[s.To]++
					r.Ends = append(r.Ends, proto.End{N: ends[s.To], Task: t.Task, Run: t.Run, How: proto.EndDone, TookMS: 100})
				}
			}
			r.LastBegin = seqs[s.To]
			m.Handle(now, event.Received{From: s.To, Message: proto.Message{Report: &r}})
		}
		running = running[1:]
		if n%5 == 0 {
			now += 15
			m.Handle(now, event.Tick{})
		}
	}
}
