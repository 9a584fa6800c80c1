package node

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/event"
)

const (
	// tickEvery is the time between ticks of a state machine.
	tickEvery = 10 * time.Millisecond
	// inboxLimit is the number of waiting events above which traffic is held back.
	inboxLimit = 50_000
	// StaleGap is the pause of the control thread after which waiting input counts as stale, in milliseconds.
	StaleGap = 2 * clock.Second
	// resumeGrace is the time after such a pause during which new requests are turned away, in milliseconds.
	resumeGrace = 250 * clock.Millis(1)
)

// Machine is a state machine without input or output.
type Machine interface {
	Handle(now clock.Millis, ev event.Event) []event.Action
}

// Loop is the control thread of a process: it hands events to the state machine and carries out the actions.
type Loop struct {
	clock   clock.Clock
	machine Machine
	// perform carries out one action.
	perform func(a event.Action)
	// take is called with each event before the machine handles it.
	take func(ev event.Event)
	// stale handles an event that waited while the process was suspended.
	stale func(ev event.Event)
	// resume closes every session after the process was suspended.
	resume func()
	// faulted is called with an event whose handling panicked; the machine goes on. Without it, and after maxFaults, the process ends.
	faulted func(ev event.Event, fault string)
	faults  int
	// gap is the pause after which waiting input counts as stale, in milliseconds; every is the time between ticks.
	gap   clock.Millis
	every time.Duration

	mu        sync.Mutex
	space     *sync.Cond
	queue     []event.Event
	wake      chan struct{}
	last      clock.Millis
	resumedAt clock.Millis
	// stall is the last standstill of the process.
	stall stall
	ended bool
}

// NewLoop creates a control thread that has not started.
func NewLoop(c clock.Clock, m Machine) *Loop {
	l := &Loop{clock: c, machine: m, wake: make(chan struct{}, 1), resumedAt: -resumeGrace * 2, gap: StaleGap, every: tickEvery}
	l.space = sync.NewCond(&l.mu)
	return l
}

// Push adds an event.
func (l *Loop) Push(ev event.Event) {
	l.mu.Lock()
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Ready blocks while too many events wait.
func (l *Loop) Ready() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > inboxLimit && !l.ended {
		l.space.Wait()
	}
}

// Resuming reports whether the process was suspended until a moment ago, so that new input may have waited in sockets.
func (l *Loop) Resuming() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now()-l.resumedAt < resumeGrace
}

// lastStall returns the last standstill of the process.
func (l *Loop) lastStall() stall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stall
}

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	defer l.end()
	l.last = l.clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			l.handleAll(l.waiting())
		case <-ticker.C:
			l.handleAll(append(l.waiting(), event.Tick{}))
		}
	}
}

func (l *Loop) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.space.Broadcast()
}

func (l *Loop) waiting() []event.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	l.space.Broadcast()
	return queue
}

func (l *Loop) handleAll(events []event.Event) {
	for i, ev := range events {
		now := l.clock.Now()
		if now-l.last > l.gap {
			l.dropStale(now, events[i:])
			return
		}
		l.last = now
		l.handle(now, ev)
	}
}

// Do runs a function on the control thread and waits for it.
func (l *Loop) Do(f func(now clock.Millis)) {
	done := make(chan struct{})
	l.Push(call{f: f, done: done})
	<-done
}

type call struct {
	f    func(now clock.Millis)
	done chan struct{}
}

func (l *Loop) handle(now clock.Millis, ev event.Event) {
	if c, ok := ev.(call); ok {
		c.f(now)
		close(c.done)
		return
	}
	if l.take != nil {
		l.take(ev)
	}
	for _, a := range l.decide(now, ev) {
		l.perform(a)
	}
}

// maxFaults is the number of panics after which a process no longer trusts its state.
const maxFaults = 10

// decide lets the machine handle an event. A panic fails the request or session that the event belongs to, not the process.
func (l *Loop) decide(now clock.Millis, ev event.Event) (actions []event.Action) {
	defer func() {
		if l.faulted == nil || l.faults >= maxFaults {
			return
		}
		if fault := recover(); fault != nil {
			l.faults++
			l.faulted(ev, fmt.Sprintf("%v\n%s", fault, debug.Stack()))
		}
	}()
	return l.machine.Handle(now, ev)
}

// dropStale drops input that may have waited while the process was suspended and closes the sessions it came from.
func (l *Loop) dropStale(now clock.Millis, events []event.Event) {
	l.mu.Lock()
	l.resumedAt = now
	l.stall = l.stall.next(l.last, now)
	l.mu.Unlock()
	l.last = now
	l.resume()
	for _, ev := range append(events, l.waiting()...) {
		switch ev.(type) {
		case event.Received, event.Tick:
		case event.SessionUp, event.SessionDown, event.TableDone, event.Stop, disp.Members, disp.Closing, call:
			l.handle(now, ev)
		default:
			l.stale(ev)
		}
	}
}
