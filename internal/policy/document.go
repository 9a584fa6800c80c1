package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/evac"
	"corianderspur.example/corianderspur/pkg/label"
)

// Limits on the size of a document, in entries and attempts.
const (
	MaxRules    = 500
	MaxTenants  = 1000
	MaxAttempts = 5
	MaxWorkers  = 10000
	MaxZones    = 256
)

// Document is the operators' configuration; it is replaced only as a whole and only by a higher version.
type Document struct {
	Version  uint64               `json:"version" cbor:"version"`
	ChangeID string               `json:"change_id,omitempty" cbor:"change_id,omitempty"`
	Who      string               `json:"who,omitempty" cbor:"who,omitempty"`
	Why      string               `json:"why,omitempty" cbor:"why,omitempty"`
	Rules    []Rule               `json:"rules" cbor:"rules"`
	Tenants  []Tenant             `json:"tenants" cbor:"tenants"`
	Workers  map[string]label.Set `json:"worker_labels,omitempty" cbor:"worker_labels,omitempty"`
	// Evacuated lists the availability zones in which no task is started.
	Evacuated []string `json:"evacuated_zones,omitempty" cbor:"evacuated_zones,omitempty"`
}

// Rule defines how requests whose labels match its request selector are handled; the first matching rule applies.
type Rule struct {
	// Name identifies the rule in logs, metrics and errors.
	Name string `json:"name" cbor:"name"`
	// Request selects requests by their labels; empty selects all.
	Request string `json:"request" cbor:"request"`
	// Worker selects the workers that may run the request; empty allows all.
	Worker string `json:"worker,omitempty" cbor:"worker,omitempty"`
	// Urgent requests go before all others.
	Urgent bool `json:"urgent,omitempty" cbor:"urgent,omitempty"`
	// Repeatable tasks may be started again, up to MaxAttempts starts in all.
	Repeatable bool `json:"repeatable,omitempty" cbor:"repeatable,omitempty"`
	// MaxAttempts is the maximum number of starts of one repeatable task; zero means 1. The last start is reserved for the
	// case that an entry and an agent are lost together, so a failed task is retried only if MaxAttempts is at least 3.
	MaxAttempts int `json:"max_attempts,omitempty" cbor:"max_attempts,omitempty"`
	// Deny refuses the requests.
	Deny bool `json:"deny,omitempty" cbor:"deny,omitempty"`
}

// Tenant limits what one tenant may submit to the whole deployment.
type Tenant struct {
	// Name is the tenant's name, as given by callers.
	Name string `json:"name" cbor:"name"`
	// TasksPerSecond is the sustained rate of tasks accepted; zero means no limit.
	TasksPerSecond float64 `json:"tasks_per_second,omitempty" cbor:"tasks_per_second,omitempty"`
	// Burst is the number of tasks accepted at once above the rate.
	Burst float64 `json:"burst,omitempty" cbor:"burst,omitempty"`
	// MaxQueued bounds the tasks of the tenant that wait at one entry; zero means no limit.
	MaxQueued int `json:"max_queued,omitempty" cbor:"max_queued,omitempty"`
}

// FieldError is one error in a document, at a path such as rules[2].request.
type FieldError struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// InvalidError lists every error found in a document.
type InvalidError struct {
	Fields []FieldError `json:"fields"`
}

// Error lists the errors, separated by semicolons.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		parts = append(parts, f.Path+": "+f.Reason)
	}
	return "invalid configuration: " + strings.Join(parts, "; ")
}

type fieldErrors []FieldError

func (f *fieldErrors) add(reason, path string, args ...any) {
	*f = append(*f, FieldError{Path: fmt.Sprintf(path, args...), Reason: reason})
}

// Validate returns an *InvalidError that lists every error in the document, or nil.
func (d *Document) Validate() error {
	var f fieldErrors
	if len(d.Rules) > MaxRules {
		f.add(fmt.Sprintf("%d entries, at most %d allowed", len(d.Rules), MaxRules), "rules")
	}
	if len(d.Tenants) > MaxTenants {
		f.add(fmt.Sprintf("%d entries, at most %d allowed", len(d.Tenants), MaxTenants), "tenants")
	}
	if len(d.Workers) > MaxWorkers {
		f.add(fmt.Sprintf("%d entries, at most %d allowed", len(d.Workers), MaxWorkers), "worker_labels")
	}
	d.validateEvacuated(&f)
	d.validateRules(&f)
	d.validateTenants(&f)
	for name, labels := range d.Workers {
		if err := labels.Validate(); err != nil {
			f.add(err.Error(), "worker_labels.%s", name)
		}
	}
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b FieldError) int { return strings.Compare(a.Path, b.Path) })
	return &InvalidError{Fields: f}
}

func (d *Document) validateEvacuated(f *fieldErrors) {
	if len(d.Evacuated) > MaxZones {
		f.add(fmt.Sprintf("%d entries, at most %d allowed", len(d.Evacuated), MaxZones), "evacuated_zones")
	}
	for i, zone := range d.Evacuated {
		if !evac.IsName(zone) {
			f.add(fmt.Sprintf("want 1 to %d bytes", evac.MaxName), "evacuated_zones[%d]", i)
		}
		if slices.Contains(d.Evacuated[:i], zone) {
			f.add("zone used twice", "evacuated_zones[%d]", i)
		}
	}
}

func (d *Document) validateRules(f *fieldErrors) {
	seen := map[string]bool{}
	for i, r := range d.Rules {
		if r.Name == "" || len(r.Name) > label.MaxName {
			f.add("want 1 to 63 bytes", "rules[%d].name", i)
		}
		if seen[r.Name] {
			f.add("name used twice", "rules[%d].name", i)
		}
		seen[r.Name] = true
		if _, err := label.Parse(r.Request); err != nil {
			f.add(err.Error(), "rules[%d].request", i)
		}
		if _, err := label.Parse(r.Worker); err != nil {
			f.add(err.Error(), "rules[%d].worker", i)
		}
		if r.MaxAttempts < 0 || r.MaxAttempts > MaxAttempts {
			f.add("want 0 to 5", "rules[%d].max_attempts", i)
		}
		if r.MaxAttempts > 1 && !r.Repeatable {
			f.add("more than one attempt needs repeatable", "rules[%d].max_attempts", i)
		}
	}
}

func (d *Document) validateTenants(f *fieldErrors) {
	seen := map[string]bool{}
	for i, t := range d.Tenants {
		if t.Name == "" || seen[t.Name] {
			f.add("empty or used twice", "tenants[%d].name", i)
		}
		seen[t.Name] = true
		if t.TasksPerSecond < 0 {
			f.add("negative", "tenants[%d].tasks_per_second", i)
		}
		if t.Burst < 0 {
			f.add("negative", "tenants[%d].burst", i)
		}
		if t.MaxQueued < 0 {
			f.add("negative", "tenants[%d].max_queued", i)
		}
	}
}

// Decision is how one request is handled.
type Decision struct {
	Rule        string
	Urgent      bool
	Repeatable  bool
	MaxAttempts int
	Denied      bool
	Worker      label.Selector
}

type compiledRule struct {
	request  label.Selector
	decision Decision
}

// Policy is a compiled document.
type Policy struct {
	Document *Document
	rules    []compiledRule
	tenants  map[string]Tenant
}

// Compile validates a document and parses its selectors.
func Compile(d *Document) (p *Policy, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "compile configuration version %d", d.Version)
		}
	}()
	if err := d.Validate(); err != nil {
		return nil, err
	}
	p = &Policy{Document: d, tenants: make(map[string]Tenant, len(d.Tenants))}
	for _, t := range d.Tenants {
		p.tenants[t.Name] = t
	}
	for _, r := range d.Rules {
		request, err := label.Parse(r.Request)
		if err != nil {
			return nil, err
		}
		worker, err := label.Parse(r.Worker)
		if err != nil {
			return nil, err
		}
		p.rules = append(p.rules, compiledRule{request: request, decision: Decision{
			Rule: r.Name, Urgent: r.Urgent, Repeatable: r.Repeatable, Denied: r.Deny,
			MaxAttempts: max(1, r.MaxAttempts), Worker: worker,
		}})
	}
	return p, nil
}

// Decide returns the decision of the first matching rule; without one, it allows a single start on any worker.
func (p *Policy) Decide(request label.Set) Decision {
	for i := range p.rules {
		if p.rules[i].request.Matches(request) {
			return p.rules[i].decision
		}
	}
	return Decision{Rule: "default", MaxAttempts: 1}
}

// Tenant returns the limits of a tenant; an unknown tenant has none.
func (p *Policy) Tenant(name string) Tenant {
	t, ok := p.tenants[name]
	if !ok {
		return Tenant{Name: name}
	}
	return t
}

// WorkerLabels returns the labels of a worker; those set by operators override its own.
func (p *Policy) WorkerLabels(name string, own label.Set) label.Set {
	return own.Merge(p.Document.Workers[name])
}

// Evacuates reports whether no task may be started in an availability zone.
func (p *Policy) Evacuates(zone string) bool {
	return slices.Contains(p.Document.Evacuated, zone)
}

// ForTenant returns the part of a document that one tenant may see: its own limits, without rules or workers.
func (d *Document) ForTenant(name string) Document {
	part := Document{Version: d.Version}
	for _, t := range d.Tenants {
		if t.Name == name {
			part.Tenants = append(part.Tenants, t)
		}
	}
	return part
}
