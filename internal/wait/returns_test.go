package wait_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/wait"
)

// The load pattern of a burst: 60 callers are refused within a second by a dispatcher that serves 100 jobs a second. They come back
// over three seconds, not all in the next one.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	r := &wait.Returns{}
	now := clock.Millis(5000)
	for range 10 {
		for range 100 {
			r.Served(now)
			now += 10
		}
	}
	told := map[clock.Millis]int{}
	for range 60 {
		told[r.After(now)]++
	}
	qt.Check(t, len(told) >= 3 && len(told) <= 4, qt.IsTrue)
	for _, n := range told {
		qt.Check(t, n <= 20, qt.IsTrue)
	}
	// Seconds pass, and so do the callers that were told to come back in them.
	qt.Check(t, r.After(now+20*clock.Second), qt.Equals, clock.Second)
}

// A dispatcher that serves nothing keeps its callers away for as long as it may, evenly.
func TestReturnsAreBounded(t *testing.T) {
	r := &wait.Returns{}
	told := map[clock.Millis]int{}
	for range 100 {
		told[r.After(7000)]++
	}
	qt.Check(t, told, qt.HasLen, 10)
	qt.Check(t, told[10*clock.Second], qt.Equals, 10)
}
