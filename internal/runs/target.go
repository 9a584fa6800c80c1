package runs

import "slices"

// target is what a dispatcher placed a run on. Load pattern: backend servers that start again, as another kind, while orders for them are
// on their way.
type target struct {
	service string
	// instance is the chosen incarnation; an empty id is any.
	instance Incarnation
	// label is required of the backend server; empty for none.
	label string
}

// matches reports whether a run that was placed on the target may start on the instance.
func (t target) matches(in *Instance) bool {
	if t.instance.ID != "" && t.instance != in.Incarnation() {
		return false
	}
	return t.service == in.Service && (t.label == "" || slices.Contains(in.Labels, t.label))
}
