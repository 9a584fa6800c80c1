package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the operators' pages for a small deployment.
const (
	deadline     = 1500 * time.Millisecond
	cancelBound  = 3 * time.Second
	contact      = 3 * time.Second
	grace        = 6 * time.Second
	graceSlack   = time.Second
	taskEstimate = 900
	taskCPU      = 3100
	taskCount    = 4
)

// copied is the one of the cancelled jobs of which a copy of the request arrives: that is occasional.
const copied = 2

// cancelCase cancels jobs and lets a copy of one of the requests arrive seconds after its answer.
func cancelCase(w *world, trouble bool) error {
	if err := w.deploy(3, "a", "a", "b", "a", "a", "b"); err != nil {
		return err
	}
	const jobs = 5
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.cancelOne(i, trouble && i == copied)
		}()
		time.Sleep(1200 * time.Millisecond)
	}
	wg.Wait()
	return nil
}

func (w *world) cancelOne(i int, trouble bool) {
	id, body := newID(), jobBody(taskCount, taskCPU, taskEstimate, "")
	first, other := w.entries[i%len(w.entries)], w.entries[(i+1)%len(w.entries)]
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		w.ask(first, http.MethodPost, id, body, deadline)
	}()
	time.Sleep(300 * time.Millisecond)
	status, _ := w.ask(first, http.MethodDelete, id, nil, deadline)
	acked := time.Now()
	<-answered
	if status != http.StatusOK {
		w.notef("%s was not cancelled: %d", id, status)
		return
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.notef("a copy of the request for %s arrives at another entry", id)
		w.ask(other, http.MethodPost, id, body, deadline)
	}
	time.Sleep(time.Second)
	late := 0
	for _, r := range w.runners {
		for _, s := range r.startsOf(id) {
			if s.at.Sub(acked) > cancelBound {
				late++
			}
		}
	}
	if late > 0 {
		w.breakf("UNASKED: %d tasks of %s were started more than %v after its cancelling was acknowledged", late, id, cancelBound)
	}
}

// drainCase stops an entry while clients have connections to it on which they have sent nothing yet.
func drainCase(w *world, trouble bool) error {
	if err := w.deploy(2, "a", "a", "b", "a", "a", "b"); err != nil {
		return err
	}
	e := w.entries[0]
	conns := make([]net.Conn, 5)
	for i := range conns {
		c, err := net.Dial("tcp", e.front)
		if err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		conns[i] = c
		w.notef("client %d opens a connection to %s", i, e.name)
	}
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	if trouble {
		w.signal(e.process, syscall.SIGTERM)
		go func() {
			select {
			case <-e.exited:
			case <-time.After(grace):
				w.signal(e.process, syscall.SIGKILL)
			}
		}()
	}
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(begin.Add(4700*time.Millisecond + time.Duration(i)*100*time.Millisecond)))
			w.firstRequest(i, c, e, begin)
		}()
	}
	wg.Wait()
	return nil
}

// firstRequest sends the first request on a connection, and checks that it gets a whole answer if it was passed on to a runner.
func (w *world) firstRequest(i int, c net.Conn, e *entry, begin time.Time) {
	defer func() { _ = c.Close() }()
	id, body := newID(), jobBody(taskCount, taskCPU, taskEstimate, "")
	var q bytes.Buffer
	fmt.Fprintf(&q, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		prefix, id, host, deadline.Milliseconds(), len(body))
	q.Write(body)
	sent := time.Now()
	if _, err := c.Write(q.Bytes()); err != nil {
		w.notef("client %d can't send: %v", i, plain(err))
		return
	}
	w.notef("sent: POST %s by client %d to %s, %d ms after the stop began", id, i, e.name, sent.Sub(begin).Milliseconds())
	_ = c.SetReadDeadline(sent.Add(deadline))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	var text strings.Builder
	if err == nil {
		defer func() { _ = a.Body.Close() }()
		_, err = fmt.Fprint(&text, a.StatusCode, " ")
		if err == nil {
			_, err = bufio.NewReader(a.Body).WriteTo(&text)
		}
	}
	ended := time.Now()
	if err == nil {
		w.notef("answered: POST %s to client %d: %s", id, i, text.String())
		return
	}
	w.notef("client %d: the connection ends without an answer, %d ms after the request was sent: %v", i, ended.Sub(sent).Milliseconds(), plain(err))
	starts := 0
	for _, r := range w.runners {
		starts += len(r.startsOf(id))
	}
	if starts > 0 && ended.Sub(sent) < deadline && ended.Sub(begin) < grace+graceSlack {
		w.breakf("LOST: the connection of client %d ended without an answer, after %d tasks of %s had been passed on to runners", i, starts, id)
	}
}

// The times of a cut after it has begun.
const (
	cutRestart = 150 * time.Millisecond
	cutRequest = 200 * time.Millisecond
	cutHeal    = 450 * time.Millisecond
)

// kindCase cuts a worker off for a moment, behind which its runner crashes and starts again as another kind. A job arrives
// meanwhile that must run on the kind that the runner was of.
func kindCase(w *world, trouble bool) error {
	if err := w.deploy(2, "b", "a", "b", "b", "b", "b"); err != nil {
		return err
	}
	r := w.runners[1]
	for round := range 5 {
		if trouble {
			w.setCut(r.links, true)
			w.notef("the worker of runner %d is cut off", r.index)
			go func() {
				if err := r.crash(cutRestart, "b"); err != nil {
					w.notef("runner %d can't start again: %v", r.index, err)
				}
			}()
		}
		time.Sleep(cutRequest)
		id, answered := newID(), make(chan struct{})
		go func() {
			defer close(answered)
			w.ask(w.entries[round%len(w.entries)], http.MethodPost, id, jobBody(1, taskCPU, taskEstimate, "a"), deadline)
		}()
		time.Sleep(cutHeal - cutRequest)
		if trouble {
			w.setCut(r.links, false)
			w.notef("the cut heals")
		}
		<-answered
		for _, other := range w.runners {
			for _, s := range other.startsOf(id) {
				if s.kind != "a" {
					w.breakf("ROUTE: %s requires the label a and was started on a runner of kind %s", s.task, s.kind)
				}
			}
		}
		time.Sleep(6 * time.Second)
		if trouble {
			if err := r.crash(cutRestart, "a"); err != nil {
				return fmt.Errorf("%w: %w", errSetup, err)
			}
			time.Sleep(4 * time.Second)
		}
	}
	return nil
}

func (w *world) setCut(links []*link, cut bool) {
	for _, l := range links {
		l.setCut(cut)
	}
}

// The times of the case of a cancel behind a cut.
const (
	cutEntry      = 5 * time.Second
	longTask      = 4 * time.Second
	longDeadline  = 15 * time.Second
	afterSettling = 4 * time.Second
)

// awayCase cuts an entry off from all workers while it has a job, and cancels the job at another entry.
func awayCase(w *world, trouble bool) error {
	if err := w.deploy(2, "a", "a", "b", "a", "a", "b"); err != nil {
		return err
	}
	for _, r := range w.runners {
		r.work = longTask
	}
	for round := range 3 {
		w.awayOnce(round, trouble)
		time.Sleep(afterSettling)
	}
	return nil
}

func (w *world) awayOnce(round int, trouble bool) {
	holder, other := round%2, (round+1)%2
	var links []*link
	for _, r := range w.runners {
		links = append(links, r.links[holder])
	}
	id, body := newID(), stepsBody(int(longTask.Milliseconds()))
	answered := make(chan struct{})
	begin := time.Now()
	go func() {
		defer close(answered)
		w.ask(w.entries[holder], http.MethodPost, id, body, longDeadline)
	}()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.setCut(links, true)
		w.notef("%s is cut off from the workers", w.entries[holder].name)
	}
	time.Sleep(500 * time.Millisecond)
	status, _ := w.ask(w.entries[other], http.MethodDelete, id, nil, deadline)
	acked := time.Now()
	// A machine is in touch again when nothing has disturbed it for the whole of contact.
	inTouch := acked
	if trouble {
		time.Sleep(time.Until(begin.Add(500*time.Millisecond + cutEntry)))
		w.setCut(links, false)
		w.notef("the cut of %s heals", w.entries[holder].name)
		inTouch = time.Now().Add(contact)
	}
	<-answered
	if status != http.StatusOK && status != http.StatusGone {
		w.notef("the cancelling of %s was not acknowledged", id)
		return
	}
	late := 0
	for _, r := range w.runners {
		for _, s := range r.startsOf(id) {
			if s.at.Sub(acked) > cancelBound && s.at.After(inTouch) {
				late++
				w.notef("%s was started %d ms after the cancelling was acknowledged", s.task, s.at.Sub(acked).Milliseconds())
			}
		}
	}
	if late > 0 {
		w.breakf("UNASKED: %d tasks of %s were started more than %v after its cancelling was acknowledged with %d, by machines in touch", late, id, cancelBound, status)
	}
}
