package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	runnerCPU = 16_000
	runnerMem = 65_536
	// holdMost is holdMaxMs, stopTime lies below stopMs (50), heartbeatEvery is heartbeatMs.
	holdMost       = 1000 * time.Millisecond
	stopTime       = 40 * time.Millisecond
	heartbeatEvery = 1500 * time.Millisecond
)

// runnerRun is one run that is at work at a runner.
type runnerRun struct {
	task  string
	run   int
	began time.Time
	ends  time.Time
	how   string
}

// runner stands in for a runner beside an agent. A life is one process: killing it closes its listener and its connections.
type runner struct {
	w       *world
	name    string
	addr    string
	agent   string
	id      string
	service string
	label   string

	mu     sync.Mutex
	life   int
	born   time.Time
	up     bool
	until  time.Time
	runs   map[string]*runnerRun
	high   map[string]int
	ended  [][]any
	ends   int
	seq    int
	server *http.Server
	stop   context.CancelFunc
	wake   chan struct{}
}

// start begins a life that sends its first heartbeat after a delay.
func (r *runner) start(firstBeat time.Duration) error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.life++
	r.born, r.up, r.until = time.Now(), true, time.Time{}
	r.runs, r.high, r.ended, r.ends, r.seq = map[string]*runnerRun{}, map[string]int{}, nil, 0, 0
	r.wake = make(chan struct{})
	life := r.life
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, life) })}
	server := r.server
	r.mu.Unlock()
	r.w.logf("runner %s: life %d of %s begins, born %d", r.name, life, r.id, r.born.UnixMilli())
	go func() { _ = server.Serve(l) }()
	go r.tick(ctx)
	go r.beat(ctx, firstBeat)
	return nil
}

// kill ends the life: nothing of it runs on, and nobody is told.
func (r *runner) kill() {
	r.mu.Lock()
	r.advance(time.Now())
	r.up = false
	n := len(r.runs)
	for _, x := range r.runs {
		r.w.over(r.name, x.task, x.run, "crashed")
	}
	r.runs = map[string]*runnerRun{}
	server, stop := r.server, r.stop
	r.mu.Unlock()
	stop()
	_ = server.Close()
	r.w.logf("runner %s: killed with %d runs", r.name, n)
}

// rename gives the next life another id.
func (r *runner) rename() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id = fmt.Sprintf("%s-%d", strings.SplitN(r.id, "-", 3)[0]+"-"+strings.SplitN(r.id, "-", 3)[1], r.life+1)
}

func (r *runner) tick(ctx context.Context) {
	t := time.NewTicker(2 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.mu.Lock()
			if ctx.Err() == nil {
				r.advance(time.Now())
			}
			r.mu.Unlock()
		}
	}
}

// advance ends the runs whose work or lease is over; the caller holds the lock.
func (r *runner) advance(now time.Time) {
	for _, x := range r.runs {
		switch {
		case !x.ends.After(now):
			r.end(x, x.how)
		case !r.until.After(now):
			r.end(x, "lapsed")
		}
	}
}

func (r *runner) end(x *runnerRun, how string) {
	delete(r.runs, x.task)
	r.ends++
	r.ended = append(r.ended, []any{r.ends, x.task, x.run, how, ""})
	r.w.over(r.name, x.task, x.run, how)
	close(r.wake)
	r.wake = make(chan struct{})
}

// clock is the runner's steady clock, which begins anew with each life; the caller holds the lock.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// order holds the fields of all calls of an agent.
type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"taskSpec"`
	Until int64  `json:"untilMs"`
	Seen  int    `json:"seenUpto"`
	Wait  int64  `json:"waitMs"`
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request, life int) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if r.life != life || !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.advance(time.Now())
	if id := q.Header.Get("Target-Instance"); id != "" && id != r.id {
		a := map[string]any{"clockMs": r.clock()}
		r.mu.Unlock()
		answer(w, http.StatusMisdirectedRequest, a)
		return
	}
	switch q.URL.Path {
	case "/-/run-start":
		status, reason := r.startRun(o)
		a := map[string]any{"clockMs": r.clock()}
		if reason != "" {
			a["reason"] = reason
		}
		r.mu.Unlock()
		answer(w, status, a)
	case "/-/run-stop":
		r.stopRun(o)
		a := map[string]any{"clockMs": r.clock()}
		r.mu.Unlock()
		answer(w, http.StatusOK, a)
	case "/-/hold":
		r.renew(o.Until)
		r.await(q.Context(), o)
		if r.life != life || !r.up {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		a := r.list(o.Seen)
		r.mu.Unlock()
		answer(w, http.StatusOK, a)
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, a map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (r *runner) at(until int64) time.Time {
	return r.born.Add(time.Duration(until) * time.Millisecond)
}

func (r *runner) renew(until int64) {
	if until <= 0 {
		return
	}
	at := r.at(until)
	if most := time.Now().Add(holdMost); at.After(most) {
		at = most
	}
	if at.After(r.until) {
		r.until = at
	}
}

func (r *runner) startRun(o order) (int, string) {
	x := r.runs[o.Task]
	switch {
	case x != nil && x.run == o.Run:
		return http.StatusOK, ""
	case o.Run <= r.high[o.Task] || x != nil:
		r.renew(o.Until)
		return http.StatusConflict, "old"
	case !r.at(o.Until).After(time.Now()):
		return http.StatusConflict, "late"
	}
	r.renew(o.Until)
	ms, _ := strconv.Atoi(o.Spec)
	now := time.Now()
	r.high[o.Task] = o.Run
	r.runs[o.Task] = &runnerRun{task: o.Task, run: o.Run, began: now, ends: now.Add(time.Duration(ms) * time.Millisecond), how: "done"}
	r.w.began(r.name, o.Task, o.Run)
	return http.StatusOK, ""
}

func (r *runner) stopRun(o order) {
	r.high[o.Task] = max(r.high[o.Task], o.Run)
	r.w.logf("runner %s: told to stop %s run %d", r.name, o.Task, o.Run)
	if x := r.runs[o.Task]; x != nil && x.run == o.Run {
		if at := time.Now().Add(stopTime); at.Before(x.ends) {
			x.ends, x.how = at, "stopped"
		}
	}
}

// await waits for an end that the agent has not seen; it holds the lock when it returns.
func (r *runner) await(ctx context.Context, o order) {
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for o.Wait > 0 && r.unseen(o.Seen) == 0 && r.up {
		wake := r.wake
		r.mu.Unlock()
		over := false
		select {
		case <-ctx.Done():
			over = true
		case <-deadline:
			over = true
		case <-wake:
		}
		r.mu.Lock()
		if over {
			return
		}
	}
}

func (r *runner) unseen(seen int) (n int) {
	for _, e := range r.ended {
		if e[0].(int) > seen {
			n++
		}
	}
	return n
}

// list answers a hold; the list of runs says when this life was born.
func (r *runner) list(seen int) map[string]any {
	for len(r.ended) > 0 && r.ended[0][0].(int) <= seen {
		r.ended = r.ended[1:]
	}
	running := [][]any{}
	now := time.Now()
	for _, x := range r.runs {
		done := 100 * float64(now.Sub(x.began)) / float64(x.ends.Sub(x.began))
		running = append(running, []any{x.task, x.run, "", int(min(done, 100)), 1600})
	}
	ended := r.ended
	if ended == nil {
		ended = [][]any{}
	}
	return map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ended}
}

// beat sends heartbeats, the first one after a delay.
func (r *runner) beat(ctx context.Context, first time.Duration) {
	client := &http.Client{Timeout: time.Second}
	wait := first
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = heartbeatEvery
		r.mu.Lock()
		r.seq++
		doc := map[string]any{
			"service": r.service, "address": r.addr, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": runnerCPU, "memMb": runnerMem}, "labels": []string{r.label, "r1-1"},
			"clockMs": r.clock(), "seq": r.seq, "born": r.born.UnixMilli(),
		}
		life, seq := r.life, r.seq
		r.mu.Unlock()
		body, _ := json.Marshal(doc)
		q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.agent+"/-/instances/"+r.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		q.Header.Set("Content-Type", "application/json")
		result := "no answer"
		if a, err := client.Do(q); err == nil {
			_ = a.Body.Close()
			result = fmt.Sprint(a.StatusCode)
			if a.StatusCode != http.StatusOK {
				wait = 200 * time.Millisecond
			}
		} else {
			wait = 200 * time.Millisecond
		}
		r.w.logf("runner %s: heartbeat of life %d, seq %d: %s", r.name, life, seq, result)
	}
}
