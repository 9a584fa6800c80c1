package wait_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/wait"
)

// 60 callers of a burst are refused within a second by a dispatcher that serves 100 jobs a second. Their retries are spread over
// three seconds instead of all falling into the next one.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	r := &wait.RetrySchedule{}
	now := clock.Millis(5000)
	for range 10 {
		for range 100 {
			r.Served(now)
			now += 10
		}
	}
	callers := map[clock.Millis]int{}
	for range 60 {
		callers[r.Delay(now)]++
	}
	qt.Check(t, len(callers) >= 3 && len(callers) <= 4, qt.IsTrue)
	for _, n := range callers {
		qt.Check(t, n <= 20, qt.IsTrue)
	}
	// Retries scheduled for seconds that have passed no longer count.
	qt.Check(t, r.Delay(now+20*clock.Second), qt.Equals, clock.Second)
}

// A dispatcher that serves nothing spreads the retries evenly up to the longest delay.
func TestReturnsAreBounded(t *testing.T) {
	r := &wait.RetrySchedule{}
	callers := map[clock.Millis]int{}
	for range 100 {
		callers[r.Delay(7000)]++
	}
	qt.Check(t, callers, qt.HasLen, 10)
	qt.Check(t, callers[10*clock.Second], qt.Equals, 10)
}
