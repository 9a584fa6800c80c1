package disp

import (
	"maps"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/contend"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/place"
	"corianderspur.example/corianderspur/internal/proto"
)

// The load pattern of kinds of tasks that slow each other down on one backend server, while others have room: agents report what ran
// beside each run, and the dispatcher learns from its own runs at all agents which kinds to keep apart.

// keepsApart reports whether the kinds of a service are kept apart.
func (m *Machine) keepsApart(service string) bool {
	return slices.Contains(m.cfg.KeepApart, service) || slices.Contains(m.cfg.KeepApart, AnyService)
}

// AnyService stands for all services in Config.KeepApart.
const AnyService = "*"

// kindOf returns what the tasks of a step are alike with, or an empty string where kinds aren't kept apart.
func (m *Machine) kindOf(j *job, s Step) string {
	switch {
	case !m.keepsApart(j.Service):
		return ""
	case s.Kind != "":
		return s.Kind
	}
	return j.Queue
}

// apartOf returns what placement takes into account of the kinds of a service; nil where they aren't kept apart.
func (m *Machine) apartOf(service string) *place.Apart {
	if table := m.tableOf(service); table != nil {
		return &place.Apart{Known: table}
	}
	return nil
}

// noteMoved counts the tasks of a job that were placed elsewhere to keep kinds apart.
func (m *Machine) noteMoved(j *job, needs []place.Task) {
	if len(needs) > 0 && needs[0].Apart != nil && needs[0].Apart.Moved > 0 {
		m.note(event.Note{Name: "tasks_kept_apart", Job: j.ID, Class: j.Queue, Count: needs[0].Apart.Moved, Quiet: true})
	}
}

// tableOf returns what is known of the kinds of a service; nil where they aren't kept apart.
func (m *Machine) tableOf(service string) *contend.Table {
	if !m.keepsApart(service) {
		return nil
	}
	t := m.apart[service]
	if t == nil {
		t = contend.NewTable()
		m.apart[service] = t
	}
	return t
}

// learnApart learns from a run that is done.
func (m *Machine) learnApart(v *agentView, j *job, t *task, e proto.End) {
	step := j.Steps[t.step]
	table := m.tableOf(j.Service)
	if table == nil || step.Estimate <= 0 || e.TookMS <= 0 {
		return
	}
	s := contend.Sample{Server: v.name, Kind: m.kindOf(j, step), Ratio: float64(e.TookMS) / float64(step.Estimate), Beside: loads(e.Beside)}
	table.Observe(m.now, s)
	found, dropped := table.Refresh(m.now)
	for _, p := range found {
		m.notePair("kinds_disturb", p)
	}
	for _, p := range dropped {
		m.notePair("kinds_no_longer_disturb", p)
	}
}

// notePair logs a pair; its figures are in percent.
func (m *Machine) notePair(name string, p contend.Pair) {
	m.note(event.Note{Name: name, Class: p.Kind, Reason: p.By, Count: int(100 * p.Factor), Seq: uint64(100 * max(p.Low, 0))})
}

func loads(list []proto.KindShare) (l []contend.Load) {
	for _, k := range list {
		l = append(l, contend.Load{Kind: k.Kind, Share: k.Share})
	}
	return l
}

// Disturbance is a pair of kinds of tasks of a service that is believed to disturb each other.
type Disturbance struct {
	Service string `json:"service"`
	// Kind is slowed down by By.
	Kind string `json:"kind"`
	By   string `json:"by"`
	// Factor is how much longer a task takes where half of a backend server is taken by tasks of By instead of others, Low and High its interval.
	Factor float64 `json:"factor"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
	// Samples is the number of runs behind it, with old ones counting less.
	Samples float64 `json:"samples"`
	// Age is the time since the pair was first believed, in milliseconds.
	Age clock.Millis `json:"age_ms"`
}

// Disturbances returns the pairs of kinds that are believed to disturb each other, the strongest of each service first.
func (m *Machine) Disturbances() []Disturbance {
	list := []Disturbance{}
	for _, service := range slices.Sorted(maps.Keys(m.apart)) {
		for _, p := range m.apart[service].Pairs() {
			list = append(list, Disturbance{
				Service: service, Kind: p.Kind, By: p.By, Factor: p.Factor, Low: p.Low, High: p.High, Samples: p.Samples, Age: m.now - p.Since,
			})
		}
	}
	return list
}
