package logs

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Logging never blocks: what an output does not take is dropped beyond a bound, and the number of lines is told.
func TestLinesBeyondTheBoundAreDroppedAndCounted(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	log, flush := New(out, "p1")
	for range 10_000 {
		log.Info("line", "text", strings.Repeat("x", 100))
	}
	close(out.open)
	flush()
	text := out.buf.String()
	qt.Check(t, strings.Contains(text, "msg=line process=p1"), qt.IsTrue)
	qt.Check(t, strings.Contains(text, "msg=log_lines_dropped"), qt.IsTrue)
	qt.Check(t, len(text) < 3*maxWaiting, qt.IsTrue)
}

// steady is a clock that the test sets.
type steady struct {
	now clock.Millis
}

func (s *steady) Now() clock.Millis { return s.now }

// The time of day jumps back by an hour between two lines; the steady time tells which came first, and how much later.
func TestLinesKeepTheirOrderWhenTheTimeOfDayJumps(t *testing.T) {
	var out bytes.Buffer
	c := &steady{now: 1500}
	h := slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: addSteadyTime(c)})
	noon := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	qt.Assert(t, h.Handle(t.Context(), slog.NewRecord(noon, slog.LevelInfo, "first", 0)), qt.IsNil)
	c.now += 20
	qt.Assert(t, h.Handle(t.Context(), slog.NewRecord(noon.Add(-time.Hour), slog.LevelInfo, "second", 0)), qt.IsNil)
	qt.Check(t, out.String(), qt.Equals, "time=2026-12-04T12:00:00.000Z up_ms=1500 level=INFO msg=first\n"+
		"time=2026-12-04T11:00:00.000Z up_ms=1520 level=INFO msg=second\n")
}
