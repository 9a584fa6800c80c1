package clock

import "container/heap"

// Agenda is a queue of functions to call at times of a fake clock; those due at the same time are called in the order in which they
// were added.
type Agenda struct {
	steps steps
	seq   int
}

type step struct {
	at  Millis
	seq int
	f   func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || (s[i].at == s[j].at && s[i].seq < s[j].seq)
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// Add schedules a function.
func (a *Agenda) Add(at Millis, f func()) {
	a.seq++
	heap.Push(&a.steps, step{at: at, seq: a.seq, f: f})
}

// Next removes and returns the earliest function if it is due by a time.
func (a *Agenda) Next(until Millis) (at Millis, f func(), ok bool) {
	if len(a.steps) == 0 || a.steps[0].at > until {
		return 0, nil, false
	}
	s := heap.Pop(&a.steps).(step)
	return s.at, s.f, true
}
