package disp

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// sentOrders returns the orders of the last event, by agent.
func (e *entryTest) sentOrders() map[shard.ID][]*proto.Orders {
	orders := map[shard.ID][]*proto.Orders{}
	for _, a := range e.out {
		if s, ok := a.(event.Send); ok {
			orders[s.To] = append(orders[s.To], s.Message.Orders)
		}
	}
	return orders
}

// cancelsSent returns the jobs of the cancels that the last event sent, by agent.
func (e *entryTest) cancelsSent() map[shard.ID][]string {
	cancels := map[shard.ID][]string{}
	for id, list := range e.sentOrders() {
		for _, o := range list {
			cancels[id] = append(cancels[id], o.Cancels...)
		}
		if len(cancels[id]) == 0 {
			delete(cancels, id)
		}
	}
	return cancels
}

// reportCancels sends a report with relayed cancels or answers to own ones.
func (e *entryTest) reportCancels(from shard.ID, cancels []proto.RelayedCancel, cancelled ...string) {
	r := e.reports[from]
	r.Facts, r.Inventory, r.Ends = nil, nil, nil
	r.Cancels, r.Cancelled = cancels, cancelled
	e.receive(from, r)
}

// reportInForce sends a report which says that own cancels are in force.
func (e *entryTest) reportInForce(from shard.ID, jobs ...string) {
	r := e.reports[from]
	r.Facts, r.Inventory, r.Ends = nil, nil, nil
	r.InForce = jobs
	e.receive(from, r)
}

var unknownID = jobOf(9, 1, 1000).ID

func TestCancelOfAnUnknownJobIsFoundByWayOfTheAgents(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.do(Cancel{Ticket: 1, ID: unknownID})
	qt.Assert(t, e.replies(), qt.HasLen, 0)
	qt.Assert(t, e.cancelsSent(), qt.DeepEquals, map[shard.ID][]string{"a1/1": {unknownID}, "a2/1": {unknownID}})
	e.do(Cancel{Ticket: 2, ID: unknownID})
	qt.Assert(t, e.cancelsSent(), qt.HasLen, 0)
	e.now += 20
	e.reportCancels("a2/1", nil, unknownID)
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 1, Result: Cancelled}, {Ticket: 2, Result: Cancelled}})
	e.reportCancels("a1/1", nil, unknownID)
	qt.Assert(t, e.replies(), qt.HasLen, 0)

	state, known := e.m.State(unknownID)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, state, qt.Equals, "cancelled")
	qt.Check(t, e.pass(1000, "a1/1", "a2/1"), qt.HasLen, 0)
}

func TestCancelThatNoDispatcherAnswersIsNotFound(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.do(Cancel{Ticket: 1, ID: unknownID})
	qt.Assert(t, e.pass(searchTimeout-10, "a1/1"), qt.HasLen, 0)
	e.reportInForce("a1/1", unknownID)
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 1, Result: NotFound}})
	_, known := e.m.State(unknownID)
	qt.Assert(t, known, qt.IsFalse)

	// The agents are asked again if the caller cancels again.
	e.do(Cancel{Ticket: 2, ID: unknownID})
	qt.Assert(t, e.cancelsSent(), qt.HasLen, 1)
	e.reportCancels("a1/1", nil, unknownID)
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 2, Result: Cancelled}})
}

// Several agents relay a cancel: the job ends once, and each of them gets the answer.
func TestRelayedCancelStopsTheRunsOfTheJob(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	j := jobOf(1, 2, 2000)
	e.submit(1, j)
	relayed := []proto.RelayedCancel{{Job: j.ID, Asker: "e2/1"}, {Job: unknownID, Asker: "e3/1"}}
	e.reportCancels("a2/1", relayed)
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 1, Result: Cancelled, RetryAfter: minRetryAfter}})
	halts := map[shard.ID]int{}
	for id, list := range e.sentOrders() {
		for _, o := range list {
			halts[id] += len(o.Halts)
		}
	}
	qt.Assert(t, halts, qt.DeepEquals, map[shard.ID]int{"a1/1": 1, "a2/1": 1})
	answers := e.sentOrders()["a2/1"]
	qt.Assert(t, answers[len(answers)-1].Cancelled, qt.DeepEquals, relayed[:1])

	for range 3 {
		e.reportCancels("a1/1", relayed)
		qt.Assert(t, e.replies(), qt.HasLen, 0)
		qt.Assert(t, e.sentOrders()["a2/1"], qt.HasLen, 0)
		qt.Assert(t, e.sentOrders()["a1/1"], qt.HasLen, 1)
		qt.Assert(t, e.sentOrders()["a1/1"][0].Cancelled, qt.DeepEquals, relayed[:1])
	}
	qt.Assert(t, len(e.m.recentOrder), qt.Equals, 2)
}

// The request of a job may arrive behind its cancel.
func TestRequestOfACancelledJobStartsNothing(t *testing.T) {
	j := jobOf(1, 1, 1000)
	cancels := map[string]func(e *entryTest){
		"relayed": func(e *entryTest) { e.reportCancels("a1/1", []proto.RelayedCancel{{Job: j.ID, Asker: "e2/1"}}) },
		"own":     func(e *entryTest) { e.do(Cancel{Ticket: 1, ID: j.ID}) },
	}
	for name, cancel := range cancels {
		t.Run(name, func(t *testing.T) {
			e := newEntryTest(t, "a1/1")
			cancel(e)
			e.submit(2, j)
			qt.Check(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 2, Result: Cancelled}})
			qt.Check(t, e.sentTasks(), qt.HasLen, 0)
			_, known := e.m.State(j.ID)
			qt.Check(t, known, qt.IsFalse)

			e.pass(resultRetention+20, "a1/1")
			e.submit(3, j)
			qt.Check(t, e.sentTasks(), qt.HasLen, 1)
		})
	}
}

// Callers often cancel jobs that have ended. A copy of the request may still arrive elsewhere, so the first cancel of a job asks the agents;
// repeated ones cost no messages while the result is remembered.
func TestRepeatedCancelOfAnEndedJobAsksNobody(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.submit(1, jobOf(1, 1, 1000))
	e.reportEnd("a1/1", taskName(0), proto.EndDone)
	e.do(Cancel{Ticket: 2, ID: jobOf(1, 1, 0).ID})
	qt.Check(t, e.replies(), qt.HasLen, 0)
	e.reportInForce("a1/1", jobOf(1, 1, 0).ID)
	qt.Check(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 2, Result: NotFound}})
	e.do(Cancel{Ticket: 3, ID: jobOf(1, 1, 0).ID})
	qt.Check(t, e.out, qt.DeepEquals, []event.Action{Reply{Ticket: 3, Result: NotFound}})

	e.submit(3, jobOf(2, 1, 1000))
	e.do(Cancel{Ticket: 4, ID: jobOf(2, 1, 0).ID})
	e.pass(searchInterval, "a1/1")
	e.reportInForce("a1/1", jobOf(2, 1, 0).ID)
	e.do(Cancel{Ticket: 5, ID: jobOf(2, 1, 0).ID})
	qt.Check(t, e.out, qt.DeepEquals, []event.Action{Reply{Ticket: 5, Result: Cancelled}})
}

// Load of cancels of unknown jobs: searches are bounded, and so are the messages to the agents.
func TestManyCancelsOfUnknownJobsAreBounded(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	replies, searches, messages := 0, 0, 0
	const rounds = 200
	for i := range rounds * 10 {
		id := fmt.Sprintf("%016x", i)
		e.do(Cancel{Ticket: uint64(i), ID: id})
		if e.m.searchFor(id) != nil {
			searches++
		}
		messages += len(e.cancelsSent())
		replies += len(e.replies())
		if i%10 == 9 {
			replies += len(e.pass(10, "a1/1"))
			messages += len(e.cancelsSent())
		}
	}
	replies += len(e.pass(2*searchTimeout, "a1/1"))
	periods := int(rounds * 10 / searchTimeout)
	qt.Check(t, replies, qt.Equals, rounds*10)
	qt.Check(t, searches <= (periods+1)*maxSearches, qt.IsTrue, qt.Commentf("%d", searches))
	qt.Check(t, searches >= periods*maxSearches, qt.IsTrue, qt.Commentf("%d", searches))
	qt.Check(t, messages <= rounds*10/int(searchInterval)+1, qt.IsTrue, qt.Commentf("%d messages", messages))
	qt.Check(t, len(e.m.known) <= proto.MaxCancels, qt.IsTrue)
}

// Only a search that has been made can say that a job doesn't exist.
func TestCancelThatCannotBeSearchedForIsNotAnsweredAsNotFound(t *testing.T) {
	e := newEntryTest(t)
	e.do(Cancel{Ticket: 1, ID: unknownID})
	qt.Check(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 1, Result: Unknown}})

	e.attach("a1/1")
	e.do(Cancel{Ticket: 2, ID: unknownID})
	e.out = e.m.Resume(e.now + 2000)
	qt.Check(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 2, Result: Unknown}})
}

func TestPlannedStopWaitsForSearches(t *testing.T) {
	e := newEntryTest(t, "a1/1")
	e.do(Cancel{Ticket: 1, ID: unknownID})
	e.do(event.Stop{})
	qt.Assert(t, e.pass(searchTimeout-10, "a1/1"), qt.HasLen, 0)
	qt.Assert(t, e.m.exited, qt.IsFalse)
	e.reportInForce("a1/1", unknownID)
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 1, Result: NotFound}})
	e.pass(clock.Millis(10), "a1/1")
	qt.Assert(t, e.m.exited, qt.IsTrue)
}

// spreadSent returns the jobs of the cancels that the last event told agents of, by agent.
func (e *entryTest) spreadSent() map[shard.ID][]string {
	spread := map[shard.ID][]string{}
	for id, list := range e.sentOrders() {
		for _, o := range list {
			for _, c := range o.Spread {
				spread[id] = append(spread[id], c.Job)
			}
		}
	}
	return spread
}

// Review case 8: the dispatcher that had a job told no other of its cancel, so that a copy of the request ran there.
func TestCancelIsSpreadWhateverBecameOfTheJob(t *testing.T) {
	j := jobOf(1, 1, 1000)
	before := map[string]func(e *entryTest){
		"runs here":      func(e *entryTest) { e.submit(1, j) },
		"completed here": func(e *entryTest) { e.submit(1, j); e.reportEnd("a1/1", taskName(0), proto.EndDone) },
		"not known here": func(*entryTest) {},
		"relayed":        func(e *entryTest) { e.reportCancels("a1/1", []proto.RelayedCancel{{Job: j.ID, Asker: "e2/1"}}) },
	}
	for name, do := range before {
		t.Run(name, func(t *testing.T) {
			e := newEntryTest(t, "a1/1", "a2/1")
			do(e)
			told := map[shard.ID]int{}
			count := func() {
				for id, ids := range e.spreadSent() {
					qt.Check(t, ids, qt.DeepEquals, []string{j.ID})
					told[id] += len(ids)
				}
			}
			count()
			if name != "relayed" {
				e.do(Cancel{Ticket: 2, ID: j.ID})
				count()
			}
			for range 20 {
				e.pass(10, "a1/1", "a2/1")
				count()
			}
			qt.Check(t, told, qt.DeepEquals, map[shard.ID]int{"a1/1": 1, "a2/1": 1})

			e.pass(5000, "a1/1", "a2/1")
			e.do(event.SessionUp{Peer: "a3/1", Role: proto.RoleAgent})
			qt.Check(t, e.spreadSent(), qt.DeepEquals, map[shard.ID][]string{"a3/1": {j.ID}})
			qt.Check(t, e.sentOrders()["a3/1"][0].Spread[0].AgeMS >= 5000, qt.IsTrue)

			e.pass(proto.CancelRetention-5000, "a1/1", "a2/1")
			e.do(event.SessionUp{Peer: "a4/1", Role: proto.RoleAgent})
			qt.Check(t, e.spreadSent(), qt.HasLen, 0)
		})
	}
}

// Review case 9: a cancel was answered as not found although the dispatcher that had the job could not be told.
func TestCancelIsNotFoundOnlyOnceItIsInForce(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	e.do(Cancel{Ticket: 1, ID: unknownID})
	e.now += 50
	e.reportInForce("a1/1", unknownID)
	qt.Assert(t, e.replies(), qt.HasLen, 0)
	e.reportInForce("a2/1", unknownID)
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 1, Result: NotFound}})

	e.do(Cancel{Ticket: 2, ID: unknownID})
	e.pass(searchInterval, "a1/1", "a2/1")
	e.reportInForce("a1/1", unknownID)
	qt.Assert(t, e.pass(searchTimeout-searchInterval, "a1/1", "a2/1"), qt.DeepEquals, []Reply{{Ticket: 2, Result: Unknown}})
}

// Review case 9: the jobs of a dispatcher that was cut off went on when the cut healed, though they had been cancelled elsewhere.
func TestCutOffDispatcherGivesUpItsJobs(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	j := jobOf(1, 2, 1000)
	j.Steps[0].Estimate, j.Timeout = 4000, 15_000
	e.submit(1, j)
	e.pass(200, "a1/1", "a2/1")
	const runsOver = 400 + 800 + 800/clockSlackDivisor
	qt.Assert(t, e.pass(runsOver), qt.HasLen, 0)
	qt.Assert(t, e.pass(20), qt.HasLen, 1)
	e.attach("a1/1")
	e.attach("a2/1")
	qt.Assert(t, e.sentTasks(), qt.HasLen, 0)
}

// A dispatcher that has not reached any agent yet keeps its jobs: the first report tells it of all cancels.
func TestDispatcherThatStartsKeepsItsJobs(t *testing.T) {
	e := newEntryTest(t)
	j := jobOf(1, 1, 1000)
	j.Steps[0].Estimate, j.Timeout = 8000, 30_000
	e.submit(1, j)
	e.pass(2000)
	e.attach("a1/1")
	qt.Assert(t, e.sentTasks(), qt.DeepEquals, map[shard.ID]int{"a1/1": 1})
}

// An entry that was cut off answered the cancel of its job with success and was killed: nobody else knew of the cancel.
func TestCancelOfAnOwnJobIsAnsweredOnceItIsInForce(t *testing.T) {
	e := newEntryTest(t, "a1/1", "a2/1")
	j := jobOf(1, 1, 1000)
	e.submit(1, j)
	e.do(Cancel{Ticket: 2, ID: j.ID})
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 1, Result: Cancelled, RetryAfter: minRetryAfter}})
	qt.Assert(t, e.cancelsSent(), qt.DeepEquals, map[shard.ID][]string{"a1/1": {j.ID}, "a2/1": {j.ID}})
	e.reportInForce("a1/1", j.ID)
	qt.Assert(t, e.replies(), qt.HasLen, 0)
	e.reportInForce("a2/1", j.ID)
	qt.Assert(t, e.replies(), qt.DeepEquals, []Reply{{Ticket: 2, Result: Cancelled}})

	e.submit(3, jobOf(2, 1, 1000))
	e.do(Cancel{Ticket: 4, ID: jobOf(2, 1, 0).ID})
	qt.Assert(t, e.pass(searchTimeout), qt.DeepEquals, []Reply{{Ticket: 4, Result: Unknown}})
}
