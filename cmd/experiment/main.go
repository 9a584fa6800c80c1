// Experiment compares the product's decisions with other policies and with an upper bound, on drawn loads in the emulator.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"corianderspur.example/corianderspur/internal/study"
)

func main() {
	app := kingpin.New("experiment", "Compare policies of dispatch on drawn loads.")
	seeds := app.Flag("seeds", "Sessions drawn from each pattern.").Default("4").Int()
	workers := app.Flag("workers", "Sessions played at once.").Default(fmt.Sprint(runtime.NumCPU())).Int()
	only := app.Flag("pattern", "Name of a pattern to play; repeat it for several. All are played without it.").Strings()
	out := app.Flag("out", "Folder for results.json and a plot of each pattern.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	patterns, err := chosenPatterns(*only)
	app.FatalIfError(err, "patterns")
	list, violations := study.Compare(patterns, *seeds, *workers, func(done, all int) {
		fmt.Fprintf(os.Stderr, "\r%d of %d sessions", done, all)
	})
	fmt.Fprintln(os.Stderr)
	app.FatalIfError(printTable(os.Stdout, list), "print")
	if *out != "" {
		app.FatalIfError(writeResults(*out, patterns, list), "write results")
	}
	if len(violations) > 0 {
		app.Fatalf("rules broken: %s", strings.Join(violations, "; "))
	}
}

func chosenPatterns(names []string) (chosen []study.Pattern, err error) {
	all := study.Patterns()
	if len(names) == 0 {
		return all, nil
	}
	for _, name := range names {
		found := false
		for _, p := range all {
			if p.Name == name {
				chosen, found = append(chosen, p), true
			}
		}
		if !found {
			return nil, errors.Errorf("no pattern %q", name)
		}
	}
	return chosen, nil
}

func printTable(w io.Writer, list []study.Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pattern\tpolicy\tworth\t95%\trefused\tlate")
	for _, s := range list {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t±%.3f\t%.3f\t%.3f\n", s.Pattern, s.Policy, s.Worth, s.Interval, s.Refused, s.Late)
	}
	return t.Flush()
}

func writeResults(dir string, patterns []study.Pattern, list []study.Summary) (err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "results.json"), data, 0o644); err != nil {
		return err
	}
	for _, p := range patterns {
		if err := plotPattern(filepath.Join(dir, p.Name+".png"), p, list); err != nil {
			return err
		}
	}
	return nil
}
