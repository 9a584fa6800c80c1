package conf

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/pkg/label"
)

// Token gives access to the administration API.
type Token struct {
	// Token is the secret that a request carries as its bearer token.
	Token string `json:"token" validate:"required,min=16"`
	// Who is the name under which changes are recorded.
	Who string `json:"who" validate:"required"`
	// Tenant limits the token to reading what concerns one tenant; empty gives full access.
	Tenant string `json:"tenant,omitempty"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// Name is the name of the instance.
	Name string `json:"name" validate:"required,max=63"`
	// AvailabilityZone is the availability zone of the instance.
	AvailabilityZone string `json:"availability_zone" validate:"required"`
	// SessionAddr is the IP address and port for sessions with other processes of the system.
	SessionAddr string `json:"session_addr" validate:"required,ip_port"`
	// CallerAddr is the IP address and port for callers.
	CallerAddr string `json:"caller_addr" validate:"required,ip_port"`
	// AdminAddr is the IP address and port for operators, metrics and health.
	AdminAddr string `json:"admin_addr" validate:"required,ip_port"`
	// TableAddr is the IP address and port of the platform's table service.
	TableAddr string `json:"table_addr" validate:"required,ip_port"`
	// Tokens give access to the administration API.
	Tokens []Token `json:"tokens" validate:"required,min=1,dive"`
	// Shards is the number of shards of a new deployment.
	Shards int `json:"shards" validate:"min=1,max=4096"`
	// LeaseMS is the lease of the agents' knowledge in a new deployment, in milliseconds.
	LeaseMS clock.Millis `json:"lease_ms" validate:"min=500,max=60000"`
	// MarginMS covers the difference between clock rates within a lease, in milliseconds.
	MarginMS clock.Millis `json:"margin_ms" validate:"min=50,max=10000"`
	// RetentionMS is how long job ids and answers are remembered, in milliseconds.
	RetentionMS clock.Millis `json:"retention_ms" validate:"min=5000,max=86400000"`
	// SuspectAfterMS is the silence after which another entry is replaced, in milliseconds.
	SuspectAfterMS clock.Millis `json:"suspect_after_ms" validate:"min=200,max=60000"`
	// DrainLimitMS is the longest time a planned stop waits for callers, in milliseconds.
	DrainLimitMS clock.Millis `json:"drain_limit_ms" validate:"min=0,max=600000"`
	// BatchMS is how long a frame to another process waits for more messages, in milliseconds.
	BatchMS clock.Millis `json:"batch_ms" validate:"min=0,max=1000"`
	// MaxQueued bounds the tasks that wait at this entry.
	MaxQueued int `json:"max_queued" validate:"min=1,max=1000000"`
	// UrgentReserve is the share of all slots that is kept free for urgent tasks.
	UrgentReserve float64 `json:"urgent_reserve" validate:"min=0,max=0.9"`
	// PackJobs sends tasks of one job to the same agent while it has free slots, so that they share frames.
	PackJobs bool `json:"pack_jobs"`
	// SendAhead is the number of normal tasks that may wait at each agent for a slot.
	SendAhead int `json:"send_ahead" validate:"min=0,max=1000"`
	// Baseline replaces the scheduling policy by random choice, one queue and no admission control, for comparisons.
	Baseline bool `json:"baseline"`
}

// DefaultEntry returns the settings that an entry uses where its file says nothing.
func DefaultEntry() Entry {
	return Entry{
		Shards: 64, LeaseMS: 3000, MarginMS: 500, RetentionMS: 600_000, SuspectAfterMS: 2000, DrainLimitMS: 30_000,
		MaxQueued: 20_000, UrgentReserve: 0.05,
	}
}

// Agent holds the settings of an agent.
type Agent struct {
	// Name is the name of the instance.
	Name string `json:"name" validate:"required,max=63"`
	// Worker is the name of the worker that the backend server runs on.
	Worker string `json:"worker" validate:"required,max=63"`
	// AvailabilityZone is the availability zone of the worker.
	AvailabilityZone string `json:"availability_zone" validate:"required"`
	// Labels describe the worker; selectors of rules refer to them.
	Labels label.Set `json:"labels"`
	// BackendAddr is the IP address and port at which the backend server announces itself.
	BackendAddr string `json:"backend_addr" validate:"required,ip_port"`
	// AdminAddr is the IP address and port for metrics and health.
	AdminAddr string `json:"admin_addr" validate:"required,ip_port"`
	// TableAddr is the IP address and port of the platform's table service.
	TableAddr string `json:"table_addr" validate:"required,ip_port"`
	// PingMS is the time between heartbeats, in milliseconds.
	PingMS clock.Millis `json:"ping_ms" validate:"min=50,max=2000"`
	// QueueLimit is the greatest number of tasks that wait for a slot; urgent tasks may use twice as many.
	QueueLimit int `json:"queue_limit" validate:"min=1,max=100000"`
	// HoldResultsMS is the longest time that a result waits for others of its job, in milliseconds.
	HoldResultsMS clock.Millis `json:"hold_results_ms" validate:"min=0,max=10000"`
	// BatchMS is how long a frame to an entry waits for more messages, in milliseconds.
	BatchMS clock.Millis `json:"batch_ms" validate:"min=0,max=1000"`
	// KeepBytes bounds the outputs that are kept after their delivery.
	KeepBytes int `json:"keep_bytes" validate:"min=0"`
	// BackendTimeoutMS is the silence after which the backend server counts as gone, in milliseconds.
	BackendTimeoutMS clock.Millis `json:"backend_timeout_ms" validate:"min=500,max=60000"`
	// EjectAfter is the number of failures in a row after which the worker takes no tasks for a while.
	EjectAfter int `json:"eject_after" validate:"min=1,max=1000"`
	// DrainLimitMS is the longest time a planned stop waits for running tasks, in milliseconds.
	DrainLimitMS clock.Millis `json:"drain_limit_ms" validate:"min=0,max=600000"`
}

// DefaultAgent returns the settings that an agent uses where its file says nothing.
func DefaultAgent() Agent {
	return Agent{
		PingMS: 1000, QueueLimit: 16, KeepBytes: 8 << 20, BackendTimeoutMS: 3000, EjectAfter: 2,
		DrainLimitMS: 30_000,
	}
}

// LoadEntry reads and checks an entry's settings; the error lists every fault with its path.
func LoadEntry(path string) (cfg Entry, err error) {
	cfg = DefaultEntry()
	return cfg, load(path, &cfg)
}

// LoadAgent reads and checks an agent's settings; the error lists every fault with its path.
func LoadAgent(path string) (cfg Agent, err error) {
	cfg = DefaultAgent()
	if err := load(path, &cfg); err != nil {
		return cfg, err
	}
	if err := cfg.Labels.Validate(); err != nil {
		return cfg, errors.Wrapf(err, "settings %s: labels", path)
	}
	return cfg, nil
}

func load(path string, into any) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "settings %s", path)
		}
	}()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(data, into)
}

// Parse reads settings over the defaults that into holds; unknown keys are refused.
func Parse(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errors.Wrap(err, "not valid JSON for these settings")
	}
	if d.More() {
		return errors.New("more than one JSON value")
	}
	return check(into)
}

func check(settings any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		return err
	}
	err := v.Struct(settings)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		lines = append(lines, path+": "+explain(f))
	}
	return errors.New(strings.Join(lines, "; "))
}

func explain(f validator.FieldError) string {
	switch f.Tag() {
	case "ip_port":
		return "want an IP address and port such as 127.0.0.1:7000, not a host name"
	case "required":
		return "missing"
	case "min":
		return "want at least " + f.Param()
	case "max":
		return "want at most " + f.Param()
	}
	return f.Tag()
}

func isIPPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}
