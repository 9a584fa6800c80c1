package emul

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	explorePairs = flag.Int("emul.pairs", 150, "number of explored sessions with two deviations")
	exploreSeed  = flag.Uint64("emul.pairseed", 1, "seed of the explored sessions with two deviations")
)

// Each single delay and fault in a session, and pairs of them, keep the promises. With one agent a job has no room elsewhere.
func TestExploredSessions(t *testing.T) {
	for _, agents := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d agents", agents), func(t *testing.T) {
			t.Parallel()
			e := Explore(agents, *explorePairs, *exploreSeed)
			t.Logf("%d sessions, %d choices in the usual one", e.Sessions, e.Choices)
			if e.Violation != "" {
				t.Log(e.Story())
			}
			qt.Check(t, e.Violation, qt.Equals, "")
		})
	}
}

// A path leads to the same session each time.
func TestExploredSessionRepeats(t *testing.T) {
	e := Exploration{Agents: 2, Path: []Deviation{{At: 20, Option: 1}, {At: 90, Option: 1}}}
	qt.Check(t, e.Story(), qt.Equals, e.Story())
}
