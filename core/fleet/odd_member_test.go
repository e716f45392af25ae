package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/topology"
)

// addMadeUpMember adds the row of a VM that doesn't exist and has more processors than any other.
func (w *world) addMadeUpMember(domain string) {
	w.numbers++
	w.members = append(w.members, topology.Member{ID: "odd#9999", VM: "odd", Domain: domain, Number: w.numbers, MilliCPU: 10_000_000})
}

// Guards against a change of leaders that takes seconds: another writer has left the row of a VM that doesn't exist, with
// more processors than all others, which takes the seats of its cell.
func TestAMadeUpMemberDoesntDelayAChangeOfLeaders(t *testing.T) {
	t.Parallel()
	for name, w := range map[string]*world{"pooled": deployment(1, 1), "cells": cellDeployment(1, 1)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w.run(time.Second)
			w.addMadeUpMember("a")
			w.run(time.Second)
			w.load(60, 4*time.Second)
			w.run(time.Second)
			leaders := len(w.leaders())
			w.kill(w.leaders()[0], time.Hour)
			killedAt := w.now
			for len(w.leaders()) < leaders && w.now < killedAt+10*time.Second {
				w.run(10 * time.Millisecond)
			}
			g.Expect(w.now-killedAt).To(BeNumerically("<", time.Second), "without that row 430 to 450 ms")
		})
	}
}
