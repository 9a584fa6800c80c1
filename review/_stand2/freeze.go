package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// resendAfter is the time after which a client without an answer sends its job again.
	resendAfter = 1300 * time.Millisecond
	// freezeTime is how long the machine of an entry stands still; the sheet gives 4 s.
	freezeTime = 2800 * time.Millisecond
)

// freezeCase freezes the machine of an entry while a client sends a job on a connection that it has used before. The client has no
// answer, leaves, and sends the job again to another entry.
func freezeCase(w *world, trouble bool) error {
	if err := w.deploy(2, "a", "a", "b", "a", "a", "b"); err != nil {
		return err
	}
	for round := range 5 {
		if err := w.freezeOnce(round, trouble); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	return nil
}

func (w *world) freezeOnce(round int, trouble bool) error {
	e, other := w.entries[round%2], w.entries[(round+1)%2]
	p, err := w.newPath(e.front)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	defer func() { _ = c.Close() }()
	if !w.post(c, e, newID(), time.Now().Add(deadline)) {
		return fmt.Errorf("%w: the first job got no answer", errSetup)
	}
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	if trouble {
		w.notef("the machine of %s freezes", e.name)
		p.setFrozen(true)
		w.signal(e.process, syscall.SIGSTOP)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(freezeTime)
			w.signal(e.process, syscall.SIGCONT)
			p.setFrozen(false)
			w.notef("the machine of %s wakes", e.name)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	id := newID()
	if !w.post(c, e, id, time.Now().Add(deadline)) {
		w.notef("the client leaves %s without an answer", e.name)
		_ = c.Close()
		time.Sleep(resendAfter)
		w.ask(other, http.MethodPost, id, jobBody(taskCount, taskCPU, taskEstimate, ""), deadline)
	}
	wg.Wait()
	time.Sleep(time.Second)
	w.checkTwice(id)
	return nil
}

// post sends a job on a connection and waits for the whole answer.
func (w *world) post(c net.Conn, e *entry, id string, until time.Time) bool {
	body := jobBody(taskCount, taskCPU, taskEstimate, "")
	var q bytes.Buffer
	fmt.Fprintf(&q, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		prefix, id, host, time.Until(until).Milliseconds(), len(body))
	q.Write(body)
	w.notef("sent: POST %s to %s", id, e.name)
	if _, err := c.Write(q.Bytes()); err != nil {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	_ = c.SetReadDeadline(until)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || ctx.Err() != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	w.notef("answered: POST %s from %s: %d %s", id, e.name, a.StatusCode, data)
	return err == nil
}

// checkTwice checks that no two runs of one task of a job were at work at the same time.
func (w *world) checkTwice(id string) {
	var spans []span
	for _, r := range w.runners {
		spans = append(spans, r.spansOf(id)...)
	}
	for i, x := range spans {
		for _, y := range spans[i+1:] {
			if x.task != y.task || !x.from.Before(y.to) || !y.from.Before(x.to) {
				continue
			}
			both := min(x.to.Sub(y.from), y.to.Sub(x.from), x.to.Sub(x.from), y.to.Sub(y.from))
			w.breakf("TWICE: two runs of %s were at work at the same time, at %s and %s, for %d ms", x.task, x.runner, y.runner, both.Milliseconds())
		}
	}
}
