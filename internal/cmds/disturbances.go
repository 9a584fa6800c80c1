package cmds

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"

	"corianderspur.example/corianderspur/internal/disp"
	"corianderspur.example/corianderspur/pkg/client"
)

// disturbancesCommand lists the kinds of tasks that an entry believes to disturb each other.
type disturbancesCommand struct {
	app    *App
	addr   string
	output string
}

func (a *App) addDisturbances() {
	c := &disturbancesCommand{app: a}
	clause := a.kp.Command("disturbances", "List the kinds of tasks that an entry believes to slow each other down.")
	clause.Flag("metrics", "IP address and port of the entry's metrics.").Envar("CORIANDERSPUR_METRICS").Required().StringVar(&c.addr)
	clause.Flag("output", "text or json").Short('o').Default("text").EnumVar(&c.output, "text", "json")
	a.add(clause, c)
}

func (c *disturbancesCommand) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	var answer struct {
		Disturbances []disp.Disturbance `json:"disturbances"`
	}
	entry := client.Client{Addr: c.addr, HTTP: http.DefaultClient}
	if err := entry.Do(ctx, http.MethodGet, "/v1/disturbances", nil, &answer); err != nil {
		return err
	}
	if c.output == "json" {
		return c.app.printJSON(answer)
	}
	w := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "SERVICE\tKIND\tSLOWED BY\tFACTOR\tINTERVAL\tSAMPLES\tAGE")
	for _, d := range answer.Disturbances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f to %.2f\t%.0f\t%.0fs\n", d.Service, d.Kind, d.By, d.Factor, d.Low, d.High, d.Samples,
			d.Age.Duration().Seconds())
	}
	return nil
}
