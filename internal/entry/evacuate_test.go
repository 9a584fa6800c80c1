package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// A zone is evacuated, and taken back, under work: tasks start only in the others meanwhile.
func TestNoTaskStartsInAnEvacuatedZone(t *testing.T) {
	m := newSingleEntry(t, 4, 1)
	zone := func(i int) string { return []string{"z0", "z1"}[i%2] }
	at := map[shard.ID]string{}
	for i := range 4 {
		at[agentID(i)] = zone(i)
		m.Handle(3, event.Received{From: agentID(i), Message: proto.Message{Ping: &proto.Ping{
			Worker: string(agentID(i)), Zone: zone(i), Load: proto.Load{Slots: 100},
		}}})
	}
	adopt := func(version uint64, zones ...string) (notes []string) {
		for _, a := range m.Handle(10, event.Received{From: "entry-1/1", Message: proto.Message{Beat: &proto.Beat{
			ConfigVersion: version, Config: &policy.Document{Version: version, Who: "anna", Evacuated: zones},
		}}}) {
			if n, ok := a.(event.Note); ok && n.Name == "zones_evacuated" {
				notes = append(notes, n.Reason+" by "+n.Class)
			}
		}
		return notes
	}
	started := func(name string) map[string]bool {
		zones := map[string]bool{}
		job := proto.Job{Key: shard.NewKey("shops", name), ID: name, Tenant: "shops", Budget: 10_000, Digest: 1, Tasks: make([]proto.Task, 8)}
		for _, a := range m.Handle(11, entry.Submit{Ref: 1, Job: job}) {
			if s, ok := a.(event.Send); ok && s.Message.Start != nil {
				zones[at[s.To]] = true
			}
		}
		return zones
	}
	qt.Check(t, adopt(2, "z0"), qt.DeepEquals, []string{"z0 by anna"})
	qt.Check(t, started("a"), qt.DeepEquals, map[string]bool{"z1": true})
	status := m.Status(12)
	qt.Check(t, status.EvacuatedZones, qt.DeepEquals, []string{"z0"})
	qt.Check(t, status.Zones(), qt.DeepEquals, []string{"z0", "z1"})
	qt.Check(t, adopt(3), qt.DeepEquals, []string{" by anna"})
	qt.Check(t, started("b"), qt.DeepEquals, map[string]bool{"z0": true, "z1": true})
}
