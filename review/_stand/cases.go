package main

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// deploy starts the store's rows, entries, and agents with their runners, and waits until all is ready.
func (w *world) deploy(entries, agents int, routes ...route) (list []*entry, err error) {
	w.configure(routes...)
	for n := range agents {
		if _, err := w.startAgent(n+1, "z-a"); err != nil {
			return nil, err
		}
	}
	for n := range entries {
		e, err := w.startEntry("edge-"+string(rune('1'+n)), "z-a")
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	if err := w.awaitReady(list...); err != nil {
		return nil, err
	}
	// Agents' rows and first heartbeats are in; sessions follow within half a second.
	time.Sleep(2 * time.Second)
	if w.store.count("agents") != agents {
		return nil, errors.New("not all agents have announced themselves")
	}
	return list, nil
}

// send hands a job in until an attempt has an answer that says more than 502 and 504, at the next of the addresses each time.
func (w *world) send(who, prefix, id string, steps []map[string]any, spec string, deadline time.Duration, addrs ...string) (status int) {
	job := map[string]any{"taskSpec": spec, "steps": steps, "bestEffort": true}
	for _, a := range addrs {
		status, _ = w.call(who, "POST", a, prefix+id, deadline, job)
		if status != 0 && status != 502 && status != 504 {
			return status
		}
		time.Sleep(resendAfter)
	}
	return status
}

// reborn: a runner at which nothing runs crashes and starts again under its id, and is given work before its next heartbeat.
func reborn(w *world, trouble bool) error {
	entries, err := w.deploy(1, 8, route{prefix: "/pufi791/", priority: 2, attempts: 3, timeoutMs: 1500})
	if err != nil {
		return err
	}
	if status := w.send("client 0", "/pufi791/", newID(), stepsOf(1, 4, 200), "200", 1500*time.Millisecond, entries[0].front); status != 200 {
		return errors.New("a job before the crash was not served")
	}
	time.Sleep(time.Second)
	if trouble {
		r := w.runners[0]
		r.kill()
		time.Sleep(300 * time.Millisecond)
		if err := r.start(heartbeatEvery / 2); err != nil {
			return err
		}
	}
	time.Sleep(200 * time.Millisecond)
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			w.send("client "+string(rune('1'+n)), "/pufi791/", newID(), stepsOf(1, 4, 900), "900", 1500*time.Millisecond, entries[0].front)
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	w.checkTwice()
	return nil
}

// heldUp: the path from the clients to one entry is cut; the requests of that time reach the entry after their clients have gone and
// have handed the same jobs in elsewhere.
func heldUp(w *world, trouble bool) error {
	entries, err := w.deploy(3, 6, route{prefix: "/pufi791/", priority: 2, attempts: 3, timeoutMs: 1500})
	if err != nil {
		return err
	}
	p, err := newLink(entries[0].front, 0)
	if err != nil {
		return err
	}
	if trouble {
		w.logf("the path from the clients to %s is cut", entries[0].name)
		p.cut()
	}
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			w.send("client "+string(rune('1'+n)), "/pufi791/", newID(), stepsOf(1, 4, 900), "900", 1500*time.Millisecond, p.addr(), entries[1].front)
		})
	}
	time.Sleep(3200 * time.Millisecond)
	if trouble {
		w.logf("the path from the clients to %s is whole again", entries[0].name)
		p.heal()
	}
	wg.Wait()
	time.Sleep(time.Second)
	w.checkTwice()
	return nil
}

// cancelBound is cancel_ms and stopMs.
const cancelBound = 3050 * time.Millisecond

// cancelElsewhere: a machine is added in the client's zone while its job runs, and the platform forwards the client's next connection,
// which cancels the job, to it.
func cancelElsewhere(w *world, trouble bool) error {
	entries, err := w.deploy(1, 3, route{prefix: "/pufi791/", priority: 2, attempts: 3, timeoutMs: 20_000})
	if err != nil {
		return err
	}
	id := newID()
	var wg sync.WaitGroup
	wg.Go(func() {
		w.send("client", "/pufi791/", id, stepsOf(16, 2, 800), "800", 20*time.Second, entries[0].front)
	})
	at := entries[0]
	time.Sleep(200 * time.Millisecond)
	if trouble {
		added, err := w.startEntry("edge-2", "z-a")
		if err != nil {
			return err
		}
		if err := w.awaitReady(added); err != nil {
			return err
		}
		w.logf("edge-2 is in rotation; new connections of the client go there")
		at = added
	}
	// No disruption is near the cancel: contactMs and more has passed.
	time.Sleep(3500 * time.Millisecond)
	status, _ := w.call("client", "DELETE", at.front, "/pufi791/"+id, 4*time.Second, nil)
	acked := w.since()
	if status != 200 && status != 410 {
		return errors.New("the cancel has no acknowledgement")
	}
	wg.Wait()
	for _, i := range w.seen() {
		if !strings.HasPrefix(i.task, id) {
			continue
		}
		switch {
		case i.from > acked+cancelBound:
			w.breakf("UNASKED: %s starts at %s %.0f ms after the cancel was acknowledged with %d", i.task, i.runner, (i.from-acked).Seconds()*1000, status)
		case i.to > acked+cancelBound:
			w.breakf("UNASKED: %s runs at %s until %.0f ms after the cancel was acknowledged with %d", i.task, i.runner, (i.to-acked).Seconds()*1000, status)
		}
	}
	return nil
}

const (
	// linkDelay is the one-way delay between the entry and the agents, that of two regions (cross_region_ms).
	linkDelay = 8 * time.Millisecond
	// flapAgents is the number of runners, of which one goes down and up: an eighth, less than the share of 0.15.
	flapAgents = 8
	// flapLength is how long that goes on, flapPeriod the time between two crashes, and flapDown how long the runner is down.
	flapLength = 90 * time.Second
	flapPeriod = 500 * time.Millisecond
	flapDown   = 60 * time.Millisecond
	// flapGap is the mean time between two jobs.
	flapGap = 50 * time.Millisecond
)

// flapping crashes a runner and starts it again, over and over and each time under a new id, until the end. It sends its first heartbeat
// as soon as it has started.
func flapping(r *runner, end time.Time) {
	for time.Now().Before(end) {
		r.kill()
		time.Sleep(flapDown)
		r.rename()
		if r.start(0) != nil {
			return
		}
		time.Sleep(flapPeriod - flapDown)
	}
}

// flap: one runner flaps while some jobs a second come.
func flap(w *world, trouble bool) error {
	w.delay = linkDelay
	entries, err := w.deploy(1, flapAgents, route{prefix: "/lohu930/", priority: 0, attempts: 2, timeoutMs: 1500})
	if err != nil {
		return err
	}
	end := time.Now().Add(flapLength)
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() { flapping(w.runners[0], end) })
	}
	for time.Now().Before(end) {
		wg.Go(func() {
			w.send("client", "/lohu930/", newID(), stepsOf(1, 2, 60), "60", 1500*time.Millisecond, entries[0].front, entries[0].front)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(flapGap)))
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	w.checkTwice()
	return nil
}

// refusedGap is the mean time between two jobs for the one runner of its kind.
const refusedGap = 180 * time.Millisecond

// refused: the one runner of a kind flaps while some jobs a second come that require this kind. A job that was only ever answered with
// 429 or 503 must not have started.
func refused(w *world, trouble bool) error {
	w.delay, w.label = linkDelay, "b"
	entries, err := w.deploy(1, flapAgents, route{prefix: "/lohu930/", priority: 0, attempts: 2, timeoutMs: 1500})
	if err != nil {
		return err
	}
	end := time.Now().Add(flapLength)
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() { flapping(w.runners[0], end) })
	}
	var mu sync.Mutex
	rejected := map[string]int{}
	for time.Now().Before(end) {
		wg.Go(func() {
			id, steps := newID(), stepsOf(1, 1, 60)
			steps[0]["requires"] = "b"
			job := map[string]any{"taskSpec": "60", "steps": steps, "bestEffort": true}
			// Clients of this kind don't retry; only the first attempt is made unless its outcome is open.
			status, _ := w.call("client", "POST", entries[0].front, "/lohu930/"+id, 1500*time.Millisecond, job)
			if status == 429 || status == 503 {
				mu.Lock()
				rejected[id] = status
				mu.Unlock()
			}
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(refusedGap)))
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, i := range w.seen() {
		id, _, _ := strings.Cut(i.task, ".")
		if rejected[id] != 0 {
			w.breakf("REFUSED: %s run %d at %s from %.3f to %.3f s (%s); its only attempt was answered with %d", i.task, i.run, i.runner, i.from.Seconds(), i.to.Seconds(), i.how, rejected[id])
		}
	}
	return nil
}
