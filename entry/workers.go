package entry

// workers run calls, each on a goroutine that is used again. A call needs a stack
// that a new goroutine has to grow in steps first; a tenth of what a call costs was
// that, with a thousand calls a second.
type workers struct {
	// work hands a call to a goroutine that waits for one.
	work chan func()
	// idle bounds the goroutines that wait.
	idle chan struct{}
}

// maxIdleWorkers is the number of goroutines kept: as many calls are on their way in a
// process that leads 60 runners at full load.
const maxIdleWorkers = 128

func newWorkers() *workers {
	return &workers{work: make(chan func()), idle: make(chan struct{}, maxIdleWorkers)}
}

// run calls f on some goroutine, at once.
func (w *workers) run(f func()) {
	select {
	case w.work <- f:
	default:
		go w.serve(f)
	}
}

// serve runs a call, and others that come while not too many wait for one.
func (w *workers) serve(f func()) {
	for {
		f()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		f = <-w.work
		<-w.idle
	}
}
