package contend

import (
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mat"

	"corianderspur.example/corianderspur/internal/clock"
)

const (
	// MaxKinds is the number of kinds that a table knows; the one that was not seen for longest makes way for a new one.
	MaxKinds = 8
	// maxServers is the number of servers whose means are kept.
	maxServers = 4096
	// memory is the time after which a sample counts for 1/e, and refreshInterval that between estimates, in milliseconds.
	memory          = 30 * clock.Second
	refreshInterval = 500 * clock.Millis(1)
	// serverWeight is the least weight of a new sample in a server's means.
	serverWeight = 0.02
	// maxDeviation bounds the logarithm of a run time against what is usual, as single tasks take many times as long for reasons of their own.
	maxDeviation = 0.7
	// priorWeight is the weight of the assumption that there is no effect, in samples beside a full server.
	priorWeight = 4.0
	// minSamples is the number of samples of a kind that an estimate needs.
	minSamples = 100
	// confidence is how many standard errors lie on each side of the interval of an effect.
	confidence = 5.0
	// referenceShare is the share of a server that the factor of a pair refers to.
	referenceShare = 0.5
	// minFactor is the least factor that is worth keeping kinds apart.
	minFactor = 1.05
)

// Load is the mean share of a server that tasks of a kind took during a run, from 0 to 1.
type Load struct {
	Kind  string
	Share float64
}

// Sample is one run that is done.
type Sample struct {
	Server string
	Kind   string
	// Ratio is the run time as a multiple of its estimate.
	Ratio float64
	// Beside lists what ran on the server meanwhile, without the run itself.
	Beside []Load
}

// Pair is an ordered pair of kinds of which the first is slowed down by the second.
type Pair struct {
	Kind, By string
	// Factor is how much longer a task of Kind takes where half of the server is taken by tasks of By instead of others, and Low and High
	// are the ends of its confidence interval.
	Factor, Low, High float64
	// Samples is the number of runs of Kind behind it, with old ones counting less.
	Samples float64
	// Since is when the pair was first believed.
	Since clock.Millis
}

// Table holds what is known of the kinds of one service.
type Table struct {
	kinds   []kind
	servers map[string]*server
	// believed holds the pairs that are believed, by the slots of their kinds.
	believed  map[[2]int]Pair
	refreshed clock.Millis
}

// kind holds the sums of the regression of the run times of one kind on the shares of all kinds. The first column is the constant.
type kind struct {
	name   string
	seenAt clock.Millis
	// decayedAt is the time that the sums are decayed to.
	decayedAt clock.Millis
	samples   float64
	xx        [MaxKinds + 1][MaxKinds + 1]float64
	xy        [MaxKinds + 1]float64
	yy        float64
}

// server holds the means of a server's samples.
type server struct {
	n      float64
	y      float64
	x      [MaxKinds]float64
	seenAt clock.Millis
}

// NewTable creates a table that knows nothing.
func NewTable() *Table {
	return &Table{servers: map[string]*server{}, believed: map[[2]int]Pair{}}
}

// Observe adds a sample.
func (t *Table) Observe(now clock.Millis, s Sample) {
	if s.Kind == "" || !(s.Ratio > 0) || math.IsInf(s.Ratio, 1) {
		return
	}
	victim := t.slot(now, s.Kind)
	if victim < 0 {
		return
	}
	var x [MaxKinds]float64
	for _, l := range s.Beside {
		if l.Kind == "" || !(l.Share > 0 && l.Share <= 1) {
			continue
		}
		if i := t.slot(now, l.Kind); i >= 0 {
			x[i] += l.Share
		}
	}
	k := &t.kinds[victim]
	k.decay(now)
	y := math.Log(s.Ratio)
	mean := 0.0
	if k.samples > 0 {
		mean = k.xy[0] / k.samples
	}
	// The kind's own mean is kept in the first column of sums, without the server's.
	y = mean + min(max(y-mean, -2*maxDeviation), 2*maxDeviation)
	sv := t.server(now, s.Server)
	dy, dx := sv.observe(y-mean, x)
	k.add(y, min(max(dy, -maxDeviation), maxDeviation), dx)
}

// slot returns the slot of a kind, or -1 if there is none for it, as all others were seen just now.
func (t *Table) slot(now clock.Millis, name string) int {
	oldest := 0
	for i := range t.kinds {
		if t.kinds[i].name == name {
			t.kinds[i].seenAt = now
			return i
		}
		if t.kinds[i].seenAt < t.kinds[oldest].seenAt {
			oldest = i
		}
	}
	fresh := kind{name: name, seenAt: now, decayedAt: now}
	if len(t.kinds) < MaxKinds {
		t.kinds = append(t.kinds, fresh)
		return len(t.kinds) - 1
	}
	if t.kinds[oldest].seenAt >= now {
		return -1
	}
	t.kinds[oldest] = fresh
	t.forgetSlot(oldest)
	return oldest
}

// forgetSlot takes the kind that had a slot out of all sums.
func (t *Table) forgetSlot(slot int) {
	for i := range t.kinds {
		k := &t.kinds[i]
		for j := range k.xx {
			k.xx[j][slot+1], k.xx[slot+1][j] = 0, 0
		}
		k.xy[slot+1] = 0
	}
	for _, sv := range t.servers {
		sv.x[slot] = 0
	}
	for pair := range t.believed {
		if pair[0] == slot || pair[1] == slot {
			delete(t.believed, pair)
		}
	}
}

func (t *Table) server(now clock.Millis, name string) *server {
	sv := t.servers[name]
	if sv == nil {
		if len(t.servers) >= maxServers {
			t.forgetServers(now)
		}
		sv = &server{}
		t.servers[name] = sv
	}
	sv.seenAt = now
	return sv
}

// forgetServers drops the servers without a sample for the memory's length, or all of them if there is none.
func (t *Table) forgetServers(now clock.Millis) {
	for name, sv := range t.servers {
		if now-sv.seenAt > memory {
			delete(t.servers, name)
		}
	}
	if len(t.servers) >= maxServers {
		clear(t.servers)
	}
}

// observe returns the deviation of a sample from the server's means, and adds it to them.
func (sv *server) observe(y float64, x [MaxKinds]float64) (dy float64, dx [MaxKinds]float64) {
	sv.n++
	w := max(1/sv.n, serverWeight)
	dy = (y - sv.y) * (1 - w)
	sv.y += w * (y - sv.y)
	for i := range x {
		dx[i] = (x[i] - sv.x[i]) * (1 - w)
		sv.x[i] += w * (x[i] - sv.x[i])
	}
	return dy, dx
}

// decay lets the sums of a kind fade.
func (k *kind) decay(now clock.Millis) {
	f := math.Exp(-float64(now-k.decayedAt) / float64(memory))
	k.decayedAt = now
	k.samples *= f
	k.yy *= f
	for i := range k.xx {
		k.xy[i] *= f
		for j := range k.xx[i] {
			k.xx[i][j] *= f
		}
	}
}

// add adds a sample: y is the logarithm of the ratio, dy and dx are deviations from the server's means.
func (k *kind) add(y, dy float64, dx [MaxKinds]float64) {
	k.samples++
	k.xy[0] += y
	k.yy += dy * dy
	for i := range dx {
		k.xy[i+1] += dy * dx[i]
		for j := range dx {
			k.xx[i+1][j+1] += dx[i] * dx[j]
		}
	}
}

// Refresh estimates the effects anew, at most twice a second, and returns the pairs that are believed from now on, and those that no longer are.
func (t *Table) Refresh(now clock.Millis) (found, dropped []Pair) {
	if now-t.refreshed < refreshInterval {
		return nil, nil
	}
	t.refreshed = now
	for v := range t.kinds {
		t.kinds[v].decay(now)
		for by, p := range t.estimate(v) {
			key := [2]int{v, by}
			old, known := t.believed[key]
			switch {
			case !known && p.Low > minFactor:
				p.Since = now
				t.believed[key] = p
				found = append(found, p)
			case known && (p.Samples < minSamples/2 || p.Factor < minFactor || p.Low < 1):
				delete(t.believed, key)
				dropped = append(dropped, p)
			case known:
				p.Since = old.Since
				t.believed[key] = p
			}
		}
	}
	return found, dropped
}

// estimate returns the effect of each kind on the one in a slot beyond that of the other kinds.
func (t *Table) estimate(victim int) []Pair {
	k := &t.kinds[victim]
	n := len(t.kinds)
	pairs := make([]Pair, n)
	for i := range pairs {
		pairs[i] = Pair{Kind: k.name, By: t.kinds[i].name, Factor: 1, Low: 1, High: 1, Samples: k.samples}
	}
	if k.samples < minSamples || n < 2 {
		return pairs
	}
	a, b := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for i := range n {
		b.SetVec(i, k.xy[i+1])
		for j := i; j < n; j++ {
			a.SetSym(i, j, k.xx[i+1][j+1])
		}
		a.SetSym(i, i, a.At(i, i)+priorWeight)
	}
	var chol mat.Cholesky
	var inverse mat.SymDense
	if !chol.Factorize(a) || chol.InverseTo(&inverse) != nil {
		return pairs
	}
	beta := mat.NewVecDense(n, nil)
	beta.MulVec(&inverse, b)
	variance := max(k.yy-mat.Dot(beta, b), 0) / max(k.samples-float64(n), 1)
	for i := range n {
		c := t.contrast(i, k)
		if c == nil {
			continue
		}
		effect, spread := mat.Dot(c, beta), math.Sqrt(variance*mat.Inner(c, &inverse, c))
		at := func(e float64) float64 { return math.Exp(referenceShare * e) }
		pairs[i].Factor, pairs[i].Low, pairs[i].High = at(effect), at(effect-confidence*spread), at(effect+confidence*spread)
	}
	return pairs
}

// contrast compares a kind's effect with the mean of the others that were seen beside the victim; nil if there is none, as the effect of
// a kind can't be told from that of a full server then.
func (t *Table) contrast(slot int, k *kind) *mat.VecDense {
	c := mat.NewVecDense(len(t.kinds), nil)
	others := 0
	for i := range t.kinds {
		if i != slot && k.xx[i+1][i+1] > priorWeight {
			others++
		}
	}
	if others == 0 || k.xx[slot+1][slot+1] <= priorWeight {
		return nil
	}
	for i := range t.kinds {
		if i != slot && k.xx[i+1][i+1] > priorWeight {
			c.SetVec(i, -1/float64(others))
		}
	}
	c.SetVec(slot, 1)
	return c
}

// Pairs returns the pairs that are believed, the strongest first.
func (t *Table) Pairs() []Pair {
	list := make([]Pair, 0, len(t.believed))
	for _, p := range t.believed {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Pair) int {
		switch {
		case a.Factor > b.Factor:
			return -1
		case a.Factor < b.Factor:
			return 1
		}
		return strings.Compare(a.Kind+" "+a.By, b.Kind+" "+b.By)
	})
	return list
}

// Slowdown returns the factor by which a task of a kind is expected to take longer beside a load, by the believed pairs alone.
func (t *Table) Slowdown(kindName string, beside []Load) float64 {
	sum := 0.0
	for _, p := range t.believed {
		if p.Kind != kindName {
			continue
		}
		for _, l := range beside {
			if l.Kind == p.By {
				sum += math.Log(p.Factor) * l.Share / referenceShare
			}
		}
	}
	return math.Exp(sum)
}
