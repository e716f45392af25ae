package entry

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against calls that are held up by others that never return, such as calls to a
// silent runner.
func TestBlockedCallsDelayNoOthers(t *testing.T) {
	g := NewWithT(t)
	w := newWorkers()
	stuck := make(chan struct{})
	defer close(stuck)
	var done sync.WaitGroup
	var mu sync.Mutex
	count := 0
	for i := range 3 * maxIdleWorkers {
		if i%2 == 0 {
			w.run(func() { <-stuck })
			continue
		}
		done.Add(1)
		w.run(func() {
			defer done.Done()
			mu.Lock()
			defer mu.Unlock()
			count++
		})
	}
	done.Wait()
	g.Expect(count).To(Equal(3 * maxIdleWorkers / 2))
}
