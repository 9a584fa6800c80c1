package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"corianderspur.example/corianderspur/internal/stand"
	"corianderspur.example/corianderspur/pkg/client"
	"corianderspur.example/corianderspur/pkg/label"
)

// kind describes one kind of request; times are in milliseconds.
type kind struct {
	name       string
	tenant     string
	share      float64
	urgent     bool
	repeatable bool
	minTasks   int
	maxTasks   int
	minMS      int
	maxMS      int
	// longShare is the share of tasks that take longMS instead.
	longShare float64
	longMS    int
	deadline  int64
}

// mixes are the kinds of request of each deployment.
var mixes = map[string][]kind{
	"bygdens": {
		{name: "line_check", tenant: "shops", share: 0.6, urgent: true, repeatable: true, minTasks: 1, maxTasks: 1, minMS: 50, maxMS: 120, deadline: 3000},
		{name: "restocking_order", tenant: "shops", share: 0.35, minTasks: 4, maxTasks: 24, minMS: 50, maxMS: 1000, longShare: 0.01, longMS: 3000, deadline: 20000},
		{name: "lorry_plan", tenant: "depot", share: 0.05, minTasks: 10, maxTasks: 60, minMS: 50, maxMS: 1000, longShare: 0.02, longMS: 3000, deadline: 30000},
	},
	"hanbit": {
		{name: "seat_hold_check", tenant: "kiosks", share: 0.4, urgent: true, repeatable: true, minTasks: 1, maxTasks: 1, minMS: 50, maxMS: 100, deadline: 3000},
		{name: "paid_confirmation", tenant: "kiosks", share: 0.2, urgent: true, minTasks: 1, maxTasks: 1, minMS: 80, maxMS: 200, deadline: 5000},
		{name: "hold_release", tenant: "counter", share: 0.2, urgent: true, minTasks: 1, maxTasks: 1, minMS: 50, maxMS: 100, deadline: 5000},
		{name: "lesson_block", tenant: "schools", share: 0.2, minTasks: 4, maxTasks: 30, minMS: 50, maxMS: 1000, longShare: 0.01, longMS: 3000, deadline: 20000},
	},
}

type offer struct {
	kind  *kind
	job   client.Job
	ideal int
	work  int
}

// networkMS is the time of the round trips that the ideal response time includes.
const networkMS = 1

// generator draws jobs; equal seeds draw equal jobs.
type generator struct {
	rng   *rand.Rand
	kinds []kind
	run   string
	count int
}

func newGenerator(deployment, run string, seed uint64) (*generator, error) {
	kinds, ok := mixes[deployment]
	if !ok {
		return nil, fmt.Errorf("unknown deployment %q: want bygdens or hanbit", deployment)
	}
	return &generator{rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, run: run}, nil
}

func (g *generator) next() offer {
	k := g.pick()
	g.count++
	o := offer{kind: k, job: client.Job{
		JobID: fmt.Sprintf("%s-%s-%d", k.name, g.run, g.count), Tenant: k.tenant,
		Labels: label.Set{"kind": k.name}, DeadlineMS: k.deadline,
	}}
	for range k.minTasks + g.rng.IntN(k.maxTasks-k.minTasks+1) {
		ms := g.taskMS(k)
		payload, err := json.Marshal(stand.Work{MS: ms})
		if err != nil {
			panic(err)
		}
		o.job.Tasks = append(o.job.Tasks, client.Task{Payload: payload})
		o.ideal = max(o.ideal, ms)
		o.work += ms
	}
	o.ideal += networkMS
	return o
}

func (g *generator) pick() *kind {
	x := g.rng.Float64()
	for i := range g.kinds {
		x -= g.kinds[i].share
		if x < 0 {
			return &g.kinds[i]
		}
	}
	return &g.kinds[len(g.kinds)-1]
}

func (g *generator) taskMS(k *kind) int {
	if g.rng.Float64() < k.longShare {
		return k.longMS
	}
	return k.minMS + g.rng.IntN(k.maxMS-k.minMS+1)
}

// meanWork returns the mean work of a job, in milliseconds of one slot.
func meanWork(deployment string) (float64, error) {
	const samples = 20000
	g, err := newGenerator(deployment, "", 1)
	if err != nil {
		return 0, err
	}
	total := 0
	for range samples {
		total += g.next().work
	}
	return float64(total) / samples, nil
}
