package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"corianderspur.example/corianderspur/internal/stand"
	"corianderspur.example/corianderspur/pkg/client"
)

// Distribution summarises a histogram; MS fields are response times, Ratio fields are multiples of the ideal.
type Distribution struct {
	Count    int64   `json:"count"`
	MS50     int64   `json:"ms_p50"`
	MS99     int64   `json:"ms_p99"`
	MSMax    int64   `json:"ms_max"`
	Ratio50  float64 `json:"ratio_p50"`
	Ratio99  float64 `json:"ratio_p99"`
	RatioMax float64 `json:"ratio_max"`
}

// Report holds the measurements of a run.
type Report struct {
	Deployment string         `json:"deployment"`
	Load       float64        `json:"load"`
	Seed       uint64         `json:"seed"`
	Seconds    int            `json:"seconds"`
	JobRate    float64        `json:"jobs_per_second"`
	Offered    int            `json:"jobs_offered"`
	Tasks      int            `json:"tasks_offered"`
	Unsent     int            `json:"jobs_unsent"`
	Complete   int            `json:"jobs_complete"`
	Failed     int            `json:"jobs_failed"`
	Refused    int            `json:"jobs_refused"`
	NoAnswer   int            `json:"jobs_without_answer"`
	Resent     int            `json:"requests_resent"`
	NotWhole   int            `json:"answers_not_whole"`
	Reasons    map[string]int `json:"reasons"`
	// Goodput is the work completed while jobs were offered, as a share of what the slots can do.
	Goodput   float64                 `json:"goodput"`
	Classes   map[string]Distribution `json:"classes"`
	RefusalMS Distribution            `json:"refusals"`

	Starts      int     `json:"starts"`
	Doubles     int     `json:"doubles"`
	Overruns    int     `json:"repeats_over_bound"`
	FalseNotRun int     `json:"false_not_run"`
	Counted     bool    `json:"starts_counted"`
	WorkFrames  float64 `json:"work_frames"`
	AllFrames   float64 `json:"all_frames"`
	PerTask     float64 `json:"work_frames_per_task"`
	AllPerTask  float64 `json:"all_frames_per_task"`
	Wasted      float64 `json:"wasted_messages"`
	WastedShare float64 `json:"wasted_share"`

	cfg       Config
	began     time.Time
	goodMS    int
	doneTasks int
	notRun    map[string]bool
	repeats   map[string]bool
	ms        map[string]*hdrhistogram.Histogram
	ratio     map[string]*hdrhistogram.Histogram
	refusal   *hdrhistogram.Histogram
}

const (
	maxMS      = 600_000
	maxRatio   = 10_000_000
	ratioScale = 1000
	digits     = 3
	// maxRepeats is the number of starts that the configurations of the demo allow for a repeatable task.
	maxRepeats = 3
)

func newReport(cfg Config, rate float64) *Report {
	return &Report{
		Deployment: cfg.Deployment, Load: cfg.Load, Seed: cfg.Seed, Seconds: cfg.Seconds, JobRate: rate, cfg: cfg, began: time.Now(),
		Reasons: map[string]int{}, Classes: map[string]Distribution{}, notRun: map[string]bool{}, repeats: map[string]bool{},
		ms: map[string]*hdrhistogram.Histogram{}, ratio: map[string]*hdrhistogram.Histogram{},
		refusal: hdrhistogram.New(1, maxMS, digits),
	}
}

func (r *Report) offered(o *offer) {
	r.Offered++
	r.Tasks += len(o.job.Tasks)
	r.repeats[o.job.JobID] = o.kind.repeatable
}

func (r *Report) answered(o *offer, a *client.Answer, took time.Duration) {
	if a.Run == "not_run" {
		r.notRun[o.job.JobID] = true
	}
	switch a.Status {
	case "complete":
		r.Complete++
		if time.Since(r.began) < time.Duration(r.cfg.Seconds)*time.Second {
			r.goodMS += o.work
		}
		r.doneTasks += len(o.job.Tasks)
		if !whole(o, a) {
			r.NotWhole++
		}
		r.record(className(o.kind), o, took)
		r.record("tenant "+o.kind.tenant, o, took)
	case "refused":
		r.Refused++
		r.Reasons["refused "+a.Reason+" "+a.Run]++
		_ = r.refusal.RecordValue(max(1, took.Milliseconds()))
	default:
		r.Failed++
		r.Reasons["failed "+a.Reason+" "+a.Run]++
	}
}

func className(k *kind) string {
	if k.urgent {
		return "urgent"
	}
	return "jobs"
}

func (r *Report) record(class string, o *offer, took time.Duration) {
	if r.ms[class] == nil {
		r.ms[class] = hdrhistogram.New(1, maxMS, digits)
		r.ratio[class] = hdrhistogram.New(1, maxRatio, digits)
	}
	ms := float64(took.Microseconds()) / 1000
	_ = r.ms[class].RecordValue(min(maxMS, max(1, int64(ms))))
	_ = r.ratio[class].RecordValue(min(maxRatio, max(1, int64(ms/float64(o.ideal)*ratioScale))))
}

func summarise(ms, ratio *hdrhistogram.Histogram) Distribution {
	d := Distribution{Count: ms.TotalCount(), MS50: ms.ValueAtQuantile(50), MS99: ms.ValueAtQuantile(99), MSMax: ms.Max()}
	if ratio != nil {
		d.Ratio50 = float64(ratio.ValueAtQuantile(50)) / ratioScale
		d.Ratio99 = float64(ratio.ValueAtQuantile(99)) / ratioScale
		d.RatioMax = float64(ratio.Max()) / ratioScale
	}
	return d
}

// collect adds the counters of the processes and the backend servers to a report.
func (r *Report) collect(ctx context.Context, before figures) error {
	for class := range r.ms {
		r.Classes[class] = summarise(r.ms[class], r.ratio[class])
	}
	r.RefusalMS = summarise(r.refusal, nil)
	r.Goodput = float64(r.goodMS) / float64(r.cfg.Slots*r.cfg.Seconds*1000)
	after, err := scrapeAll(ctx, r.cfg.Admins)
	if err != nil {
		return err
	}
	r.WorkFrames = after.work - before.work
	r.AllFrames = after.all - before.all
	r.Wasted = after.wasted - before.wasted
	if r.doneTasks > 0 {
		r.PerTask = r.WorkFrames / float64(r.doneTasks)
		r.AllPerTask = r.AllFrames / float64(r.doneTasks)
	}
	if messages := after.messages - before.messages; messages > 0 {
		r.WastedShare = r.Wasted / messages
	}
	return r.countStarts(ctx)
}

func (r *Report) countStarts(ctx context.Context) error {
	byTask := map[string]int{}
	for _, addr := range r.cfg.Backends {
		var s stand.Starts
		if err := fetchJSON(ctx, "http://"+addr+"/starts", &s); err != nil {
			return err
		}
		for task, n := range s.ByTask {
			byTask[task] += n
		}
	}
	r.Counted = len(r.cfg.Backends) > 0
	for task, n := range byTask {
		job, _, _ := strings.Cut(task, "/")
		repeatable, ours := r.repeats[job]
		if !ours {
			continue
		}
		r.Starts += n
		switch {
		case !repeatable && n > 1:
			r.Doubles++
		case n > maxRepeats:
			r.Overruns++
		}
		if r.notRun[job] {
			r.FalseNotRun++
		}
	}
	return nil
}

// Held reports whether no invariant was violated.
func (r *Report) Held() bool {
	return r.Doubles == 0 && r.Overruns == 0 && r.FalseNotRun == 0 && r.NotWhole == 0 && r.NoAnswer == 0
}

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s at %.0f%% load for %ds, seed %d: %.1f jobs/s\n", r.Deployment, r.Load*100, r.Seconds, r.Seed, r.JobRate)
	fmt.Fprintf(w, "jobs: %d offered, %d complete, %d failed, %d refused, %d without answer, %d unsent; %d requests resent\n",
		r.Offered, r.Complete, r.Failed, r.Refused, r.NoAnswer, r.Unsent, r.Resent)
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "  %s: %d\n", reason, r.Reasons[reason])
	}
	for _, class := range slices.Sorted(maps.Keys(r.Classes)) {
		d := r.Classes[class]
		fmt.Fprintf(w, "%-15s n=%-6d ms p50 %d p99 %d max %d; over the ideal p50 %.2f p99 %.2f max %.2f\n",
			class, d.Count, d.MS50, d.MS99, d.MSMax, d.Ratio50, d.Ratio99, d.RatioMax)
	}
	if r.Refused > 0 {
		fmt.Fprintf(w, "refused within ms p50 %d p99 %d max %d\n", r.RefusalMS.MS50, r.RefusalMS.MS99, r.RefusalMS.MSMax)
	}
	fmt.Fprintf(w, "goodput %.0f%% of all slots; frames per task %.2f for work, %.2f in all; wasted messages %.0f (%.2f%%)\n",
		r.Goodput*100, r.PerTask, r.AllPerTask, r.Wasted, r.WastedShare*100)
	if r.Counted {
		fmt.Fprintf(w, "at the backend servers: %d starts, %d doubles, %d repeats over bound, %d false not_run; %d answers not whole\n",
			r.Starts, r.Doubles, r.Overruns, r.FalseNotRun, r.NotWhole)
	}
}

// figures are sums over the processes whose figures were read.
type figures struct {
	work     float64
	all      float64
	messages float64
	wasted   float64
}

func scrapeAll(ctx context.Context, addrs []string) (sum figures, err error) {
	for _, addr := range addrs {
		// A process that was killed during the run serves no metrics.
		if err := scrape(ctx, addr, &sum); err != nil && ctx.Err() != nil {
			return sum, err
		}
	}
	return sum, nil
}

func scrape(ctx context.Context, addr string, sum *figures) error {
	w, err := get(ctx, "http://"+addr+"/metrics")
	if err != nil {
		return err
	}
	defer w.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(w.Body)
	if err != nil {
		return errors.Wrap(err, "read figures")
	}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			labels := map[string]string{}
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			sum.add(name, labels, m.GetCounter().GetValue())
		}
	}
	return nil
}

func (s *figures) add(name string, labels map[string]string, value float64) {
	switch {
	case strings.HasPrefix(name, "corianderspur_frames") && labels["direction"] == "sent":
		s.all += value
		if labels["purpose"] == "work" {
			s.work += value
		}
	case strings.HasPrefix(name, "corianderspur_messages") && labels["direction"] == "sent":
		s.messages += value
	case strings.HasPrefix(name, "corianderspur_events") && labels["name"] == "message_wasted":
		s.wasted += value
	}
}

func get(ctx context.Context, url string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(r)
}

func fetchJSON(ctx context.Context, url string, out any) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "read %s", url)
		}
	}()
	w, err := get(ctx, url)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	return json.NewDecoder(w.Body).Decode(out)
}
