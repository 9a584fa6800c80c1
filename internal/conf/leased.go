package conf

import (
	"corianderspur.example/corianderspur/internal/clock"
)

// Bounds of the chain of leases, in milliseconds. SilenceMS and LeaseMS together, with what clocks may differ, have to
// stay below the shortest time after which a caller sends a job again to another entry.
const (
	defaultBeat         clock.Millis = 100
	defaultSilence      clock.Millis = 400
	defaultIdleBeat     clock.Millis = 400
	defaultIdleSilence  clock.Millis = 1000
	defaultLease        clock.Millis = 800
	defaultReattach     clock.Millis = 200
	defaultPollWait     clock.Millis = 120
	defaultOrderTimeout clock.Millis = 40
	// defaultEvacuationWait is the time that a hedged read of the store takes at most.
	defaultEvacuationWait clock.Millis = 500
	// defaultTick is a fifth of the shortest time that the state machines wait for.
	defaultTick clock.Millis = 15
)

// Dispatcher holds the settings of an entry's dispatcher of jobs that may run again after a loss.
type Dispatcher struct {
	// Name is the name of the instance.
	Name string `json:"name" validate:"required,max=63"`
	// AvailabilityZone is the availability zone of the instance.
	AvailabilityZone string `json:"availability_zone" validate:"required"`
	// CallerAddr is the IP address and port for callers.
	CallerAddr string `json:"caller_addr" validate:"required,ip_port"`
	// ReadyAddr is the IP address and port at which the balancer asks for readiness.
	ReadyAddr string `json:"ready_addr" validate:"required,ip_port"`
	// MetricsAddr is the IP address and port of the metrics.
	MetricsAddr string `json:"metrics_addr" validate:"required,ip_port"`
	// TableAddr is the IP address and port of the platform's table service.
	TableAddr string `json:"table_addr" validate:"required,ip_port"`
	// BeatMS is the time between heartbeats to an agent, in milliseconds.
	BeatMS clock.Millis `json:"beat_ms" validate:"min=10,max=10000"`
	// SilenceMS is how long an agent may be silent before its work counts as lost, in milliseconds.
	SilenceMS clock.Millis `json:"silence_ms" validate:"min=100,max=10000"`
	// IdleBeatMS and IdleSilenceMS are the same for an agent that has no work of this entry, in milliseconds.
	IdleBeatMS    clock.Millis `json:"idle_beat_ms" validate:"min=10,max=10000"`
	IdleSilenceMS clock.Millis `json:"idle_silence_ms" validate:"min=100,max=10000"`
	// LeaseMS is how long a backend server works on after its agent was lost, in milliseconds.
	LeaseMS clock.Millis `json:"lease_ms" validate:"min=100,max=10000"`
	// ReattachMS is how long a reset session has to come back before its work counts as lost, in milliseconds.
	ReattachMS clock.Millis `json:"reattach_ms" validate:"min=10,max=10000"`
	// DialTimeoutMS bounds the opening of a session and the pause before the next try, in milliseconds.
	DialTimeoutMS clock.Millis `json:"dial_timeout_ms" validate:"min=50,max=10000"`
	// RedialMS is the first pause before a session is opened again, in milliseconds.
	RedialMS clock.Millis `json:"redial_ms" validate:"min=1,max=10000"`
	// AnswerMarginMS is how long before the caller's deadline an answer leaves, in milliseconds.
	AnswerMarginMS clock.Millis `json:"answer_margin_ms" validate:"min=0,max=10000"`
	// DrainLimitMS is the longest time a planned stop waits for jobs, in milliseconds.
	DrainLimitMS clock.Millis `json:"drain_limit_ms" validate:"min=0,max=600000"`
	// FarFactor is how much longer a task takes away from its data.
	FarFactor float64 `json:"far_factor" validate:"min=1,max=1000"`
	// ColdFactor is how much longer a task takes on a backend server that is slow after its start.
	ColdFactor Factor `json:"cold_factor" validate:"min=1,max=1000"`
	// KeepApart lists the services whose kinds of tasks are kept apart where they slow each other down and there is room; * stands for all.
	KeepApart []string `json:"keep_apart" validate:"max=64,dive,min=1,max=256"`
	// FeedWaitMS is how long the table service may hold a request for changes back, in milliseconds.
	FeedWaitMS clock.Millis `json:"feed_wait_ms" validate:"min=10,max=30000"`
	// TickMS is the time between ticks of the state machine, in milliseconds.
	TickMS clock.Millis `json:"tick_ms" validate:"min=1,max=1000"`
	// GCPercent is the growth of memory at which garbage is collected, in percent.
	GCPercent int `json:"gc_percent" validate:"min=10,max=10000"`
	// MemoryMB is the memory that the process may use, in megabytes; 0 sets no limit.
	MemoryMB int64 `json:"memory_mb" validate:"min=0"`
}

// DefaultDispatcher returns the defaults of the settings that a dispatcher's file omits.
func DefaultDispatcher() Dispatcher {
	return Dispatcher{
		BeatMS: defaultBeat, SilenceMS: defaultSilence, IdleBeatMS: defaultIdleBeat, IdleSilenceMS: defaultIdleSilence,
		LeaseMS: defaultLease, ReattachMS: defaultReattach,
		DialTimeoutMS: 300, RedialMS: 10, AnswerMarginMS: 60, DrainLimitMS: 5500, FeedWaitMS: 1000, FarFactor: 1, ColdFactor: 1, GCPercent: 200, TickMS: defaultTick,
	}
}

// Keeper holds the settings of an agent that keeps leased runs.
type Keeper struct {
	// Name is the name of the instance.
	Name string `json:"name" validate:"required,max=63"`
	// AvailabilityZone is the availability zone of the instance.
	AvailabilityZone string `json:"availability_zone" validate:"required"`
	// SessionAddr is the IP address and port for sessions with entries.
	SessionAddr string `json:"session_addr" validate:"required,ip_port"`
	// AnnounceAddr is the IP address and port at which the backend server announces itself.
	AnnounceAddr string `json:"announce_addr" validate:"required,ip_port"`
	// Service names the service that the backend server belongs to.
	Service string `json:"service" validate:"required"`
	// BackendAddr is the IP address and port of the backend server.
	BackendAddr string `json:"backend_addr" validate:"required,ip_port"`
	// MetricsAddr is the IP address and port of the metrics.
	MetricsAddr string `json:"metrics_addr" validate:"required,ip_port"`
	// TableAddr is the IP address and port of the platform's table service.
	TableAddr string `json:"table_addr" validate:"required,ip_port"`
	// LeaseMS is how long the backend server works on without a renewal, in milliseconds.
	LeaseMS clock.Millis `json:"lease_ms" validate:"min=100,max=10000"`
	// SilenceMS is how long a dispatcher may be silent before its runs are stopped, in milliseconds.
	SilenceMS clock.Millis `json:"silence_ms" validate:"min=100,max=10000"`
	// IdleSilenceMS is how long a dispatcher without runs may be silent before its session is closed, in milliseconds.
	IdleSilenceMS clock.Millis `json:"idle_silence_ms" validate:"min=100,max=10000"`
	// ReattachMS is how long a dispatcher has for a new session when the old one was reset, in milliseconds.
	ReattachMS clock.Millis `json:"reattach_ms" validate:"min=10,max=10000"`
	// PollWaitMS is how long the backend server waits for an end before it answers, in milliseconds.
	PollWaitMS clock.Millis `json:"look_wait_ms" validate:"min=1,max=2000"`
	// OrderTimeoutMS is how long the backend server's answer to an order may take, in milliseconds.
	OrderTimeoutMS clock.Millis `json:"order_timeout_ms" validate:"min=5,max=10000"`
	// DrainLimitMS is the longest time a planned stop waits for running tasks, in milliseconds.
	DrainLimitMS clock.Millis `json:"drain_limit_ms" validate:"min=0,max=600000"`
	// EvacuationWaitMS bounds how long no task is accepted after the start until the evacuated availability zones are known, in
	// milliseconds.
	EvacuationWaitMS clock.Millis `json:"evacuation_wait_ms" validate:"min=0,max=10000"`
	// TickMS is the time between ticks of the state machine, in milliseconds.
	TickMS clock.Millis `json:"tick_ms" validate:"min=1,max=1000"`
	// GCPercent is the growth of memory at which garbage is collected, in percent.
	GCPercent int `json:"gc_percent" validate:"min=10,max=10000"`
	// MemoryMB is the memory that the process may use, in megabytes; 0 sets no limit.
	MemoryMB int64 `json:"memory_mb" validate:"min=0"`
}

// DefaultKeeper returns the defaults of the settings that a keeper's file omits.
func DefaultKeeper() Keeper {
	return Keeper{
		LeaseMS: defaultLease, SilenceMS: defaultSilence, IdleSilenceMS: defaultIdleSilence, ReattachMS: defaultReattach, PollWaitMS: defaultPollWait,
		OrderTimeoutMS: defaultOrderTimeout, DrainLimitMS: 5500, EvacuationWaitMS: defaultEvacuationWait, GCPercent: 200, TickMS: defaultTick,
	}
}

// LoadDispatcher reads and checks a dispatcher's settings; the error lists every fault with its path.
func LoadDispatcher(path string) (cfg Dispatcher, err error) {
	cfg = DefaultDispatcher()
	err = load(path, &cfg)
	return cfg, err
}

// LoadKeeper reads and checks a keeper's settings; the error lists every fault with its path.
func LoadKeeper(path string) (cfg Keeper, err error) {
	cfg = DefaultKeeper()
	err = load(path, &cfg)
	return cfg, err
}
