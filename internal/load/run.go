package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/pkg/client"
)

// Bounds on one run.
const (
	maxSeconds  = 3600
	maxInFlight = 20000
	retryPause  = 50 * time.Millisecond
	// callerPatience is the minimum number of tries without an answer after which a caller gives up.
	callerPatience = 5
)

// Config configures a run.
type Config struct {
	// Entries are the callers' addresses of the entries, taken in turn.
	Entries []string
	// Admins are the addresses of figures of all processes; may be empty.
	Admins []string
	// Backends are the addresses of the stand-in backend servers, which count starts; may be empty.
	Backends []string
	// Deployment names the mix of requests.
	Deployment string
	// Load is the work offered as a share of what the slots can do.
	Load float64
	// Slots is the number of slots of all backend servers.
	Slots int
	// Seconds is how long jobs are offered.
	Seconds int
	// Burst is the number of jobs that arrive together; 1 makes single arrivals at random times.
	Burst int
	// Resubmit is the share of jobs that are submitted a second time through another entry while they run.
	Resubmit float64
	// Seed starts the random sources.
	Seed uint64
	// Run makes the job ids of one run differ from those of others.
	Run string
	// Progress is called with a line about each second; may be nil.
	Progress io.Writer
}

// Validate returns an error for the first setting that is out of bounds.
func (c *Config) Validate() error {
	switch {
	case len(c.Entries) == 0:
		return errors.New("at least one entry is needed")
	case c.Seconds < 1 || c.Seconds > maxSeconds:
		return errors.Errorf("seconds: want 1 to %d", maxSeconds)
	case c.Load <= 0 || c.Load > 10:
		return errors.New("load: want more than 0, at most 10")
	case c.Slots < 1:
		return errors.New("slots: want at least 1")
	case c.Burst < 1:
		return errors.New("burst: want at least 1")
	case c.Resubmit < 0 || c.Resubmit > 1:
		return errors.New("resubmit: want 0 to 1")
	}
	return nil
}

type runner struct {
	cfg    Config
	client *http.Client
	rng    *rand.Rand
	sem    chan struct{}
	wg     sync.WaitGroup

	mu     sync.Mutex
	report *Report
}

// Run submits jobs as configured, waits for the answers and returns the measurements.
func Run(ctx context.Context, cfg Config) (r *Report, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "load")
		}
	}()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g, err := newGenerator(cfg.Deployment, cfg.Run, cfg.Seed)
	if err != nil {
		return nil, err
	}
	mean, err := meanWork(cfg.Deployment)
	if err != nil {
		return nil, err
	}
	rate := cfg.Load * float64(cfg.Slots) * 1000 / mean
	x := &runner{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), sem: make(chan struct{}, maxInFlight), report: newReport(cfg, rate),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: time.Minute}},
	}
	before, err := scrapeAll(ctx, cfg.Admins)
	if err != nil {
		return nil, err
	}
	x.offerAll(ctx, g, rate)
	x.wg.Wait()
	if err := x.report.collect(ctx, before); err != nil {
		return nil, err
	}
	return x.report, nil
}

// offerAll submits jobs at their arrival times, without waiting for answers.
func (x *runner) offerAll(ctx context.Context, g *generator, rate float64) {
	start := time.Now()
	end := start.Add(time.Duration(x.cfg.Seconds) * time.Second)
	at := start
	nextLine := start.Add(time.Second)
	for n := 0; ; n++ {
		if n%x.cfg.Burst == 0 {
			gap := x.rng.ExpFloat64() / rate * float64(x.cfg.Burst)
			at = at.Add(time.Duration(gap * float64(time.Second)))
		}
		if at.After(end) || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(at))
		if at.After(nextLine) {
			x.progress(at.Sub(start))
			nextLine = nextLine.Add(time.Second)
		}
		x.launch(ctx, g.next(), at, n)
	}
}

func (x *runner) progress(since time.Duration) {
	if x.cfg.Progress == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	fmt.Fprintf(x.cfg.Progress, "%3.0fs offered %d complete %d failed %d refused %d waiting %d\n",
		since.Seconds(), x.report.Offered, x.report.Complete, x.report.Failed, x.report.Refused, len(x.sem))
}

func (x *runner) launch(ctx context.Context, o offer, at time.Time, n int) {
	x.mu.Lock()
	x.report.offered(&o)
	x.mu.Unlock()
	select {
	case x.sem <- struct{}{}:
	default:
		x.mu.Lock()
		x.report.Unsent++
		x.mu.Unlock()
		return
	}
	again := x.rng.Float64() < x.cfg.Resubmit
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		defer func() { <-x.sem }()
		x.submit(ctx, o, at, n)
	}()
	if again {
		x.wg.Add(1)
		go func() {
			defer x.wg.Done()
			time.Sleep(time.Duration(o.ideal/2) * time.Millisecond)
			_, _ = x.entry(n+1).Submit(ctx, o.job)
		}()
	}
}

func (x *runner) entry(n int) *client.Client {
	return &client.Client{Addr: x.cfg.Entries[n%len(x.cfg.Entries)], HTTP: x.client}
}

// submit submits a job and retries it at other entries when one gives no answer in time.
func (x *runner) submit(ctx context.Context, o offer, at time.Time, n int) {
	patience := time.Duration(o.job.DeadlineMS)*time.Millisecond + time.Second
	ctx, cancel := context.WithDeadline(ctx, at.Add(callerPatience*patience))
	defer cancel()
	var a client.Answer
	var err error
	for try := 0; ctx.Err() == nil; try++ {
		a, err = x.try(ctx, &o, n+try, patience)
		if err == nil && a.Reason != "stale" {
			break
		}
		x.mu.Lock()
		x.report.Resent++
		x.mu.Unlock()
		time.Sleep(retryPause)
	}
	took := time.Since(at)
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil {
		x.report.NoAnswer++
		return
	}
	x.report.answered(&o, &a, took)
}

// try submits a job to one entry, which may be frozen.
func (x *runner) try(ctx context.Context, o *offer, n int, patience time.Duration) (client.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return x.entry(n).Submit(ctx, o.job)
}

// whole reports whether an answer holds the result of every task of its own job, in order.
func whole(o *offer, a *client.Answer) bool {
	if len(a.Results) != len(o.job.Tasks) {
		return false
	}
	for i, r := range a.Results {
		var got struct {
			Job  string `json:"job"`
			Task int    `json:"task"`
		}
		if json.Unmarshal(r, &got) != nil || got.Job != o.job.JobID || got.Task != i {
			return false
		}
	}
	return true
}
