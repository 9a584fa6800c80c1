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
	// thawGrace is the time after such a pause during which new requests are turned away, in milliseconds.
	thawGrace = 250 * clock.Millis(1)
)

// Machine is a state machine without input or output.
type Machine interface {
	Handle(now clock.Millis, ev event.Event) []event.Action
}

// Loop is the control thread of a process.
type Loop struct {
	clock   clock.Clock
	machine Machine
	// perform carries out one action.
	perform func(a event.Action)
	// take is told of each event before the machine handles it.
	take func(ev event.Event)
	// stale handles an event that waited while the process was frozen.
	stale func(ev event.Event)
	// thaw closes every session after the process was frozen.
	thaw func()
	// faulted is told of an event whose handling ended in a fault of the program, after which the machine goes on; without it,
	// and after mostFaults, the process ends.
	faulted func(ev event.Event, fault string)
	faults  int
	// gap is the pause after which waiting input counts as stale, in milliseconds; every is the time between ticks.
	gap   clock.Millis
	every time.Duration

	mu     sync.Mutex
	space  *sync.Cond
	queue  []event.Event
	wake   chan struct{}
	last   clock.Millis
	thawed clock.Millis
	ended  bool
}

// NewLoop creates a control thread that has not started.
func NewLoop(c clock.Clock, m Machine) *Loop {
	l := &Loop{clock: c, machine: m, wake: make(chan struct{}, 1), thawed: -thawGrace * 2, gap: StaleGap, every: tickEvery}
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

// Thawing reports whether the process was frozen a moment ago, so that new input may be old.
func (l *Loop) Thawing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now()-l.thawed < thawGrace
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

// mostFaults is the number of faults after which a process no longer trusts its state.
const mostFaults = 10

// decide lets the machine handle an event. A fault in it costs what the event was about, not the process.
func (l *Loop) decide(now clock.Millis, ev event.Event) (actions []event.Action) {
	defer func() {
		if l.faulted == nil || l.faults >= mostFaults {
			return
		}
		if fault := recover(); fault != nil {
			l.faults++
			l.faulted(ev, fmt.Sprintf("%v\n%s", fault, debug.Stack()))
		}
	}()
	return l.machine.Handle(now, ev)
}

// dropStale drops input that may have waited through a freeze and closes the sessions it came from.
func (l *Loop) dropStale(now clock.Millis, events []event.Event) {
	l.mu.Lock()
	l.thawed = now
	l.mu.Unlock()
	l.last = now
	l.thaw()
	for _, ev := range append(events, l.waiting()...) {
		switch ev.(type) {
		case event.Received, event.Tick:
		case event.SessionUp, event.SessionDown, event.TableDone, event.Stop, disp.Members, call:
			l.handle(now, ev)
		default:
			l.stale(ev)
		}
	}
}
