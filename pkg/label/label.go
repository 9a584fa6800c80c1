package label

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Limits on labels that arrive from outside, in bytes and entries.
const (
	MaxName    = 63
	MaxValue   = 127
	MaxEntries = 32
)

// Set maps label names to values.
type Set map[string]string

// Names returns the label names in ascending order.
func (s Set) Names() []string {
	return slices.Sorted(maps.Keys(s))
}

// Merge returns a new set in which the labels of over replace those of s.
func (s Set) Merge(over Set) Set {
	merged := make(Set, len(s)+len(over))
	maps.Copy(merged, s)
	maps.Copy(merged, over)
	return merged
}

// Validate returns an error that names the first label which is malformed or out of bounds.
func (s Set) Validate() error {
	if len(s) > MaxEntries {
		return errors.Errorf("%d labels, at most %d allowed", len(s), MaxEntries)
	}
	for _, name := range s.Names() {
		if !validWord(name, MaxName) {
			return errors.Errorf("label name %q: want 1 to %d letters, digits, '-', '_', '.' or '/'", name, MaxName)
		}
		if value := s[name]; value != "" && !validWord(value, MaxValue) {
			return errors.Errorf("label %s: value %q: want at most %d letters, digits, '-', '_', '.' or '/'", name, value, MaxValue)
		}
	}
	return nil
}

func validWord(word string, limit int) bool {
	if word == "" || len(word) > limit {
		return false
	}
	for _, c := range word {
		if !isWordRune(c) {
			return false
		}
	}
	return true
}

func isWordRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '_', c == '.', c == '/':
		return true
	}
	return false
}
