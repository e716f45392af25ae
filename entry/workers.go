package entry

// workers runs calls on goroutines that are reused. A new goroutine has to grow its
// stack in steps to the size that a call needs; at a thousand calls a second that took
// a tenth of the cost of a call.
type workers struct {
	// work passes a call to an idle goroutine.
	work chan func()
	// idle bounds the number of idle goroutines.
	idle chan struct{}
}

// maxIdleWorkers is the number of idle goroutines that are retained. A process that
// leads 60 runners at full load has as many calls in flight.
const maxIdleWorkers = 128

func newWorkers() *workers {
	return &workers{work: make(chan func()), idle: make(chan struct{}, maxIdleWorkers)}
}

// run starts f at once, on an idle goroutine or on a new one.
func (w *workers) run(f func()) {
	select {
	case w.work <- f:
	default:
		go w.serve(f)
	}
}

// serve runs f and then further calls, until there are too many idle goroutines.
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
