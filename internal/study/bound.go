package study

import (
	"cmp"
	"container/heap"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

// bucket is the resolution of Bound in milliseconds.
const bucket = 5 * clock.Millis(1)

// fractionSteps is the number of bisections for a job of which only a part fits.
const fractionSteps = 10

// Bound returns a worth that no schedule of the load exceeds.
//
// A schedule that answers a job within a time has used the job's volume between its arrival and that time, at no more than the
// capacity of all servers together. So the volumes that it uses fit into the relaxed problem in which work is divisible without
// limit and runs anywhere. There, the sets of volumes that fit form a polymatroid, over which taking jobs greedily by worth per
// volume, each as far as it fits beside those before, earns the most. A job earns lateWorthShare of its worth if it is answered by
// usefulObjectives times its objective, and the rest if it is answered in time. The bound is the sum of the two maxima, each taken
// by itself. Rounding windows to whole buckets widens them only.
func (l *Load) Bound() float64 {
	inTime := l.divisibleBound(1)
	late := l.divisibleBound(usefulObjectives)
	return (1-lateWorthShare)*inTime + lateWorthShare*late
}

// piece is a volume to be used within [from, to), in buckets.
type piece struct {
	from, to int
	volume   float64
	worth    float64
}

// divisibleBound returns the most that divisible work can earn within a multiple of the objectives.
func (l *Load) divisibleBound(objectives clock.Millis) (worth float64) {
	var pieces []piece
	last := 0
	for _, j := range l.Jobs {
		p := piece{from: int(j.At / bucket), to: int((j.At + objectives*j.Objective + bucket - 1) / bucket), volume: j.Volume(), worth: j.Worth}
		pieces = append(pieces, p)
		last = max(last, p.to)
	}
	capacity := l.capacity(last)
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(b.worth/b.volume, a.worth/a.volume) })
	s := &schedule{capacity: capacity, free: slices.Clone(capacity)}
	for _, p := range pieces {
		worth += p.worth * s.add(p)
	}
	return worth
}

// capacity returns the capacity of each bucket, in thousandths of a core times milliseconds.
func (l *Load) capacity(buckets int) []float64 {
	capacity := make([]float64, buckets)
	for b := range capacity {
		for _, s := range l.Servers {
			for i := range bucket {
				capacity[b] += float64(s.CPU) * s.Speed(clock.Millis(b)*bucket+i)
			}
		}
	}
	return capacity
}

// schedule holds pieces that fit, sorted by their start, and what one allocation of them leaves free.
type schedule struct {
	capacity, free []float64
	pieces         []piece
}

// add takes as much of a piece as fits beside the others, and returns that share of it.
func (s *schedule) add(p piece) float64 {
	if s.placeDirectly(p) {
		s.insert(p)
		return 1
	}
	if free, ok := s.allocate(p); ok {
		s.insert(p)
		s.free = free
		return 1
	}
	low, high := 0.0, 1.0
	var best []float64
	for range fractionSteps {
		middle := (low + high) / 2
		part := p
		part.volume *= middle
		if free, ok := s.allocate(part); ok {
			low, best = middle, free
		} else {
			high = middle
		}
	}
	if best != nil {
		s.free = best
		p.volume *= low
		s.insert(p)
	}
	return high
}

func (s *schedule) insert(p piece) {
	i, _ := slices.BinarySearchFunc(s.pieces, p, func(a, b piece) int { return a.from - b.from })
	s.pieces = slices.Insert(s.pieces, i, p)
}

// placeDirectly takes a piece from what the present allocation leaves free, if that is enough.
func (s *schedule) placeDirectly(p piece) bool {
	sum := 0.0
	for b := p.from; b < p.to; b++ {
		sum += s.free[b]
	}
	if sum < p.volume {
		return false
	}
	left := p.volume
	for b := p.from; b < p.to; b++ {
		used := min(left, s.free[b])
		s.free[b] -= used
		left -= used
	}
	return true
}

// allocate allocates the pieces and one more, the earliest end first, and returns what is left free; ok is false if they don't fit.
func (s *schedule) allocate(extra piece) (free []float64, ok bool) {
	free = slices.Clone(s.capacity)
	var ready byEnd
	next, added := 0, false
	for b := range free {
		for ; next < len(s.pieces) && s.pieces[next].from <= b; next++ {
			heap.Push(&ready, s.pieces[next])
		}
		if !added && extra.from <= b {
			heap.Push(&ready, extra)
			added = true
		}
		for len(ready) > 0 && free[b] > 0 {
			p := &ready[0]
			if p.to <= b {
				return nil, false
			}
			used := min(p.volume, free[b])
			p.volume -= used
			free[b] -= used
			if p.volume <= 0 {
				heap.Pop(&ready)
			}
		}
	}
	return free, len(ready) == 0
}

// byEnd is a heap of pieces, the earliest end first.
type byEnd []piece

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].to < h[j].to }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a piece.
func (h *byEnd) Push(x any) { *h = append(*h, x.(piece)) }

// Pop removes the last piece.
func (h *byEnd) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
