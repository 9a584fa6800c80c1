package meter

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
)

// maxNames bounds the tenants and classes with metrics of their own; all others share the name "other".
const maxNames = 400

var bounds = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000}

// Meter holds the instruments of one process.
type Meter struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	events   metric.Int64Counter
	frames   metric.Int64Counter
	bytes    metric.Int64Counter
	messages metric.Int64Counter
	response metric.Int64Histogram
	wait     metric.Int64Histogram
	version  metric.Int64Gauge
	// capacity and idle measure the use of backend servers while work waits; work is the core time used by ended jobs.
	capacity metric.Int64Counter
	idle     metric.Int64Histogram
	work     metric.Int64Counter
	// viewAge and viewKnown measure what dispatchers knew of the agents when they refused jobs.
	viewAge   metric.Int64Histogram
	viewKnown metric.Int64Histogram

	mu    sync.Mutex
	names map[string]bool
}

// New creates a meter whose metrics carry the name of the process.
func New(process string) (m *Meter, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "create meter")
		}
	}()
	m = &Meter{registry: prometheus.NewRegistry(), names: map[string]bool{}}
	reader, err := exporter.New(exporter.WithRegisterer(m.registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(reader))
	mt := m.provider.Meter("corianderspur", metric.WithInstrumentationAttributes(attribute.String("process", process)))
	return m, m.create(mt)
}

func (m *Meter) create(mt metric.Meter) (err error) {
	if m.events, err = mt.Int64Counter("corianderspur.events"); err != nil {
		return err
	}
	if m.frames, err = mt.Int64Counter("corianderspur.frames"); err != nil {
		return err
	}
	if m.bytes, err = mt.Int64Counter("corianderspur.frame_bytes"); err != nil {
		return err
	}
	if m.messages, err = mt.Int64Counter("corianderspur.messages"); err != nil {
		return err
	}
	buckets := metric.WithExplicitBucketBoundaries(bounds...)
	if m.response, err = mt.Int64Histogram("corianderspur.response_time_ms", buckets); err != nil {
		return err
	}
	if m.wait, err = mt.Int64Histogram("corianderspur.queue_wait_ms", buckets); err != nil {
		return err
	}
	if m.idle, err = mt.Int64Histogram("corianderspur.idle_while_work_waits_p99_ms", buckets); err != nil {
		return err
	}
	if m.capacity, err = mt.Int64Counter("corianderspur.capacity_while_work_waits_core_ms"); err != nil {
		return err
	}
	if m.work, err = mt.Int64Counter("corianderspur.work_core_ms"); err != nil {
		return err
	}
	if m.viewAge, err = mt.Int64Histogram("corianderspur.view_age_at_refusal_ms", buckets); err != nil {
		return err
	}
	percent := metric.WithExplicitBucketBoundaries(10, 20, 30, 40, 50, 60, 70, 80, 90, 99)
	if m.viewKnown, err = mt.Int64Histogram("corianderspur.view_known_at_refusal_percent", percent); err != nil {
		return err
	}
	m.version, err = mt.Int64Gauge("corianderspur.configuration_version")
	return err
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Note records a note of a state machine.
func (m *Meter) Note(n event.Note) {
	ctx := context.Background()
	class := m.bounded("class", n.Class)
	count := max(1, int64(n.Count))
	reason := n.Reason
	switch n.Name {
	case "job_answered":
		m.response.Record(ctx, int64(n.Took), metric.WithAttributes(class, m.tenant(n.Tenant)))
		count = 1
	case "job_completed", "job_failed", "job_refused", "job_unknown", "job_cancelled":
		m.response.Record(ctx, int64(n.Took), metric.WithAttributes(class, attribute.String("result", n.Name)))
		m.work.Add(ctx, n.Work/1000, metric.WithAttributes(class, attribute.String("result", n.Name), attribute.Bool("late", n.Late)))
		m.recordView(n)
		count = 1
	case "job_begun":
		m.wait.Record(ctx, int64(n.Took), metric.WithAttributes(class))
		count = 1
	case "backend_server", "backend_server_drains", "backend_server_left", "backend_server_reborn", "inventory", "inventory_sent", "cancel_found",
		"cancel_not_found":
		count = 1
	case "usage_while_work_waits":
		m.capacity.Add(ctx, n.Usage.UsedCoreMS, metric.WithAttributes(attribute.String("state", "used")))
		m.capacity.Add(ctx, n.Usage.UsableCoreMS-n.Usage.UsedCoreMS, metric.WithAttributes(attribute.String("state", "idle")))
		m.idle.Record(ctx, int64(n.Usage.IdleP99))
	case "task_started":
		m.wait.Record(ctx, int64(n.Took), metric.WithAttributes(class, m.tenant(n.Tenant)))
	case "configuration_adopted":
		m.version.Record(ctx, int64(n.Version))
	case "zones_evacuated", "evacuated_zone_unknown":
		reason, count = "", 1
	case "map_unreadable", "configuration_unreadable", "configuration_refused", "map_unencodable", "job_accepted":
		reason = ""
	}
	m.events.Add(ctx, count, metric.WithAttributes(
		attribute.String("name", n.Name), attribute.String("reason", reason), attribute.String("binding", n.Binding), class))
}

// recordView records the age of the reports that a refusal was based on, and the share of the agents that they came from.
func (m *Meter) recordView(n event.Note) {
	if n.Agents == 0 || n.Fleet == 0 {
		return
	}
	ctx := context.Background()
	m.viewAge.Record(ctx, int64(n.MeanAge), metric.WithAttributes(attribute.String("reports", "mean")))
	m.viewAge.Record(ctx, int64(n.Age), metric.WithAttributes(attribute.String("reports", "oldest")))
	m.viewKnown.Record(ctx, int64(100*n.Agents/n.Fleet))
}

func (m *Meter) tenant(name string) attribute.KeyValue {
	return m.bounded("tenant", name)
}

// bounded returns an attribute with a bounded number of distinct values.
func (m *Meter) bounded(key, name string) attribute.KeyValue {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.names[key+name] {
		if len(m.names) >= maxNames {
			name = "other"
		}
		m.names[key+name] = true
	}
	return attribute.String(key, name)
}

// Frame counts a frame that was sent or received.
func (m *Meter) Frame(sent bool, bytes int, messages []proto.Message) {
	ctx := context.Background()
	direction := attribute.String("direction", "received")
	if sent {
		direction = attribute.String("direction", "sent")
	}
	purpose := attribute.String("purpose", purposeOf(messages))
	m.frames.Add(ctx, 1, metric.WithAttributes(direction, purpose))
	m.bytes.Add(ctx, int64(bytes), metric.WithAttributes(direction, purpose))
	for i := range messages {
		m.messages.Add(ctx, 1, metric.WithAttributes(direction, attribute.String("type", messages[i].Name())))
	}
}

// purposeOf distinguishes frames that carry work from those that only carry control messages.
func purposeOf(messages []proto.Message) string {
	for i := range messages {
		if messages[i].IsWork() {
			return "work"
		}
	}
	return "control"
}
