// Stand plays the scripted cases of the review against the programs of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// The processes of a case end with the thread that started them, which has to stay.
func init() { runtime.LockOSThread() }

func main() {
	cases := map[string]func(w *world, trouble bool) error{"reborn": reborn, "held-up": heldUp, "cancel": cancelElsewhere, "flap": flap, "refused": refused}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		fmt.Println("could not run: interrupted or too slow")
		w.close()
		os.Exit(cannotRun)
	}()
	err = cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	code := held
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		code = cannotRun
	case len(w.broken) > 0:
		for _, b := range w.broken {
			fmt.Println(b)
		}
		code = broken
	default:
		w.logf("held")
		fmt.Println("held")
	}
	w.close()
	os.Exit(code)
}
