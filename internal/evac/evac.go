package evac

import (
	"slices"

	"github.com/go-faster/errors"
)

// Load pattern: an availability zone is emptied, or taken back, while some processes are cut off from the store, frozen or starting.
// Every process must hear of it from whichever process knows, and none may go back to an older state.

// State is the whole set of evacuated availability zones at one version of the store; version 0 means that nothing is known.
type State struct {
	Version uint64   `cbor:"version"`
	Zones   []string `cbor:"zones,omitempty"`
}

// Limits on a State from another process.
const (
	maxVersion = uint64(1) << 60
	maxZones   = 256
	// MaxName bounds the name of an availability zone, in bytes.
	MaxName = 200
)

// Check returns an error if no process sends such a state.
func (s *State) Check() error {
	if s == nil {
		return nil
	}
	if s.Version == 0 || s.Version > maxVersion || len(s.Zones) > maxZones {
		return errors.Errorf("evacuation of %d zones at version %d", len(s.Zones), s.Version)
	}
	for _, z := range s.Zones {
		if !IsName(z) {
			return errors.Errorf("evacuation of zone %.40q", z)
		}
	}
	return nil
}

// IsName reports whether a text can be the name of an availability zone.
func IsName(zone string) bool {
	return zone != "" && len(zone) <= MaxName
}

// Register holds the newest known state. The zero value knows nothing.
type Register struct {
	state State
}

// Learn takes a state that is newer than the known one, and reports whether other zones are evacuated now.
func (r *Register) Learn(s State) (changed bool) {
	if s.Version <= r.state.Version {
		return false
	}
	zones := slices.Clone(s.Zones)
	slices.Sort(zones)
	zones = slices.Compact(zones)
	changed = !slices.Equal(zones, r.state.Zones)
	r.state = State{Version: s.Version, Zones: zones}
	return changed
}

// Known reports whether any state is known.
func (r *Register) Known() bool {
	return r.state.Version > 0
}

// Has reports whether an availability zone is evacuated.
func (r *Register) Has(zone string) bool {
	_, found := slices.BinarySearch(r.state.Zones, zone)
	return found
}

// State returns the newest known state.
func (r *Register) State() State {
	return r.state
}

// Session tracks the newest version that the process at the other end of a session is known to have, or has been sent.
type Session struct {
	version uint64
}

// Heard records a state from the other end.
func (s *Session) Heard(version uint64) {
	s.version = max(s.version, version)
}

// Due returns the state to add to the next message, or nil if the other end has it.
func (s *Session) Due(r *Register) *State {
	if s.version >= r.state.Version {
		return nil
	}
	s.version = r.state.Version
	state := r.State()
	return &state
}
