package study

import (
	"math"
	"math/rand/v2"
	"slices"

	"corianderspur.example/corianderspur/internal/clock"
)

// Load is one session: its jobs and the backend servers that serve them.
type Load struct {
	Pattern string
	Seed    uint64
	// Entries is the number of dispatchers.
	Entries int
	Length  clock.Millis
	// Jobs is sorted by arrival.
	Jobs    []Job
	Servers []Server
}

// Job is a job with one step; times are in milliseconds.
type Job struct {
	At       clock.Millis
	Kind     string
	Priority int
	// Estimate is the run time that the caller states, for every task; Objective is counted from At by the true run times.
	Estimate  clock.Millis
	Objective clock.Millis
	// Need is the need of one task in thousandths of a core, and Work holds the run time of each task at normal speed.
	Need  int64
	Work  []clock.Millis
	Worth float64
}

// Volume returns the capacity that the job uses, in thousandths of a core times milliseconds.
func (j Job) Volume() float64 {
	sum := clock.Millis(0)
	for _, w := range j.Work {
		sum += w
	}
	return float64(j.Need) * float64(sum)
}

// Longest returns the run time of the job's longest task.
func (j Job) Longest() clock.Millis {
	return slices.Max(j.Work)
}

// Server is a backend server; outside its spans it runs at normal speed.
type Server struct {
	// CPU is its capacity in thousandths of a core.
	CPU   int64
	Spans []Span
}

// Span is a time in which a backend server runs at another speed; 0 means that it has lost its runs and is down.
type Span struct {
	From, To clock.Millis
	Speed    float64
}

// Speed returns the speed of the server at a time.
func (s Server) Speed(at clock.Millis) float64 {
	for _, sp := range s.Spans {
		if at >= sp.From && at < sp.To {
			return sp.Speed
		}
	}
	return 1
}

// Kind describes a kind of request, as operators state it.
type Kind struct {
	Name     string
	Priority int
	// Rate is the mean number of jobs per second, Width the mean number of tasks, Work their mean run time in milliseconds.
	Rate  float64
	Width float64
	Work  float64
	// Need is the mean need of a task in thousandths of a core.
	Need  float64
	Worth float64
	// From is when the kind first appears, in milliseconds.
	From clock.Millis
}

// Surge multiplies the rate of arrivals during a time, of one kind if it names one.
type Surge struct {
	From, To clock.Millis
	Factor   float64
	Kind     string
}

// Pattern is a load pattern from which sessions are drawn.
type Pattern struct {
	Name    string
	Kinds   []Kind
	Entries int
	Servers []Server
	Surges  []Surge
	// Bias is the factor by which all estimates are wrong; 0 stands for 1.
	Bias float64
	// Tail is the share of the jobs that run tailFactor times as long as others of their kind.
	Tail float64
}

// Spreads of the logarithms of drawn values, the objective by run time, and the worth by size and time.
const (
	workSpread     = 0.4
	widthSpread    = 0.4
	needSpread     = 0.2
	estimateSpread = 0.4
	unevenSpread   = 0.15
	tailFactor     = 7
	stretch        = 1.6
	slo            = 60 * clock.Millis(1)
	// minWorthShare is the part of a job's worth that doesn't depend on its size.
	minWorthShare = 0.3
	// lateWorthShare is the part of its worth that a late job still has, up to usefulObjectives times its objective.
	lateWorthShare   = 0.2
	usefulObjectives = 3
	// maxWorthFactor bounds the worth of a large job, in multiples of its kind's.
	maxWorthFactor = 4
)

// Length is how long jobs arrive in a session.
const Length = 12 * clock.Second

// Draw returns the session of a pattern for a seed.
func (p Pattern) Draw(seed uint64) *Load {
	rng := rand.New(rand.NewPCG(seed, 77))
	l := &Load{Pattern: p.Name, Seed: seed, Entries: p.Entries, Length: Length, Servers: p.Servers}
	for _, k := range p.Kinds {
		for at := float64(k.From); ; {
			at += rng.ExpFloat64() * 1000 / (k.Rate * p.surge(k.Name, clock.Millis(at)))
			if at >= float64(Length) {
				break
			}
			l.Jobs = append(l.Jobs, p.drawJob(rng, k, clock.Millis(at)))
		}
	}
	slices.SortStableFunc(l.Jobs, func(a, b Job) int { return int(a.At - b.At) })
	return l
}

func (p Pattern) surge(kind string, at clock.Millis) float64 {
	for _, s := range p.Surges {
		if at >= s.From && at < s.To && (s.Kind == "" || s.Kind == kind) {
			return s.Factor
		}
	}
	return 1
}

func (p Pattern) drawJob(rng *rand.Rand, k Kind, at clock.Millis) Job {
	work := spread(rng, k.Work, workSpread)
	if p.Tail > 0 && rng.Float64() < p.Tail {
		work *= tailFactor
	}
	bias := p.Bias
	if bias == 0 {
		bias = 1
	}
	j := Job{
		At: at, Kind: k.Name, Priority: k.Priority, Need: int64(spread(rng, k.Need, needSpread)),
		Estimate: max(clock.Millis(bias*spread(rng, work, estimateSpread)), 1),
	}
	for range max(int(math.Round(spread(rng, k.Width, widthSpread))), 1) {
		j.Work = append(j.Work, max(clock.Millis(spread(rng, work, unevenSpread)), 1))
	}
	j.Objective = clock.Millis(stretch*float64(j.Longest())) + slo
	size := j.Volume() / (k.Width * k.Work * k.Need)
	j.Worth = k.Worth * min(minWorthShare+(1-minWorthShare)*size, maxWorthFactor)
	return j
}

// spread draws a value from a log-normal distribution with a mean.
func spread(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// worthAt returns what the job earns if it is answered at a time.
func (j Job) worthAt(at clock.Millis) float64 {
	switch took := at - j.At; {
	case took <= j.Objective:
		return j.Worth
	case took <= usefulObjectives*j.Objective:
		return lateWorthShare * j.Worth
	}
	return 0
}
