//go:build review

// Command standin plays the scripts of the review: it starts the project's entry program as separate
// processes, with stand-ins for the platform's store, the runners and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// limit is how long a script runs at most, of which the end of the processes takes a part.
const limit = 115 * time.Second

// The exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

var (
	program  = flag.String("program", "target/sapphirepoint-entry", "the entry program")
	record   = flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble  = flag.Bool("trouble", true, "whether there is a disruption")
	seed     = flag.Uint64("seed", 1, "the seed of the stand-ins")
	duration = flag.Duration("duration", 0, "the length of the random play")
	faults   = flag.String("faults", "", "the faults of the random play")
	planned  = flag.Bool("planned", false, "whether the faults of the random play are planned work only")
	logs     = flag.String("logs", "", "the directory for the logs of the processes; empty for a temporary one")
)

// play runs a script in a world, and returns what broke a rule.
type play struct {
	site     layout
	attempts int
	run      func(*world) ([]string, error)
}

var plays = map[string]play{}

func main() { os.Exit(start()) }

func start() int {
	flag.Parse()
	p, ok := plays[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown play", flag.Arg(0))
		return notRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	dir := *logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return notRun
	}
	w, err := newWorld(rec, *program, dir, p.site, p.attempts, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	var once sync.Once
	end := func() { once.Do(w.close) }
	defer end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	if *duration <= 0 {
		time.AfterFunc(limit, func() { interrupted <- syscall.SIGTERM })
	}
	go func() {
		<-interrupted
		end()
		os.Exit(notRun)
	}()
	if !w.awaitReady(20 * time.Second) {
		fmt.Fprintln(os.Stderr, "the processes did not become ready")
		return notRun
	}
	rec.line("all processes are ready")
	broken, err := p.run(w)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for _, b := range broken {
		rec.line("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return ruleBroken
	}
	rec.line("all rules held")
	fmt.Println("all rules held")
	return ruleHeld
}
