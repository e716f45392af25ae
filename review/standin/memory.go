//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() {
	plays["memory"] = play{site: smallSite, attempts: 4, run: playMemory}
}

const (
	// memoryMb is the memory of a process; the platform kills one that exceeds it.
	memoryMb = 284
	// memoryInterval is how often the processes' memory is read.
	memoryInterval = 20 * time.Millisecond
)

// resident returns the memory that a process occupies, in kilobytes; 0 if it has ended.
func resident(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(raw, []byte("\n")) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == "VmRSS:" {
			n, _ := strconv.Atoi(string(f[1]))
			return n
		}
	}
	return 0
}

// limitMemory kills each process that exceeds its memory, as the platform does.
func (w *world) limitMemory() {
	for {
		select {
		case <-w.closed:
			return
		case <-time.After(memoryInterval):
		}
		for _, n := range w.nodes {
			n.mu.Lock()
			pid := 0
			if n.cmd != nil && n.cmd.Process != nil {
				pid = n.cmd.Process.Pid
			}
			n.mu.Unlock()
			kb := resident(pid)
			n.peak = max(n.peak, kb)
			if kb > memoryMb*1024 {
				w.rec.line("the platform kills %s: it occupies %d kB", n.name, kb)
				n.signal(syscall.SIGKILL)
				n.killed++
				n.peak = 0
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// playMemory sends scheduled jobs at an even rate for some seconds. With trouble, more come for a while.
func playMemory(w *world) ([]string, error) {
	const (
		rate     = 80
		burst    = 1.9
		traffic  = 4200 * time.Millisecond
		length   = 60 * time.Second
		interval = 10 * time.Second
		times    = 4 * 360
	)
	go w.limitMemory()
	steps := []stepSpec{{Count: 1, CPU: 500, MemMB: 64, EstimateMs: 100, work: 100 * time.Millisecond}}
	begin := time.Now()
	first := begin.Add(10 * time.Second)
	var clients sync.WaitGroup
	sent := 0.0
	for k := 0; ; k++ {
		r := float64(rate)
		if *trouble {
			r *= burst
		}
		sent += 1 / r
		time.Sleep(time.Until(begin.Add(time.Duration(sent * float64(time.Second)))))
		if time.Since(begin) > traffic {
			break
		}
		due := first.Add(time.Duration(k*7919%10000) * time.Millisecond)
		j := w.newJob(fmt.Sprintf("%016x", 0xabc000000+k), jobSpec{
			Spec: fmt.Sprint("schedule ", k), Steps: steps, Times: times, StartAtMs: due.UnixMilli(), IntervalMs: interval.Milliseconds(),
		})
		clients.Add(1)
		go func() {
			defer clients.Done()
			w.submit(j, k, 3, 1500*time.Millisecond)
		}()
	}
	clients.Wait()
	w.rec.line("%d of %d scheduled jobs are accepted", len(w.accepted()), len(w.order))
	end := time.Now()
	time.Sleep(time.Until(begin.Add(length)))
	w.askAll()
	for _, n := range w.nodes {
		w.rec.line("node=%s killed %d times by the platform, at most %d kB since", n.name, n.killed, n.peak)
	}
	broken := append(w.stuck(end.Add(finishTime)), w.seen...)
	return append(broken, w.violations()...), nil
}

// askAll asks for all accepted jobs at once, and notes those that are unknown.
func (w *world) askAll() {
	var clients sync.WaitGroup
	for i, j := range w.accepted() {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if status, _ := w.ask(j, i); status == 410 {
				w.report("LOST: %s was accepted and is unknown now", j.id)
			}
		}()
	}
	clients.Wait()
}
