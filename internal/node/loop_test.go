package node

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
)

// fakeClock is set by a test while servers read it.
type fakeClock struct {
	mu  sync.Mutex
	now clock.Millis
}

func (c *fakeClock) Now() clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) set(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
}

type fakeMachine struct {
	handled []event.Event
}

func (m *fakeMachine) Handle(_ clock.Millis, ev event.Event) []event.Action {
	m.handled = append(m.handled, ev)
	return nil
}

// Input that waited while the process was frozen may be older than ids are remembered: it is not handled.
func TestThawedProcessDropsOldInput(t *testing.T) {
	c := &fakeClock{}
	m := &fakeMachine{}
	var stale []event.Event
	thawed := 0
	l := NewLoop(c, m)
	l.stale = func(ev event.Event) { stale = append(stale, ev) }
	l.resume = func() { thawed++ }
	l.handleAll([]event.Event{event.Received{From: "e1"}})
	qt.Assert(t, m.handled, qt.HasLen, 1)

	c.set(StaleGap + 1)
	l.Push(entry.Submit{Ref: 2})
	l.handleAll([]event.Event{event.Received{From: "e1"}, entry.Submit{Ref: 1}, event.SessionDown{Peer: "e1"}})
	qt.Check(t, thawed, qt.Equals, 1)
	qt.Check(t, l.Resuming(), qt.IsTrue)
	qt.Check(t, stale, qt.DeepEquals, []event.Event{entry.Submit{Ref: 1}, entry.Submit{Ref: 2}})
	qt.Check(t, m.handled[1:], qt.DeepEquals, []event.Event{event.SessionDown{Peer: "e1"}})

	c.set(c.Now() + resumeGrace)
	qt.Check(t, l.Resuming(), qt.IsFalse)
}

// faultyMachine fails on messages.
type faultyMachine struct {
	fakeMachine
}

func (m *faultyMachine) Handle(now clock.Millis, ev event.Event) []event.Action {
	if _, ok := ev.(event.Received); ok {
		panic("index out of range")
	}
	return m.fakeMachine.Handle(now, ev)
}

// A message whose handling fails costs the session that it came with, not the process; a process that fails again and again ends,
// since its state can't be trusted.
func TestFaultCostsOneSessionOnly(t *testing.T) {
	m := &faultyMachine{}
	var faulted []event.Event
	l := NewLoop(&fakeClock{}, m)
	l.faulted = func(ev event.Event, _ string) { faulted = append(faulted, ev) }
	l.handleAll([]event.Event{event.Received{From: "a1"}, event.SessionDown{Peer: "a1"}})
	qt.Check(t, faulted, qt.DeepEquals, []event.Event{event.Received{From: "a1"}})
	qt.Check(t, m.handled, qt.DeepEquals, []event.Event{event.SessionDown{Peer: "a1"}})

	for range maxFaults - 1 {
		l.handleAll([]event.Event{event.Received{From: "a1"}})
	}
	qt.Check(t, func() { l.handleAll([]event.Event{event.Received{From: "a1"}}) }, qt.PanicMatches, "index out of range")
}
