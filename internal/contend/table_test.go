package contend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspur.example/corianderspur/internal/clock"
)

// fleet draws runs on uneven servers, some of which are full while a burst lasts. Tasks differ from their estimates, and three in a
// hundred take seven times as long.
type fleet struct {
	rng    *rand.Rand
	speeds []float64
	bias   []float64
	// slow holds the effect of a kind on another at a full server, as the logarithm of a factor.
	slow map[[2]int]float64
	now  clock.Millis
}

func newFleet(seed uint64, kinds int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), slow: map[[2]int]float64{}}
	for range 12 {
		f.speeds = append(f.speeds, []float64{0.55, 1, 1.2, 1.2}[f.rng.IntN(4)])
	}
	for range kinds {
		f.bias = append(f.bias, 0.7+0.6*f.rng.Float64())
	}
	return f
}

// lackOfRoom is the effect of a full server on any task.
const lackOfRoom = 0.3

func (f *fleet) next() Sample {
	f.now += 5
	server := f.rng.IntN(len(f.speeds))
	kind := f.rng.IntN(len(f.bias))
	full := 0.2 + 0.5*f.rng.Float64()
	if f.now/4000%2 == 1 {
		full = 0.7 + 0.25*f.rng.Float64()
	}
	s := Sample{Server: fmt.Sprint(server), Kind: fmt.Sprint(kind)}
	weights, sum := make([]float64, len(f.bias)), 0.0
	for i := range weights {
		weights[i] = f.rng.ExpFloat64()
		sum += weights[i]
	}
	y := math.Log(f.bias[kind]/f.speeds[server]) + 0.25*f.rng.NormFloat64()
	for i, w := range weights {
		share := full * w / sum
		s.Beside = append(s.Beside, Load{Kind: fmt.Sprint(i), Share: share})
		y += (lackOfRoom + f.slow[[2]int{kind, i}]) * share
	}
	if f.rng.IntN(100) < 3 {
		y += math.Log(7)
	}
	s.Ratio = math.Exp(y)
	return s
}

// play feeds runs to a table and returns the number of runs after which each pair was first found.
func (f *fleet) play(t *Table, count int) map[[2]string]int {
	found := map[[2]string]int{}
	for i := range count {
		t.Observe(f.now, f.next())
		pairs, _ := t.Refresh(f.now)
		for _, p := range pairs {
			if key := [2]string{p.Kind, p.By}; found[key] == 0 {
				found[key] = i + 1
			}
		}
	}
	return found
}

// foundWithin is the number of runs of all kinds within which a pair that doubles run times on a full server is to be found.
const foundWithin = 4000

func TestPlantedPairIsFound(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(seed, 3)
		f.slow[[2]int{0, 1}] = math.Log(2)
		found := f.play(NewTable(), foundWithin)
		qt.Check(t, found[[2]string{"0", "1"}] > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
		delete(found, [2]string{"0", "1"})
		qt.Check(t, found, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// Uneven servers, bursts, rough estimates and a lack of room disturb all kinds alike: no pair may be blamed for them.
func TestNothingIsFoundWhereNothingDisturbs(t *testing.T) {
	const fleets = 1000
	wrong := 0
	for seed := range uint64(fleets) {
		if len(newFleet(seed, 2+int(seed%4)).play(NewTable(), foundWithin)) > 0 {
			wrong++
		}
	}
	t.Logf("%d of %d fleets", wrong, fleets)
	qt.Check(t, wrong*100 < fleets, qt.IsTrue)
}

func TestPairWhoseCauseEndsIsForgotten(t *testing.T) {
	f := newFleet(1, 3)
	f.slow[[2]int{0, 1}] = math.Log(2)
	table := NewTable()
	f.play(table, 2*foundWithin)
	qt.Assert(t, table.Pairs(), qt.HasLen, 1)
	qt.Check(t, table.Slowdown("0", []Load{{"1", 0.5}}) > 1.2, qt.IsTrue)
	f.slow = map[[2]int]float64{}
	f.play(table, 8*foundWithin)
	qt.Check(t, table.Pairs(), qt.HasLen, 0)
	qt.Check(t, table.Slowdown("0", []Load{{"1", 0.5}}), qt.Equals, 1.0)
}

// Kinds that come and go leave a table of bounded size that goes on learning.
func TestKindsThatComeAndGoAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 10 * MaxKinds {
		for range 50 {
			table.Observe(clock.Millis(i*100), Sample{Server: fmt.Sprint(i), Kind: fmt.Sprint("old", i), Ratio: 1, Beside: []Load{{fmt.Sprint("old", i-1), 0.3}}})
		}
	}
	qt.Check(t, len(table.kinds), qt.Equals, MaxKinds)
	f := newFleet(3, 3)
	f.now = 8000
	f.slow[[2]int{2, 0}] = math.Log(2)
	qt.Check(t, f.play(table, 2*foundWithin)[[2]string{"2", "0"}] > 0, qt.IsTrue)
}

// More kinds at once than a table holds are not told apart, rather than mixed up.
func TestMoreKindsAtOnceThanATableHolds(t *testing.T) {
	table := NewTable()
	s := Sample{Server: "s", Kind: "0", Ratio: 1}
	for i := range 2 * MaxKinds {
		s.Beside = append(s.Beside, Load{fmt.Sprint(i), 0.05})
	}
	for range 10 {
		table.Observe(5, s)
	}
	qt.Check(t, len(table.kinds), qt.Equals, MaxKinds)
	qt.Check(t, table.kinds[0].name, qt.Equals, "0")
}

func TestOddSamplesAreIgnored(t *testing.T) {
	table := NewTable()
	for _, s := range []Sample{{Kind: "", Ratio: 1}, {Kind: "a", Ratio: 0}, {Kind: "a", Ratio: math.NaN()}, {Kind: "a", Ratio: math.Inf(1)}} {
		table.Observe(0, s)
	}
	qt.Check(t, table.kinds, qt.HasLen, 0)
}
