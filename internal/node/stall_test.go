package node

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/event"
)

// Review case 6: an entry that had stood still began a job whose caller had left and sent it elsewhere; the end of the connection came a
// round trip behind the request.
func TestRequestOfAStandstillIsRefused(t *testing.T) {
	d := newTestDispatcher(t)
	d.after = func(time.Duration) <-chan time.Time {
		over := make(chan time.Time)
		close(over)
		return over
	}
	ours, theirs := net.Pipe()
	s := newSubmitting(t, d, theirs)
	idle := make(chan struct{}, 1)
	s.listener.onIdle = func() { idle <- struct{}{} }
	s.clock.set(1000)
	d.loop.clock = s.clock
	answered := func() {
		_, err := io.WriteString(ours, testRequest)
		qt.Assert(t, err, qt.IsNil)
		go func() { _, _ = ours.Read(make([]byte, 4096)) }()
		s.accept(t)
		<-idle
	}
	answered()

	d.loop.perform = func(event.Action) {}
	d.loop.resume = func() {}
	d.loop.last = 1500
	s.clock.set(4300)
	d.loop.dropStale(s.clock.Now(), nil)
	s.clock.set(s.clock.Now() + 300)
	_, err := io.WriteString(ours, testRequest)
	qt.Assert(t, err, qt.IsNil)
	select {
	case r := <-s.replies:
		qt.Check(t, r.Result, qt.Equals, disp.Refused)
	case <-d.loop.wake:
		t.Fatal("a request that may have been sent during the standstill was submitted")
	}
	go func() { _, _ = ours.Read(make([]byte, 4096)) }()
	<-idle
	// The caller has had an answer, so its next request is not one of the standstill.
	answered()
}

func TestSpanAfterAStandstillInWhichRequestsMayBeOld(t *testing.T) {
	const patience = 1500
	s := stall{}.next(10_000, 12_800)
	for name, c := range map[string]struct {
		now, since clock.Millis
		old        bool
	}{
		"answered after the standstill":       {now: 15_000, since: 12_900},
		"its caller still waits":              {now: 12_900, since: 11_500},
		"sent before the standstill":          {now: 13_000, since: 5000, old: true},
		"connected during the standstill":     {now: 13_000, since: 10_500, old: true},
		"the last time that it is sent again": {now: 12_800 + 2800 + 1000, since: 5000, old: true},
		"would have arrived":                  {now: 12_800 + 2800 + 1001, since: 5000},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, s.mayOutlast(c.now, c.since, patience), qt.Equals, c.old)
		})
	}
	qt.Check(t, stall{}.mayOutlast(20_000, 1, patience), qt.IsFalse)

	// A second standstill before what was sent during the first can have arrived.
	again := s.next(13_000, 13_600)
	qt.Check(t, again.mayOutlast(13_600+3600+1000, 5000, patience), qt.IsTrue)
	qt.Check(t, s.next(30_000, 30_500).mayOutlast(31_900, 5000, patience), qt.IsTrue)
	qt.Check(t, s.next(30_000, 30_500).mayOutlast(31_400, 5000, patience), qt.IsFalse)
}
