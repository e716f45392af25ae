//go:build review2

// Command cases2 plays the cases of the second review: entry processes of the project, with stand-ins for the
// platform, runners and clients on loopback addresses. It exits with 1 if the rule of the case was broken, with 0
// if it held, and with 2 if the case couldn't be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by their names. trouble is false if the disruption is left out.
var cases = map[string]func(w *world, trouble bool) error{
	"firststored": firstStored,
	"pending":     pendingJobs,
	"bigrow":      bigRow,
	"closed":      closedRunners,
	"explore":     explore,
	"kind":        kind,
	"oneway":      oneWay,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases2 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close()
		os.Exit(2)
	}()
	begun := time.Now()
	err = cases[os.Args[1]](w, trouble)
	w.record.line("%d starts, ends %v, %d breaks, trouble %t, %.1f s", w.record.runs, w.record.ends, len(w.record.broken), trouble, time.Since(begun).Seconds())
	broken := w.record.broken
	w.close()
	switch {
	case err != nil:
		fmt.Println("not played:", err)
		os.Exit(2)
	case len(broken) > 0:
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}

// begin starts the deployment and waits until traffic may come.
func (w *world) begin(runners, maxAttempts int) error {
	if err := w.addRunners(runners); err != nil {
		return err
	}
	if err := w.configure(7, maxAttempts); err != nil {
		return err
	}
	if err := w.addNodes(); err != nil {
		return err
	}
	begun := time.Now()
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	// Traffic starts 10 s after the machines.
	time.Sleep(time.Until(begun.Add(10 * time.Second)))
	return nil
}
