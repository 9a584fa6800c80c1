package offer

import (
	"maps"

	"corianderspur.example/corianderspur/internal/shard"
)

// Claim is the request of a dispatcher with work waiting.
type Claim struct {
	ID shard.ID
	// Rank is the priority of the work; the lowest comes first.
	Rank int
	// Waiting is the CPU that the work of that rank needs, in thousandths of a core.
	Waiting int64
}

// minWaiting is the CPU that counts as waiting at a dispatcher that names less or none, in thousandths of a core.
const minWaiting = 1000

// Shares divides offers among dispatchers of the same rank in proportion to the work that waits at each (stride scheduling).
//
// Load pattern: a burst that the balancer spreads unevenly, so that one dispatcher has several times the callers of another. With
// equal shares it would refuse what the other's share could have served.
type Shares struct {
	// passes holds, for each rank of each dispatcher, the virtual time at which its next offer is due. now holds, for each rank,
	// that of the last offer.
	passes map[place]float64
	now    map[int]float64
}

// place identifies a dispatcher among those of its rank.
type place struct {
	id   shard.ID
	rank int
}

// NewShares creates the shares of dispatchers that have had no offers.
func NewShares() *Shares {
	return &Shares{passes: map[place]float64{}, now: map[int]float64{}}
}

// Next returns the index of the claim to make the next offer to, or -1 if there is none, and counts the offer.
func (s *Shares) Next(claims []Claim) int {
	next := -1
	for i, c := range claims {
		if next < 0 || c.Rank < claims[next].Rank || (c.Rank == claims[next].Rank && s.pass(c) < s.pass(claims[next])) {
			next = i
		}
	}
	if next < 0 {
		return -1
	}
	c := claims[next]
	s.now[c.Rank] = s.pass(c)
	s.passes[place{c.ID, c.Rank}] = s.now[c.Rank] + 1/float64(max(c.Waiting, minWaiting))
	return next
}

// pass returns the virtual time at which the next offer is due. A dispatcher that has not waited for some time has no credit.
func (s *Shares) pass(c Claim) float64 {
	return max(s.passes[place{c.ID, c.Rank}], s.now[c.Rank])
}

// Forget removes a dispatcher that is gone.
func (s *Shares) Forget(id shard.ID) {
	maps.DeleteFunc(s.passes, func(p place, _ float64) bool { return p.id == id })
}
