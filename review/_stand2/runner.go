package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a run that is at work at a runner.
type run struct {
	number int
	began  time.Time
	stop   bool
}

// start is a start that a runner has carried out.
type start struct {
	at   time.Time
	task string
	run  int
	kind string
}

// runner stands in for a runner: it starts what it is told to, under a lease on its own clock, and forgets nothing but what was noted.
type runner struct {
	world   *world
	index   int
	control string
	addr    string
	process *process
	// session is where the agent takes sessions, and links carries those of each entry.
	session string
	links   []*link
	work    time.Duration
	server  *http.Server

	mu sync.Mutex
	// kind is the label of the runner's kind; up is false while the process is down.
	kind    string
	up      bool
	id      string
	born    int64
	origin  time.Time
	seq     int
	fence   uint64
	until   time.Time
	runs    map[string]*run
	highest map[string]int
	ended   []endedRow
	lastEnd int
	life    int
	changed chan struct{}
	starts  []start
	spans   []span
}

type endedRow struct {
	number int
	row    []any
}

func newRunner(w *world, index int, control string) *runner {
	now := time.Now()
	r := &runner{
		world: w, index: index, control: control, work: 900 * time.Millisecond, kind: "a", up: true, changed: make(chan struct{}),
	}
	r.begin(now)
	go r.leases()
	return r
}

// begin begins a life of the runner, which knows nothing of those before; the caller holds the lock but for the first life.
func (r *runner) begin(now time.Time) {
	r.life++
	r.id, r.born = fmt.Sprintf("i-%06x%02x", 0x7f3a00+r.index, r.life), now.UnixMilli()
	r.origin = now.Add(-time.Duration(r.index+1) * time.Minute)
	r.seq, r.fence, r.lastEnd, r.until = 0, 0, 0, time.Time{}
	r.runs, r.highest, r.ended = map[string]*run{}, map[string]int{}, nil
}

// crash ends the runner's process, and starts one of another kind at the same address after a pause.
func (r *runner) crash(pause time.Duration, kind string) error {
	r.mu.Lock()
	r.up = false
	r.runs = map[string]*run{}
	r.world.notef("runner: %s of kind %s crashes", r.id, r.kind)
	r.mu.Unlock()
	_ = r.server.Close()
	time.Sleep(pause)
	r.mu.Lock()
	r.kind, r.up = kind, true
	r.begin(time.Now())
	r.world.notef("runner: %s of kind %s starts at the same address", r.id, r.kind)
	r.mu.Unlock()
	if err := r.listen(r.addr); err != nil {
		return err
	}
	r.heartbeat(&http.Client{Timeout: time.Second})
	return nil
}

// listen serves the agent's calls.
func (r *runner) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.addr, r.server = l.Addr().String(), &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	return nil
}

// clock is the runner's own steady clock in milliseconds; the caller holds the lock.
func (r *runner) clock() int64 {
	return time.Since(r.origin).Milliseconds()
}

// leases ends what is done, and everything when the lease expires.
func (r *runner) leases() {
	for {
		time.Sleep(2 * time.Millisecond)
		r.mu.Lock()
		now := time.Now()
		for name, x := range r.runs {
			switch {
			case now.After(r.until):
				r.end(name, x, "lapsed")
			case !x.stop && now.Sub(x.began) >= r.work:
				r.end(name, x, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run; the caller holds the lock.
func (r *runner) end(name string, x *run, how string) {
	delete(r.runs, name)
	r.spans = append(r.spans, span{task: name, runner: r.id, from: x.began, to: time.Now()})
	r.lastEnd++
	r.ended = append(r.ended, endedRow{r.lastEnd, []any{r.lastEnd, name, x.number, how, ""}})
	close(r.changed)
	r.changed = make(chan struct{})
	r.world.notef("ran: %s run %d at %s ended %s after %d ms", name, x.number, r.id, how, time.Since(x.began).Milliseconds())
}

// span is the time in which a run was at work.
type span struct {
	task     string
	runner   string
	from, to time.Time
}

// spansOf returns the runs of a job's tasks that have ended.
func (r *runner) spansOf(job string) (list []span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.spans {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// startsOf returns the starts of a job's tasks.
func (r *runner) startsOf(job string) (list []start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// heartbeats announces the runner to its agent.
func (r *runner) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		pause := heartbeatEvery
		if !r.heartbeat(client) {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// heartbeat sends one heartbeat, and reports whether it was acknowledged or the runner is down.
func (r *runner) heartbeat(client *http.Client) bool {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return true
	}
	r.seq++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": r.addr, "zone": "umea", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": runnerCPU, "memMb": runnerMem, "gpu": 0}, "labels": []string{r.kind, fmt.Sprintf("r1-%d", r.index/3)},
		"clockMs": r.clock(), "seq": r.seq, "born": r.born,
	})
	id := r.id
	r.mu.Unlock()
	if err != nil {
		panic(err)
	}
	q, err := http.NewRequest(http.MethodPut, "http://"+r.control+"/-/instances/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := client.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// order is a call of the agent.
type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Until int64  `json:"untilMs"`
	Seen  int    `json:"seenUpto"`
	Wait  int64  `json:"waitMs"`
	Fence uint64 `json:"fencingToken"`
}

// ServeHTTP takes a call of the agent.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if target := q.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < r.fence {
		r.reject(w, "fence")
		return
	}
	r.fence = o.Fence
	switch q.URL.Path {
	case "/-/run-start":
		r.takeStart(w, o)
	case "/-/run-stop":
		r.takeStop(w, o)
	case "/-/hold":
		r.takeHold(w, q, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) reject(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "born": r.born, "reason": reason})
}

// renew extends the lease of everything that runs here; it never shortens.
func (r *runner) renew(until int64) {
	if until <= 0 {
		return
	}
	at := r.origin.Add(time.Duration(until) * time.Millisecond)
	if most := time.Now().Add(holdMax); at.After(most) {
		at = most
	}
	if at.After(r.until) {
		r.until = at
	}
}

func (r *runner) takeStart(w http.ResponseWriter, o order) {
	if o.Until <= r.clock() {
		r.reject(w, "late")
		return
	}
	r.renew(o.Until)
	if x := r.runs[o.Task]; x != nil && x.number == o.Run {
		answer(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born})
		return
	}
	if o.Run <= r.highest[o.Task] {
		r.reject(w, "old")
		return
	}
	r.highest[o.Task] = o.Run
	now := time.Now()
	r.runs[o.Task] = &run{number: o.Run, began: now}
	r.starts = append(r.starts, start{at: now, task: o.Task, run: o.Run, kind: r.kind})
	r.world.notef("ran: %s run %d started at %s of kind %s", o.Task, o.Run, r.id, r.kind)
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born})
}

func (r *runner) takeStop(w http.ResponseWriter, o order) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if x := r.runs[o.Task]; x != nil && x.number == o.Run && !x.stop {
		x.stop = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.runs[o.Task] == x {
				r.end(o.Task, x, "stopped")
			}
		})
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born})
}

// takeHold renews the lease, and waits for an end if it is asked to.
func (r *runner) takeHold(w http.ResponseWriter, q *http.Request, o order) {
	r.renew(o.Until)
	for len(r.ended) > 0 && r.ended[0].number <= o.Seen {
		r.ended = r.ended[1:]
	}
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for name, x := range r.runs {
		percent := min(99, int(100*time.Since(x.began)/r.work))
		running = append(running, []any{name, x.number, "", percent, 1000})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		ended = append(ended, e.row)
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born, "running": running, "ended": ended})
}
