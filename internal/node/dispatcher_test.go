package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/meter"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/room"
)

const (
	testPatience = 1500 * clock.Millis(1)
	testRequest  = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
)

var testJob = disp.Job{
	ID: "j", Queue: "q", Service: "s", Timeout: testPatience, Stretch: 1.6, SLO: 60,
	Steps: []disp.Step{{Count: 1, Need: room.Resources{CPU: 1000}, Estimate: 60}},
}

// newTestDispatcher returns a dispatcher whose control thread doesn't run: what is pushed stays in the queue of its loop.
func newTestDispatcher(t *testing.T) *Dispatcher {
	m, err := meter.New("e")
	qt.Assert(t, err, qt.IsNil)
	cfg := conf.DefaultDispatcher()
	cfg.Name = "e"
	d := NewDispatcher(cfg, "1", 1, logr.Discard(), m)
	d.loop.clock = &fakeClock{}
	d.after = func(wait time.Duration) <-chan time.Time {
		t.Errorf("the request had to wait %v", wait)
		return nil
	}
	return d
}

// submitting serves one connection and submits testJob with each request on it.
type submitting struct {
	dispatcher *Dispatcher
	clock      *fakeClock
	socket     *oneListener
	listener   *Listener
	replies    chan disp.Reply
}

func newSubmitting(t *testing.T, d *Dispatcher, nc net.Conn) *submitting {
	s := &submitting{
		dispatcher: d, clock: &fakeClock{}, replies: make(chan disp.Reply, 1),
		socket: &oneListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})},
	}
	s.listener = serve(s.socket, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		s.replies <- d.Submit(r.Context(), testJob)
	}), s.clock)
	t.Cleanup(func() {
		qt.Check(t, s.listener.server.Close(), qt.IsNil)
		_ = s.socket.Close()
	})
	s.socket.conns <- nc
	return s
}

// accept submits the next pushed job and completes it.
func (s *submitting) accept(t *testing.T) {
	<-s.dispatcher.loop.wake
	pushed := s.dispatcher.loop.waiting()
	qt.Assert(t, pushed, qt.HasLen, 1)
	s.dispatcher.reply(disp.Reply{Ticket: pushed[0].(disp.Submit).Ticket, Result: disp.Completed})
	qt.Check(t, (<-s.replies).Result, qt.Equals, disp.Completed)
}

// Found in review (review/4): a request that was held up by a cut was acted on though the end of its connection had arrived with it.
func TestRequestWhoseCallerHasLeftIsNotSubmitted(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, socket.Close(), qt.IsNil) }()
	ours, err := net.Dial("tcp", socket.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	theirs, err := socket.Accept()
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(ours, testRequest)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ours.Close(), qt.IsNil)
	awaitEnd(t, theirs)

	d := newTestDispatcher(t)
	s := newSubmitting(t, d, theirs)
	qt.Check(t, (<-s.replies).Result, qt.Equals, disp.Unknown)
	qt.Check(t, d.loop.waiting(), qt.HasLen, 0)
}

// awaitEnd waits until the peer's end of a connection has arrived.
func awaitEnd(t *testing.T, nc net.Conn) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, -1)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, 1)
	})
	qt.Assert(t, err, qt.IsNil)
}

// Found in review (review/4): the end of the connection arrived just after a request that had been held up, which was acted on.
func TestHeldUpRequestWaitsForTheEndOfItsConnection(t *testing.T) {
	for _, left := range []bool{true, false} {
		t.Run(fmt.Sprintf("left=%v", left), func(t *testing.T) {
			d := newTestDispatcher(t)
			waits := make(chan time.Duration, 1)
			over := make(chan time.Time, 1)
			d.after = func(wait time.Duration) <-chan time.Time {
				waits <- wait
				return over
			}
			ours, theirs := net.Pipe()
			s := newSubmitting(t, d, theirs)
			writeAfter(t, s, ours, slowFirst)
			select {
			case wait := <-waits:
				qt.Check(t, wait, qt.Equals, firstEndWait)
			case <-d.loop.wake:
				t.Fatal("submitted without a wait for the end of the connection")
			}
			if !left {
				over <- time.Time{}
				s.accept(t)
				return
			}
			qt.Assert(t, ours.Close(), qt.IsNil)
			qt.Check(t, (<-s.replies).Result, qt.Equals, disp.Unknown)
			qt.Check(t, d.loop.waiting(), qt.HasLen, 0)
		})
	}
}

// writeAfter writes a request of which all but the first byte comes after a pause.
func writeAfter(t *testing.T, s *submitting, c net.Conn, pause clock.Millis) {
	_, err := io.WriteString(c, testRequest[:1])
	qt.Assert(t, err, qt.IsNil)
	s.clock.set(s.clock.Now() + pause)
	_, err = io.WriteString(c, testRequest[1:])
	qt.Assert(t, err, qt.IsNil)
}

// A request that can't be as old as its caller waits is not delayed, and a later one on the same connection only for a short time.
func TestOrdinaryRequestsAreSubmittedAtOnce(t *testing.T) {
	d := newTestDispatcher(t)
	ours, theirs := net.Pipe()
	s := newSubmitting(t, d, theirs)
	idle := make(chan struct{}, 1)
	s.listener.onIdle = func() { idle <- struct{}{} }
	answered := func() {
		go func() { _, _ = ours.Read(make([]byte, 4096)) }()
		s.accept(t)
		<-idle
	}
	writeAfter(t, s, ours, slowFirst-1)
	answered()
	writeAfter(t, s, ours, testPatience-1)
	answered()

	waits := make(chan time.Duration, 1)
	over := make(chan time.Time, 1)
	over <- time.Time{}
	d.after = func(wait time.Duration) <-chan time.Time {
		waits <- wait
		return over
	}
	writeAfter(t, s, ours, testPatience)
	answered()
	qt.Assert(t, waits, qt.HasLen, 1)
	qt.Check(t, <-waits, qt.Equals, laterEndWait)
}

// A caller that leaves while its job waits for the control thread leaves no orders behind.
func TestJobOfACallerThatHasLeftIsNotPlaced(t *testing.T) {
	d := newTestDispatcher(t)
	var sent []proto.Message
	var notes []event.Note
	const now = 100
	d.loop.clock = &fakeClock{now: now}
	d.loop.take = nil
	d.loop.perform = func(a event.Action) {
		switch a := a.(type) {
		case event.Send:
			sent = append(sent, a.Message)
		case event.Note:
			notes = append(notes, a)
		}
	}
	total := room.Resources{CPU: 16000, MemMB: 65536}
	d.loop.handleAll([]event.Event{
		event.SessionUp{Peer: "a/1", Role: proto.RoleAgent},
		event.Received{From: "a/1", Message: proto.Message{Report: &proto.Report{
			Echo: now, Free: total, Accepting: true, Settled: true, Facts: &proto.Facts{Agent: "a/1", Service: "s", Total: total}, Inventory: &proto.Inventory{},
		}}},
	})
	sent, notes = nil, nil

	ctx, cancel := context.WithCancel(context.Background())
	replied := make(chan disp.Reply)
	go func() { replied <- d.Submit(ctx, testJob) }()
	<-d.loop.wake
	cancel()
	qt.Assert(t, (<-replied).Result, qt.Equals, disp.Unknown)
	d.loop.handleAll(d.loop.waiting())
	qt.Check(t, sent, qt.HasLen, 0)
	qt.Check(t, notes, qt.DeepEquals, []event.Note{{Name: "request_abandoned", Job: "j", Class: "q"}})

	ticket, _ := d.ticket()
	d.loop.handleAll([]event.Event{disp.Submit{Ticket: ticket, Job: testJob}})
	qt.Assert(t, sent, qt.HasLen, 1)
	qt.Check(t, sent[0].Orders.Begins, qt.HasLen, 1)
}

// A cancel that waited while the process was suspended was answered as if its job did not exist.
func TestStaleCancelIsNotAnsweredAsNotFound(t *testing.T) {
	d := &Dispatcher{waiting: map[uint64]chan disp.Reply{}}
	ticket, ch := d.ticket()
	d.stale(disp.Cancel{Ticket: ticket, ID: "1"})
	qt.Assert(t, <-ch, qt.Equals, disp.Reply{Ticket: ticket, Result: disp.Unknown})
}
