package trial

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
)

// cutOff severs two parts in both directions for a while.
func (w *world) cutOff(a, b string, d clock.Millis) {
	w.cuts[cut{a, b}] = w.now + d
	w.cuts[cut{b, a}] = w.now + d
}

// An owner is cut off from the table, from its successor, from some of the agents, and from each pair of these, while
// copies of its jobs arrive everywhere; the table fails meanwhile or does not.
func TestOwnerCutFromEachPairOfParts(t *testing.T) {
	parts := [][]string{{tableName}, {"e1"}, {"a0", "a1"}}
	for i := range parts {
		for k := i; k < len(parts); k++ {
			for _, outage := range []clock.Millis{0, 5000} {
				t.Run(fmt.Sprint(parts[i], parts[k], " table down ", outage), func(t *testing.T) {
					c, w := session(t, 3, 3)
					for _, name := range append(append([]string{}, parts[i]...), parts[k]...) {
						w.cutOff("e0", name, 9000)
					}
					w.down = w.now + outage
					w.submitEverywhere(12)
					w.run(20_000)
					w.heldAll(c)
				})
			}
		}
	}
}

// submitEverywhere sends jobs that the first entry owns to all entries, again and again, for a number of seconds.
func (w *world) submitEverywhere(seconds int) {
	e0 := w.proc("e0")
	var jobs []proto.Job
	for range (seconds + 1) / 2 {
		jobs = append(jobs, w.owned(e0, order, 300, 700))
	}
	for s := range seconds {
		for _, name := range []string{"e0", "e1", "e2"} {
			w.submit(w.proc(name), jobs[s/2])
		}
		w.run(1000)
	}
}

// Copies of one job arrive at all entries in the same instant.
func TestCopiesAtTheSameInstant(t *testing.T) {
	c, w := session(t, 3, 3)
	j := w.owned(w.proc("e1"), order, 100, 200)
	for range 5 {
		for _, name := range []string{"e0", "e1", "e2"} {
			w.submit(w.proc(name), j)
		}
	}
	w.run(1000)
	for _, x := range w.copies {
		c.Check(x.status(), qt.Equals, proto.StatusComplete)
	}
	c.Assert(w.started[j.Key], qt.Equals, 2)
}

// An agent dies with started tasks: what may be repeated is done elsewhere, the rest fails as unknown, in good time.
func TestAgentDiesWithStartedTasks(t *testing.T) {
	c, w := session(t, 2, 2)
	e0 := w.proc("e0")
	once := w.submit(e0, w.owned(e0, order, 2000, 2000, 2000, 2000, 2000, 2000))
	again := w.submit(e0, w.owned(e0, check, 900, 900))
	w.run(300)
	w.proc("a0").kill()
	w.addAgent("a0")
	w.run(6000)
	c.Assert(once.answer.Status, qt.Equals, proto.StatusFailed)
	c.Assert(once.answer.Run, qt.Not(qt.Equals), proto.RanNo)
	c.Assert(again.status(), qt.Equals, proto.StatusComplete)
	w.heldAll(c)
}

// Answers that come late, doubled and out of order change nothing.
func TestLateAndDoubledResults(t *testing.T) {
	c, w := session(t, 2, 2)
	e0 := w.proc("e0")
	j := w.owned(e0, order, 100, 300)
	answer := w.submit(e0, j)
	w.run(350)
	for _, name := range []string{"a0", "a1", "a0"} {
		late := proto.Result{
			Shard: e0.entryShard(j), Key: j.Key, Digest: j.Digest,
			Outcomes: []proto.Outcome{
				{Index: 1, Attempt: 9, State: proto.StateFailed},
				{Index: 0, Attempt: 1, State: proto.StateDone, Output: []byte("forged")},
			},
		}
		e0.handle(received(string(w.proc(name).id), proto.Message{Result: &late}))
	}
	again := w.submit(w.proc("e1"), j)
	w.run(500)
	c.Assert(answer.status(), qt.Equals, proto.StatusComplete)
	c.Assert(again.status(), qt.Equals, proto.StatusComplete)
	c.Assert(w.started[j.Key], qt.Equals, 2)
	w.heldAll(c)
}
