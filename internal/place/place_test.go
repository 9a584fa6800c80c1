package place_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/place"
	"corianderspur.example/corianderspur/internal/room"
	"corianderspur.example/corianderspur/internal/shard"
)

type fixedSource float64

func (f fixedSource) Float64() float64 { return float64(f) }

func agents(free ...int64) (list []place.Candidate) {
	for i, f := range free {
		list = append(list, place.Candidate{
			ID: shard.ID(rune('a' + i)), Free: room.Resources{CPU: f, MemMB: 1000}, Total: room.Resources{CPU: 10000, MemMB: 1000}, Slow: 1,
		})
	}
	return list
}

func tasks(n int, cpu int64) (list []place.Task) {
	for range n {
		list = append(list, place.Task{Need: room.Resources{CPU: cpu, MemMB: 1}})
	}
	return list
}

// The tasks of one job are spread over the agents, so that none waits for another.
func TestTasksOfOneJobSpread(t *testing.T) {
	qt.Assert(t, place.Choose(agents(10000, 10000, 10000), tasks(3, 2000), fixedSource(0)), qt.DeepEquals, []int{0, 1, 2})
}

// Memory is plentiful on every agent, so the free CPU decides which agent counts as the emptiest.
func TestEmptiestIsTheAgentWithTheMostOfWhatIsScarce(t *testing.T) {
	qt.Assert(t, place.Choose(agents(4000, 9000), tasks(1, 1000), fixedSource(0)), qt.DeepEquals, []int{1})
}

func TestTasksWithoutRoomHaveNoAgent(t *testing.T) {
	qt.Assert(t, place.Choose(agents(3000, 1000), tasks(2, 2000), fixedSource(0)), qt.DeepEquals, []int{0, -1})
}

// A backend server that fails or stalls its tasks looks like the emptiest one, but must not be chosen first (gray failure).
func TestFailingAndSlowAgentsComeLast(t *testing.T) {
	list := agents(10000, 5000, 4000)
	list[0].Failing = 0.5
	list[1].Slow = 4
	qt.Assert(t, place.Choose(list, tasks(1, 2000), fixedSource(0)), qt.DeepEquals, []int{2})
}

func TestLabelsLimitsAndData(t *testing.T) {
	list := agents(10000, 8000, 8000)
	list[1].Labels = []string{"gpu", "r1"}
	list[2].Labels = []string{"gpu", "r2"}
	wanted := tasks(3, 1000)
	for i := range wanted {
		wanted[i].Requires, wanted[i].Near, wanted[i].Far, wanted[i].Limit = "gpu", "r2", 3, 1
	}
	qt.Assert(t, place.Choose(list, wanted, fixedSource(0)), qt.DeepEquals, []int{2, 1, -1})
}

// A task that takes three times as long away from its data waits for a busy rack.
func TestTaskThatMayOnlyRunNearItsDataWaits(t *testing.T) {
	list := agents(1000, 10000)
	list[0].Labels = []string{"r1"}
	wanted := tasks(1, 2000)
	wanted[0].Near, wanted[0].Far, wanted[0].OnlyNear = "r1", 3, true
	qt.Assert(t, place.Choose(list, wanted, fixedSource(0)), qt.DeepEquals, []int{-1})
	wanted[0].OnlyNear = false
	qt.Assert(t, place.Choose(list, wanted, fixedSource(0)), qt.DeepEquals, []int{1})
}

func TestTaskAvoidsTheAgentThatFailedIt(t *testing.T) {
	wanted := tasks(1, 1000)
	wanted[0].Avoid = "a"
	qt.Assert(t, place.Choose(agents(10000, 2000), wanted, fixedSource(0)), qt.DeepEquals, []int{1})
}

// A quarter of the servers always works at half of the speed. A task that is in time there goes to the emptiest server, whichever it
// is; one that is late anyway, and one beside a server that has only now turned slow, goes to a fast one.
func TestSteadilySlowServersServeWhatIsInTimeThere(t *testing.T) {
	place1 := func(slow, steady, maxSlow float64) int {
		list := agents(10000, 5000)
		list[0].Slow, list[0].Steady = slow, steady
		wanted := tasks(1, 2000)
		wanted[0].MaxSlow = maxSlow
		return place.Choose(list, wanted, fixedSource(0))[0]
	}
	qt.Check(t, place1(2.2, 2.2, 2.5), qt.Equals, 0)
	qt.Check(t, place1(2.2, 2.2, 2), qt.Equals, 1)
	qt.Check(t, place1(2.2, 2.2, 0), qt.Equals, 1)
	qt.Check(t, place1(2.2, 1, 2.5), qt.Equals, 1)
	qt.Check(t, place1(4.4, 2.2, 5), qt.Equals, 1)
}
