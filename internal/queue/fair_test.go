package queue_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/queue"
)

func drain(q *queue.Fair[string]) string {
	var all []string
	for {
		item, ok := q.Next(true)
		if !ok {
			return strings.Join(all, " ")
		}
		all = append(all, item)
	}
}

func TestTenantsTakeTurns(t *testing.T) {
	var q queue.Fair[string]
	for _, item := range []string{"a1", "a2", "a3", "b1", "c1", "b2"} {
		q.Push(false, item[:1], item)
	}
	qt.Assert(t, drain(&q), qt.Equals, "a1 b1 c1 a2 b2 a3")
}

func TestUrgentGoesFirstWithoutStarvingOthers(t *testing.T) {
	var q queue.Fair[string]
	for range 20 {
		q.Push(true, "a", "U")
	}
	q.Push(false, "a", "n")
	q.Push(false, "a", "n")
	qt.Assert(t, drain(&q), qt.Equals, "U U U U U U U U n U U U U U U U U n U U U U")
}
