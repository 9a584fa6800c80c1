package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"corianderspur.example/corianderspur/internal/clock"
)

// timeFormat is the time of day in a line, to the millisecond.
const timeFormat = "2006-01-02T15:04:05.000Z"

const (
	// maxWaiting bounds the bytes that wait to be written.
	maxWaiting = 256 << 10
	// writeEvery is how long lines are gathered for one write.
	writeEvery = 20 * time.Millisecond
)

// writer gathers lines and writes them from a goroutine of its own; lines beyond the bound are dropped and counted.
type writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	waiting []byte
	dropped int
	closed  bool
}

// New creates a logger that writes lines of key=value pairs, and a function that flushes and closes it.
func New(out io.Writer, process string) (log logr.Logger, flush func()) {
	w := &writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	options := &slog.HandlerOptions{ReplaceAttr: addSteadyTime(clock.NewBoot())}
	log = logr.FromSlogHandler(slog.NewTextHandler(w, options)).WithValues("process", process)
	return log, w.close
}

// addSteadyTime adds the milliseconds since the start of the process to the time of day, which may jump in either direction, so that the
// lines of one process can be ordered and their distances measured.
func addSteadyTime(steady clock.Clock) func(groups []string, a slog.Attr) slog.Attr {
	return func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) > 0 || a.Key != slog.TimeKey || a.Value.Kind() != slog.KindTime {
			return a
		}
		return slog.Attr{Value: slog.GroupValue(
			slog.String(slog.TimeKey, a.Value.Time().UTC().Format(timeFormat)), slog.Int64("up_ms", int64(steady.Now())),
		)}
	}
}

// Write takes one line.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > maxWaiting {
		w.dropped++
	} else {
		w.waiting = append(w.waiting, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(writeEvery)
		if w.drain() {
			return
		}
	}
}

// drain writes the buffered lines and reports whether the writer was closed.
func (w *writer) drain() bool {
	w.mu.Lock()
	lines, dropped, closed := w.waiting, w.dropped, w.closed
	w.waiting, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=log_lines_dropped count=%d\n", dropped)
	}
	// There is nowhere to report that the log itself can't be written.
	_, _ = w.out.Write(lines)
	return closed
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.done
}
