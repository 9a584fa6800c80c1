package place

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspur.example/corianderspur/internal/contend"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

// slowedBy doubles the run time of one kind beside a server full of another.
type slowedBy struct{ kind, by string }

func (s slowedBy) Slowdown(kind string, beside []contend.Load) float64 {
	f := 1.0
	for _, l := range beside {
		if kind == s.kind && l.Kind == s.by {
			f += l.Share
		}
	}
	return f
}

func apartCandidate(id shard.ID, free int64, kind string) Candidate {
	return Candidate{
		ID: id, Free: room.Resources{CPU: free, MemMB: 100}, Total: room.Resources{CPU: 8000, MemMB: 100},
		Kinds: []contend.Load{{Kind: kind, Share: float64(8000-free) / 8000}},
	}
}

// A kind that slows another down runs beside the other on the emptiest server, although a slightly fuller one is free of it.
func TestDisturbedKindsAreKeptApartWhereThereIsRoom(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, kind := range []string{"a", "b"} {
		other := map[string]string{"a": "b", "b": "a"}[kind]
		apart := &Apart{Known: slowedBy{kind: "a", by: "b"}}
		task := Task{Need: room.Resources{CPU: 1000, MemMB: 1}, Kind: kind, Apart: apart}
		candidates := []Candidate{apartCandidate("x", 5000, other), apartCandidate("y", 4500, kind)}
		qt.Check(t, Choose(candidates, []Task{task}, rng)[0], qt.Equals, 1, qt.Commentf("task of kind %s", kind))
	}
}

// Nothing learned, or no kind named: as before, to the last draw.
func TestNothingLearnedChangesNoPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates, tasks := drawPlacement(t)
		plain := Choose(clone(candidates), tasks, rand.New(rand.NewPCG(1, 1)))
		apart := &Apart{Known: contend.NewTable()}
		for i := range tasks {
			tasks[i].Apart = apart
		}
		if got := Choose(clone(candidates), tasks, rand.New(rand.NewPCG(1, 1))); !equal(got, plain) || apart.Moved > 0 {
			t.Fatalf("%v, not %v", got, plain)
		}
	})
}

// Keeping kinds apart never leaves a task without an agent that would have one.
func TestKeepingApartServesNoFewerTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates, tasks := drawPlacement(t)
		plain := Choose(clone(candidates), tasks, rand.New(rand.NewPCG(1, 1)))
		for i := range tasks {
			tasks[i].Apart = &Apart{Known: slowedBy{kind: "a", by: "b"}}
		}
		got := Choose(clone(candidates), tasks, rand.New(rand.NewPCG(1, 1)))
		if placed(got) != placed(plain) {
			t.Fatalf("%d placed, not %d", placed(got), placed(plain))
		}
	})
}

// drawPlacement draws agents with kinds at work and tasks of one size.
func drawPlacement(t *rapid.T) (candidates []Candidate, tasks []Task) {
	kinds := []string{"a", "b", "c"}
	for i := range rapid.IntRange(1, 6).Draw(t, "agents") {
		c := apartCandidate(shard.ID(rune('p'+i)), int64(rapid.IntRange(0, 8000).Draw(t, "free")), rapid.SampledFrom(kinds).Draw(t, "kind"))
		candidates = append(candidates, c)
	}
	need := room.Resources{CPU: int64(rapid.IntRange(100, 3000).Draw(t, "need")), MemMB: 1}
	for range rapid.IntRange(1, 20).Draw(t, "tasks") {
		tasks = append(tasks, Task{Need: need, Kind: rapid.SampledFrom(kinds).Draw(t, "kind")})
	}
	return candidates, tasks
}

func clone(list []Candidate) []Candidate {
	return append([]Candidate(nil), list...)
}

func equal(a, b []int) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return len(a) == len(b)
}

func placed(chosen []int) (n int) {
	for _, c := range chosen {
		if c >= 0 {
			n++
		}
	}
	return n
}
