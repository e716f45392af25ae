package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written, some seconds of a
	// busy process.
	queueLines = 4096
	// dropReport is how often dropped lines are reported.
	dropReport = time.Second
)

// AsyncWriter writes lines in the background. If the reader of the output doesn't
// keep up, lines are dropped and counted: requests must not wait for the log.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a queue that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{out: out, lines: make(chan []byte, queueLines), quit: make(chan struct{})}
	q.done.Add(1)
	go q.run()
	return q
}

// Write implements io.Writer. It never waits and never fails.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped so far.
func (q *AsyncWriter) Dropped() uint64 { return q.dropped.Load() }

// Close writes what waits. Lines that come later are dropped.
func (q *AsyncWriter) Close() {
	close(q.quit)
	q.done.Wait()
}

func (q *AsyncWriter) run() {
	defer q.done.Done()
	reported := uint64(0)
	last := time.Now()
	buf := make([]byte, 0, 64<<10)
	for {
		buf = buf[:0]
		select {
		case line := <-q.lines:
			buf = append(buf, line...)
		case <-q.quit:
			// An output that can't be written to can't be told so either.
			_, _ = q.out.Write(q.gather(buf))
			return
		}
		buf = q.gather(buf)
		if n := q.dropped.Load(); n > reported && time.Since(last) > dropReport {
			buf = fmt.Appendf(buf, "time=%s level=warn event=log-lines-dropped total=%d\n", time.Now().Format(time.RFC3339Nano), n)
			reported, last = n, time.Now()
		}
		_, _ = q.out.Write(buf)
	}
}

// gather adds the lines that wait, so that many are written at once.
func (q *AsyncWriter) gather(buf []byte) []byte {
	for len(buf) < 32<<10 {
		select {
		case line := <-q.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
