//go:build review3

// Command standin3 plays the cases of the review: it starts the entry program as separate processes, with stand-ins for
// the platform, the runners and the clients, and checks one rule. It exits with 1 if the rule was broken, with 0 if it
// held and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the exit status of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

var cases = map[string]func(w *world, trouble bool) verdict{
	"far-start": farStart,
	"grey":      grey,
	"poison":    poison,
	"cancel":    cancel,
	"long-read": longRead,
}

func main() { os.Exit(int(run())) }

func run() verdict {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM RECORD")
		return failed
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		return failed
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	w, err := newWorld(&record{f: f, start: time.Now()}, dir, program, runnersOf(os.Args[1]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	done := make(chan verdict, 1)
	go func() { done <- play(w, os.Getenv("TROUBLE") != "0") }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case v := <-done:
		w.rec.logf("exit status %d", v)
		return v
	case <-interrupted:
		return failed
	case <-time.After(115 * time.Second):
		w.rec.logf("the case took too long")
		return failed
	}
}
