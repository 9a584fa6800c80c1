package node

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/go-logr/logr"

	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/meter"
)

// NewLogger creates a logger that writes one line of key=value pairs for each event to standard error.
func NewLogger(process string) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil)).WithValues("process", process)
}

// notes writes what a state machine notes to the log and the meter.
type notes struct {
	log   logr.Logger
	meter *meter.Meter
}

func (n *notes) take(note event.Note) {
	n.meter.Note(note)
	if note.Quiet {
		return
	}
	n.log.Info(note.Name, pairs(note)...)
}

func pairs(n event.Note) []any {
	var kv []any
	add := func(set bool, key string, value any) {
		if set {
			kv = append(kv, key, value)
		}
	}
	add(n.Job != "", "job", n.Job)
	add(n.Tenant != "", "tenant", n.Tenant)
	add(n.Class != "", "class", n.Class)
	add(n.Reason != "", "reason", n.Reason)
	add(n.Instance != "", "instance", n.Instance)
	add(n.Peer != "", "peer", string(n.Peer))
	add(n.Name == "shard_owned", "shard", n.Shard)
	add(n.Version != 0, "version", n.Version)
	add(n.Run != 0, "run", n.Run)
	add(n.Seq != 0, "seq", n.Seq)
	add(n.Count != 0, "count", n.Count)
	if n.Agents != 0 {
		kv = append(kv, "agents", n.Agents, "free", n.Free, "age_ms", int64(n.Age), "waiting", n.Waiting)
	}
	add(n.Binding != "", "usable", n.Usable)
	add(n.Binding != "", "binding", n.Binding)
	add(n.Work != 0, "core_ms", n.Work/1000)
	add(n.Late, "late", n.Late)
	if u := n.Usage; u != nil {
		kv = append(kv, "used_core_ms", u.UsedCoreMS, "usable_core_ms", u.UsableCoreMS, "reused", u.Reused,
			"idle_p50_ms", int64(u.IdleP50), "idle_p99_ms", int64(u.IdleP99))
		add(u.NormalPace > 0, "pace", fmt.Sprintf("%.2f", u.Pace))
		add(u.NormalPace > 0, "normal_pace", fmt.Sprintf("%.2f", u.NormalPace))
	}
	add(n.Placed != 0, "placed_ms", int64(n.Placed))
	add(n.Returned != 0, "returned", n.Returned)
	add(n.RetryAfter != 0, "retry_after_ms", int64(n.RetryAfter))
	add(n.Took != 0, "took_ms", int64(n.Took))
	return kv
}
