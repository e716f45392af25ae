package soak

import (
	"sync"
	"time"
)

// disturbance is a fault at a VM or at the store; to is zero while it lasts.
type disturbance struct {
	place    string
	from, to time.Time
	pause    bool
}

// theStore is the place of disturbances that concern all VMs.
const theStore = ""

// disturbances records the faults after which VMs are not in touch for a while.
type disturbances struct {
	mu   sync.Mutex
	list []*disturbance
}

// begin records a disturbance and returns the function that ends it.
func (d *disturbances) begin(place string) (end func()) {
	return d.add(&disturbance{place: place, from: time.Now()})
}

// beginPause records that a VM's process is paused.
func (d *disturbances) beginPause(vm string) (end func()) {
	return d.add(&disturbance{place: vm, from: time.Now(), pause: true})
}

func (d *disturbances) add(x *disturbance) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, x)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		x.to = time.Now()
	}
}

// pauseRule says whether the time around a pause is excepted from the check. A process that gets no processor
// time for other reasons looks the same, and isn't excepted.
type pauseRule bool

const (
	pausesExcepted pauseRule = false
	pausesCounted  pauseRule = true
)

// inTouch reports whether neither the VM nor the store was disturbed within contactTime.
func (d *disturbances) inTouch(vm string, at time.Time, pauses pauseRule) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.list {
		if x.place != vm && x.place != theStore || x.pause && pauses == pausesCounted || at.Before(x.from) {
			continue
		}
		if x.to.IsZero() || at.Before(x.to.Add(contactTime)) {
			return false
		}
	}
	return true
}
