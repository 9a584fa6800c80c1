package trial

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/event"
	"corianderspur.example/corianderspur/internal/proto"
	"corianderspur.example/corianderspur/internal/shard"
)

// resendWindow is how long callers of the random sessions may resend a job, in milliseconds.
const resendWindow = 10 * clock.Second

var sessionLog = flag.Bool("trial.log", false, "print the whole session of a failure")

// chaos draws faults and submissions and applies them to a world.
type chaos struct {
	w      *world
	jobs   []proto.Job
	born   []clock.Millis
	serial int
}

// TestRandomSessions draws sessions of faults; rapid prints the seed of one that fails.
//
// The seed is fixed, so that every run gives the same verdict; give -rapid.seed and -rapid.checks for others.
func TestRandomSessions(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("4"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		c := &chaos{w: newWorld(rapid.Uint64().Draw(rt, "seed"))}
		c.w.logging = *sessionLog
		c.w.deployment(3, 3)
		n := rapid.IntRange(5, 40).Draw(rt, "steps")
		for range n {
			c.act(rt)
			c.w.run(clock.Millis(rapid.IntRange(0, 1500).Draw(rt, "pause")))
		}
		c.heal()
		c.w.judge()
		if len(c.w.faults) > 0 {
			rt.Fatalf("%s\n%s", strings.Join(c.w.faults, "\n"), c.w.log.String())
		}
	})
}

func (c *chaos) act(rt *rapid.T) {
	switch rapid.IntRange(0, 19).Draw(rt, "action") {
	case 0, 1, 2, 3:
		c.submit(rt, false)
	case 4, 5, 6, 7:
		c.submit(rt, true)
	case 8, 9:
		c.any(rt).freeze(clock.Millis(rapid.IntRange(100, 9000).Draw(rt, "freeze")))
	case 10, 11, 12:
		c.cut(rt)
	case 13:
		c.w.down = c.w.now + clock.Millis(rapid.IntRange(500, 8000).Draw(rt, "down"))
	case 14:
		c.w.lossy = c.w.now + clock.Millis(rapid.IntRange(500, 5000).Draw(rt, "lossy"))
	case 15:
		c.kill(rt, proto.RoleEntry)
	case 16:
		c.kill(rt, proto.RoleAgent)
	case 17:
		c.alive(rt, proto.RoleEntry, func(p *proc) { p.handle(event.Stop{}) })
		c.replace(proto.RoleEntry)
	case 18:
		c.alive(rt, proto.RoleAgent, func(p *proc) { p.handle(event.Stop{}) })
		c.replace(proto.RoleAgent)
	case 19:
		c.alive(rt, proto.RoleEntry, func(p *proc) {
			if len(c.jobs) > 0 {
				p.handle(entry.CancelJob{Key: c.jobs[len(c.jobs)-1].Key})
			}
		})
	}
}

func (c *chaos) submit(rt *rapid.T, again bool) {
	c.alive(rt, proto.RoleEntry, func(p *proc) {
		if again && len(c.jobs) > 0 {
			i := rapid.IntRange(max(0, len(c.jobs)-6), len(c.jobs)-1).Draw(rt, "job")
			if c.w.now-c.born[i] < resendWindow {
				c.w.submit(p, c.jobs[i])
			}
			return
		}
		c.serial++
		make := order
		if rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
			make = check
		}
		ms := rapid.SliceOfN(rapid.IntRange(20, 2500), 1, 4).Draw(rt, "tasks")
		j := make(fmt.Sprint(c.serial), ms...)
		c.jobs = append(c.jobs, j)
		c.born = append(c.born, c.w.now)
		c.w.submit(p, j)
	})
}

func (c *chaos) any(rt *rapid.T) *proc {
	return c.w.procs[rapid.IntRange(0, len(c.w.procs)-1).Draw(rt, "process")]
}

func (c *chaos) alive(rt *rapid.T, role proto.Role, f func(p *proc)) {
	var list []*proc
	for _, p := range c.w.procs {
		if p.alive && p.role == role {
			list = append(list, p)
		}
	}
	if len(list) > 0 {
		f(list[rapid.IntRange(0, len(list)-1).Draw(rt, "which")])
	}
}

// kill ends a process and starts another in its place, some time later.
func (c *chaos) kill(rt *rapid.T, role proto.Role) {
	c.alive(rt, role, func(p *proc) {
		p.kill()
		c.w.after(clock.Millis(rapid.IntRange(0, 5000).Draw(rt, "replaced after")), func() { c.replaceAs(p.name, role) })
	})
}

func (c *chaos) replace(role proto.Role) {
	c.serial++
	c.replaceAs(fmt.Sprintf("%s%d", map[proto.Role]string{proto.RoleEntry: "e", proto.RoleAgent: "a"}[role], 100+c.serial), role)
}

func (c *chaos) replaceAs(name string, role proto.Role) {
	if role == proto.RoleEntry {
		c.w.addEntry(name)
		return
	}
	c.w.addAgent(name)
}

// cut severs one direction or both between two parts, the table among them.
func (c *chaos) cut(rt *rapid.T) {
	a, b := c.any(rt).name, c.any(rt).name
	if rapid.IntRange(0, 4).Draw(rt, "table") == 0 {
		b = tableName
	}
	until := c.w.now + clock.Millis(rapid.IntRange(200, 8000).Draw(rt, "cut"))
	c.w.cuts[cut{a, b}] = until
	if rapid.Bool().Draw(rt, "both ways") {
		c.w.cuts[cut{b, a}] = until
	}
	if rapid.Bool().Draw(rt, "sessions break") {
		c.breakLinks(a, b)
	}
}

func (c *chaos) breakLinks(a, b string) {
	for _, p := range c.w.procs {
		if p.name != a {
			continue
		}
		for _, id := range p.peers() {
			if q := c.w.byID(id); q != nil && q.name == b {
				l := p.links[id]
				c.w.breakLink(l, [2]shard.ID{l.ends[0].id, l.ends[1].id})
			}
		}
	}
}

// heal ends all faults and lets everything settle.
func (c *chaos) heal() {
	c.w.run(10_000)
	clear(c.w.cuts)
	c.w.down, c.w.lossy = 0, 0
	c.w.run(20_000)
}
