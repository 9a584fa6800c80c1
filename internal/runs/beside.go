package runs

import (
	"slices"
	"strings"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/proto"
)

// beside measures what runs beside each run, for services whose kinds of tasks are kept apart. It holds nothing while no run names a kind.
type beside struct {
	kinds     map[string]*kindUse
	updatedAt clock.Millis
}

// kindUse is what the runs of a kind take: their number, their CPU in thousandths of a core, and its integral over time.
type kindUse struct {
	runs     int
	cpu      int64
	integral int64
}

// startMark holds the integrals of the kinds when a run started.
type startMark struct {
	at        clock.Millis
	integrals map[string]int64
}

// update brings the integrals up to now.
func (b *beside) update(now clock.Millis) {
	for _, k := range b.kinds {
		k.integral += k.cpu * int64(now-b.updatedAt)
	}
	b.updatedAt = now
}

// started adds a run that takes capacity from now on; kinds beyond MaxKindShares are not told apart.
func (b *beside) started(now clock.Millis, r *run) {
	b.update(now)
	if r.kind != "" && (b.kinds[r.kind] != nil || len(b.kinds) < proto.MaxKindShares) {
		if b.kinds == nil {
			b.kinds = map[string]*kindUse{}
		}
		k := b.kinds[r.kind]
		if k == nil {
			k = &kindUse{}
			b.kinds[r.kind] = k
		}
		k.runs++
		k.cpu += r.need.CPU
		r.counted = true
	}
	if r.kind == "" {
		return
	}
	r.mark = startMark{at: now, integrals: make(map[string]int64, len(b.kinds))}
	for name, k := range b.kinds {
		r.mark.integrals[name] = k.integral
	}
}

// ended removes a run, and returns the mean shares of total CPU that ran beside it, by kind.
func (b *beside) ended(now clock.Millis, r *run, total int64) []proto.KindShare {
	b.update(now)
	if r.kind == "" {
		return nil
	}
	var list []proto.KindShare
	span := int64(now - r.mark.at)
	for name, k := range b.kinds {
		used := k.integral - r.mark.integrals[name]
		if name == r.kind && r.counted {
			used -= r.need.CPU * span
		}
		if span > 0 && total > 0 && used > 0 {
			list = append(list, proto.KindShare{Kind: name, Share: min(float64(used)/float64(span*total), 1)})
		}
	}
	if k := b.kinds[r.kind]; r.counted {
		k.runs--
		k.cpu -= r.need.CPU
		if k.runs == 0 && len(b.kinds) >= proto.MaxKindShares {
			delete(b.kinds, r.kind)
		}
	}
	sortShares(list)
	return list
}

// shares returns what each kind takes of total CPU now.
func (b *beside) shares(total int64) (list []proto.KindShare) {
	for name, k := range b.kinds {
		if k.runs > 0 && k.cpu > 0 && total > 0 {
			list = append(list, proto.KindShare{Kind: name, Share: min(float64(k.cpu)/float64(total), 1)})
		}
	}
	sortShares(list)
	return list
}

func sortShares(list []proto.KindShare) {
	slices.SortFunc(list, func(a, b proto.KindShare) int { return strings.Compare(a.Kind, b.Kind) })
}
