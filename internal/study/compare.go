package study

import (
	"math"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Policy names of a comparison, beside those of the central policies.
const (
	ProductName = "product"
	BoundName   = "bound"
)

// Summary is the result of one policy on the sessions of one pattern.
type Summary struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	// Worth is the mean share of the offered worth that is earned, and Interval half the width of its 95% confidence interval.
	Worth    float64 `json:"worth"`
	Interval float64 `json:"interval"`
	// Refused and Late are mean shares of the jobs.
	Refused float64 `json:"refused"`
	Late    float64 `json:"late"`
	// Seconds holds the mean share earned by second of arrival.
	Seconds []float64 `json:"seconds"`
}

// sample is the result of one policy on one session.
type sample struct {
	pattern, policy int
	worth           float64
	refused, late   float64
	seconds         []float64
	violations      []string
}

// Compare plays the sessions of all patterns for seeds 1 to seeds, on a number of goroutines, and calls progress after each session.
// It returns the summaries by pattern and the rules that the product broke.
func Compare(patterns []Pattern, seeds, workers int, progress func(done, all int)) (list []Summary, violations []string) {
	policies := []string{BoundName}
	for _, c := range Centrals() {
		policies = append(policies, c.Name)
	}
	policies = append(policies, ProductName)
	type task struct {
		pattern int
		seed    uint64
	}
	tasks := make(chan task)
	results := make(chan []sample)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for t := range tasks {
				results <- playAll(t.pattern, patterns[t.pattern].Draw(t.seed))
			}
		})
	}
	go func() {
		for s := range seeds {
			for p := range patterns {
				tasks <- task{p, uint64(s) + 1}
			}
		}
		close(tasks)
		wg.Wait()
		close(results)
	}()
	groups := make([][]sample, len(patterns)*len(policies))
	done := 0
	for samples := range results {
		done++
		progress(done, len(patterns)*seeds)
		for _, s := range samples {
			i := s.pattern*len(policies) + s.policy
			groups[i] = append(groups[i], s)
			violations = append(violations, s.violations...)
		}
	}
	for i, g := range groups {
		list = append(list, summarize(patterns[i/len(policies)].Name, policies[i%len(policies)], g))
	}
	return list, violations
}

// playAll lets the bound, the central policies and the product serve one session, in the order of Compare.
func playAll(pattern int, l *Load) (samples []sample) {
	offered := 0.0
	for _, j := range l.Jobs {
		offered += j.Worth
	}
	samples = append(samples, sample{pattern: pattern, worth: l.Bound() / offered})
	add := func(o *Outcome, violations []string) {
		n := float64(len(l.Jobs))
		s := sample{
			pattern: pattern, policy: len(samples), worth: o.Worth / offered, refused: float64(o.Refused) / n, late: float64(o.Late) / n,
			violations: violations,
		}
		for i, w := range o.Offered {
			s.seconds = append(s.seconds, o.Earned[i]/max(w, 1e-9))
		}
		samples = append(samples, s)
	}
	for _, c := range Centrals() {
		add(c.Play(l), nil)
	}
	add(PlayProduct(l))
	return samples
}

func summarize(pattern, policy string, samples []sample) Summary {
	n := float64(len(samples))
	worths := make([]float64, len(samples))
	s := Summary{Pattern: pattern, Policy: policy}
	for i, x := range samples {
		worths[i] = x.worth
		s.Refused += x.refused / n
		s.Late += x.late / n
		if s.Seconds == nil {
			s.Seconds = make([]float64, len(x.seconds))
		}
		for k, v := range x.seconds {
			s.Seconds[k] += v / n
		}
	}
	mean, deviation := stat.MeanStdDev(worths, nil)
	s.Worth = mean
	if n > 1 {
		s.Interval = distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * deviation / math.Sqrt(n)
	}
	return s
}
