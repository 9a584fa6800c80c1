// Stand-2 runs one case of the second review: it starts the system's programs on loopback addresses, stands in for clients, runners and
// the platform's store, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The results of a case, as exit codes.
const (
	exitKept   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; trouble says whether the disruption is played.
var cases = map[string]func(w *world, trouble bool) error{
	"away":   awayCase,
	"cancel": cancelCase,
	"drain":  drainCase,
	"freeze": freezeCase,
	"kind":   kindCase,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "../..", "root of the repository")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, *root, *record, os.Getenv("TROUBLE") != "0"))
}

func runCase(play func(w *world, trouble bool) error, root, record string, trouble bool) int {
	w, err := newWorld(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		w.end()
		os.Exit(exitNotRun)
	}()
	err = play(w, trouble)
	switch {
	case errors.Is(err, errSetup):
		w.notef("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case err != nil:
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, b := range w.broken {
		fmt.Println("broken:", b)
	}
	if len(w.broken) > 0 {
		return exitBroken
	}
	w.notef("the rule held")
	fmt.Println("the rule held")
	return exitKept
}
