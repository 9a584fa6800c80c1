package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/node"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/rest"
	"corianderspur.example/corianderspur/internal/shard"
	"corianderspur.example/corianderspur/pkg/client"
	"corianderspur.example/corianderspur/pkg/label"
)

const requestLimit = 15 * time.Second

// adminFlags are the flags of every command for operators.
type adminFlags struct {
	app   *App
	addr  string
	token string
}

func (f *adminFlags) bind(a *App, c *kingpin.CmdClause) {
	f.app = a
	c.Flag("admin", "IP address and port of an entry's operators' interface.").Envar("CORIANDERSPUR_ADMIN").Required().StringVar(&f.addr)
	c.Flag("token", "Token for the operators' interface.").Envar("CORIANDERSPUR_TOKEN").Required().StringVar(&f.token)
}

func (f *adminFlags) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	c := client.Client{Addr: f.addr, Token: f.token, HTTP: http.DefaultClient}
	err := c.Do(ctx, method, path, in, out)
	var refused *client.StatusError
	if !errors.As(err, &refused) {
		return err
	}
	switch refused.Status {
	case http.StatusConflict:
		return &exitError{code: ExitConflict, err: err}
	case http.StatusServiceUnavailable:
		return &exitError{code: ExitUnknown, err: err}
	}
	return &exitError{code: ExitRefused, err: err}
}

func (a *App) addOperator() {
	apply := &applyCommand{}
	clause := a.kp.Command("apply", "Replace the configuration by a file.")
	apply.bind(a, clause)
	clause.Flag("why", "Why the change is made; kept in the history.").Required().StringVar(&apply.why)
	clause.Flag("change-id", "Id of the change; give the same one again after an unknown outcome.").StringVar(&apply.changeID)
	clause.Flag("base", "Version that the change is made for; by default the one in force.").Default("-1").Int64Var(&apply.base)
	clause.Arg("file", "JSON file with rules, tenants and worker_labels.").Required().StringVar(&apply.file)
	a.add(clause, apply)

	get := &getCommand{}
	clause = a.kp.Command("get", "Print the configuration in force, or its history.")
	get.bind(a, clause)
	clause.Flag("history", "Print all changes with who made them and why.").BoolVar(&get.history)
	a.add(clause, get)

	lab := &labelCommand{}
	clause = a.kp.Command("label", "Set (name=value) or remove (name-) labels of a worker.")
	lab.bind(a, clause)
	clause.Flag("why", "Why the change is made; kept in the history.").Required().StringVar(&lab.why)
	clause.Arg("worker", "Name of the worker.").Required().StringVar(&lab.worker)
	clause.Arg("labels", "name=value or name-").Required().StringsVar(&lab.labels)
	a.add(clause, lab)

	for _, evacuate := range []bool{true, false} {
		a.addEvacuate(evacuate)
	}

	status := &statusCommand{}
	clause = a.kp.Command("status", "Show entries, agents, their load and the configuration in force.")
	status.bind(a, clause)
	clause.Flag("output", "text or json").Short('o').Default("text").EnumVar(&status.output, "text", "json")
	a.add(clause, status)

	strike := &strikeCommand{}
	clause = a.kp.Command("strike", "Declare that an agent's incarnation is gone for good.")
	strike.bind(a, clause)
	clause.Arg("agent", "The agent's id, as status shows it.").Required().StringVar(&strike.agent)
	a.add(clause, strike)
}

type applyCommand struct {
	adminFlags
	file     string
	why      string
	changeID string
	base     int64
}

func (c *applyCommand) run(ctx context.Context) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	doc := &policy.Document{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(doc); err != nil {
		return &exitError{code: ExitUsage, err: errors.Wrapf(err, "file %s", c.file)}
	}
	if c.base < 0 {
		current, err := c.current(ctx)
		if err != nil {
			return err
		}
		c.base = int64(current.Version)
	}
	return c.apply(ctx, uint64(c.base), doc, c.changeID, c.why)
}

func (f *adminFlags) current(ctx context.Context) (d *policy.Document, err error) {
	d = &policy.Document{}
	return d, f.do(ctx, http.MethodGet, "/v1/config", nil, d)
}

func (f *adminFlags) apply(ctx context.Context, base uint64, d *policy.Document, changeID, why string) error {
	if changeID == "" {
		changeID, _ = node.NewIncarnation()
	}
	d.ChangeID = changeID
	d.Why = why
	d.Version = 0
	var reply rest.ApplyReply
	if err := f.do(ctx, http.MethodPut, "/v1/config", rest.ApplyRequest{Base: base, Document: d}, &reply); err != nil {
		return errors.Wrapf(err, "change %s", changeID)
	}
	fmt.Fprintf(f.app.out, "version %d, change %s\n", reply.Version, changeID)
	return nil
}

type getCommand struct {
	adminFlags
	history bool
}

func (c *getCommand) run(ctx context.Context) error {
	if !c.history {
		d, err := c.current(ctx)
		if err != nil {
			return err
		}
		return c.app.printJSON(d)
	}
	var changes []policy.Document
	if err := c.do(ctx, http.MethodGet, "/v1/config/history", nil, &changes); err != nil {
		return err
	}
	for _, d := range changes {
		fmt.Fprintf(c.app.out, "%d\t%s\t%s\t%s\n", d.Version, d.ChangeID, d.Who, d.Why)
	}
	return nil
}

type labelCommand struct {
	adminFlags
	worker string
	labels []string
	why    string
}

func (c *labelCommand) run(ctx context.Context) error {
	d, err := c.current(ctx)
	if err != nil {
		return err
	}
	set := d.Workers[c.worker].Merge(nil)
	for _, text := range c.labels {
		if name, ok := strings.CutSuffix(text, "-"); ok && !strings.Contains(text, "=") {
			delete(set, name)
			continue
		}
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			return &exitError{code: ExitUsage, err: errors.Errorf("label %q: want name=value or name-", text)}
		}
		set[name] = value
	}
	if d.Workers == nil {
		d.Workers = map[string]label.Set{}
	}
	d.Workers[c.worker] = set
	return c.apply(ctx, d.Version, d, "", c.why)
}

func (a *App) addEvacuate(evacuate bool) {
	name, help := "evacuate", "Start no more tasks in an availability zone until it is restored."
	if !evacuate {
		name, help = "restore", "Start tasks again in an evacuated availability zone."
	}
	c := &evacuateCommand{evacuate: evacuate}
	clause := a.kp.Command(name, help)
	c.bind(a, clause)
	clause.Flag("why", "Why the change is made; kept in the history.").Required().StringVar(&c.why)
	clause.Arg("zone", "Name of the availability zone.").Required().StringVar(&c.zone)
	a.add(clause, c)
}

type evacuateCommand struct {
	adminFlags
	evacuate bool
	zone     string
	why      string
}

func (c *evacuateCommand) run(ctx context.Context) error {
	d, err := c.current(ctx)
	if err != nil {
		return err
	}
	evacuated := slices.Contains(d.Evacuated, c.zone)
	switch {
	case c.evacuate && evacuated:
		return &exitError{code: ExitUsage, err: errors.Errorf("availability zone %q is evacuated already", c.zone)}
	case !c.evacuate && !evacuated:
		return &exitError{code: ExitUsage, err: errors.Errorf("availability zone %q is not evacuated", c.zone)}
	case c.evacuate:
		d.Evacuated = append(d.Evacuated, c.zone)
	default:
		d.Evacuated = slices.DeleteFunc(d.Evacuated, func(z string) bool { return z == c.zone })
	}
	return c.apply(ctx, d.Version, d, "", c.why)
}

type statusCommand struct {
	adminFlags
	output string
}

func (c *statusCommand) run(ctx context.Context) error {
	var s entry.Status
	if err := c.do(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	if c.output == "json" {
		return c.app.printJSON(s)
	}
	c.print(&s)
	return nil
}

func (c *statusCommand) print(s *entry.Status) {
	w := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "entry %s\tzone %s\tready %t\tstopping %t\n", s.ID, s.Zone, s.Ready, s.Stopping)
	fmt.Fprintf(w, "configuration %d\tin force here for %.1fs\ttable answered %.1fs ago\n",
		s.ConfigVersion, s.ConfigAge.Duration().Seconds(), s.TableAge.Duration().Seconds())
	if len(s.EvacuatedZones) > 0 {
		fmt.Fprintf(w, "evacuated zones %s\n", strings.Join(s.EvacuatedZones, ", "))
	}
	fmt.Fprintf(w, "shards owned %d\ttaking over %d\twith unknown starts %d\tmap %d\n",
		s.ShardsOwned, s.ShardsTaking, s.ShardsWithUnknownStarts, s.MapVersion)
	fmt.Fprintf(w, "jobs running %d\tremembered %d\tcallers %d\ttasks waiting %d urgent, %d other\n\n",
		s.Live, s.Jobs, s.Callers, s.UrgentQueued, s.NormalQueued)
	fmt.Fprintln(w, "ENTRY\tZONE\tSHARDS\tCONFIGURATION\tSTATE")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", m.ID, m.Zone, s.Shards[m.ID], s.Configs[m.ID], memberState(m.Leaving))
	}
	fmt.Fprintln(w, "\nAGENT\tWORKER\tZONE\tSLOTS\tRUNNING\tQUEUED\tSTATE")
	for _, v := range s.Agents {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", v.ID, v.Worker, v.Zone, v.Load.Slots, v.Load.Running, v.Load.Queued, agentState(&v))
	}
}

func memberState(leaving bool) string {
	if leaving {
		return "draining"
	}
	return "serving"
}

func agentState(v *entry.AgentStatus) string {
	switch {
	case !v.Connected:
		return "not connected"
	case v.Load.Leaving:
		return "draining"
	case v.Load.Ejected:
		return "ejected"
	case v.Load.Trial:
		return "on trial"
	case v.Load.Slots == 0:
		return "no backend server"
	}
	return "serving"
}

type strikeCommand struct {
	adminFlags
	agent string
}

func (c *strikeCommand) run(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/strike", rest.StrikeRequest{Agent: shard.ID(c.agent)}, nil)
}
