package emul

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/internal/room"
)

// linesWith returns the log's lines that hold a text, without their times.
func (w *World) linesWith(text string) (lines []string) {
	for line := range strings.Lines(w.Log.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// The way from a failed request's id to its cause, as the operations page describes it: the id's lines name the agent,
// the agent's lines say what became of it.
func TestLogsExplainAJobThatWasLostWithItsAgent(t *testing.T) {
	w := New(DefaultConfig(3))
	w.Verbose = true
	w.Run(3 * clock.Second)
	c := w.Submit(1, Tasks{Count: 1, Need: room.Resources{CPU: 1000}, Work: 300, Estimate: 300, Patience: 1200})
	w.Run(w.now + 20)
	for _, a := range w.agents {
		if len(a.runner.runs) > 0 {
			w.Kill(a, true, 20*clock.Second)
		}
	}
	w.Run(w.now + 1000)
	qt.Assert(t, c.Answer, qt.Not(qt.Equals), disp.Completed)

	story := strings.Join(w.linesWith("job="+c.Job.ID), "\n")
	for _, step := range []string{"job_begun", "task_lost", "job_unknown", "reason=agent_lost"} {
		qt.Check(t, strings.Contains(story, step), qt.IsTrue, qt.Commentf("%s in\n%s", step, story))
	}
	var peer string
	for _, line := range w.linesWith("task_lost") {
		_, rest, _ := strings.Cut(line, "peer=")
		peer, _, _ = strings.Cut(rest, " ")
	}
	qt.Assert(t, peer, qt.Not(qt.Equals), "")
	qt.Check(t, w.linesWith(fmt.Sprintf("agent_silent job= reason= peer=%s", peer)), qt.Not(qt.HasLen), 0)
}
