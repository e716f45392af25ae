package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is the maximum number of lines that wait to be written; a busy process
	// logs as many within some seconds.
	maxPendingLines = 4096
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter writes lines in the background. If the output is too slow, lines are dropped and
// counted: requests must not wait for the log.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a writer that writes to out in the background until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxPendingLines), closing: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes a last batch of pending lines, see appendPending, and stops the writer. Pending
// lines beyond that batch and lines written later are dropped and counted.
func (w *AsyncWriter) Close() {
	close(w.closing)
	w.done.Wait()
}

// run writes pending lines until the writer is closed.
func (w *AsyncWriter) run() {
	defer w.done.Done()
	reported := uint64(0)
	lastReport := time.Now()
	buf := make([]byte, 0, 64<<10)
	for {
		buf = buf[:0]
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		case <-w.closing:
			buf = w.appendPending(buf)
			w.dropPending()
			if n := w.dropped.Load(); n > reported {
				buf = appendDropReport(buf, n)
			}
			// An error can't be reported: the log is where it would be reported.
			_, _ = w.out.Write(buf)
			return
		}
		buf = w.appendPending(buf)
		if n := w.dropped.Load(); n > reported && time.Since(lastReport) > dropReportInterval {
			buf = appendDropReport(buf, n)
			reported, lastReport = n, time.Now()
		}
		_, _ = w.out.Write(buf)
	}
}

// dropPending drops and counts all pending lines.
func (w *AsyncWriter) dropPending() {
	for {
		select {
		case <-w.lines:
			w.dropped.Add(1)
		default:
			return
		}
	}
}

// appendDropReport appends a line with the number of lines dropped so far.
func appendDropReport(buf []byte, total uint64) []byte {
	return fmt.Appendf(buf, "time=%s level=warn event=log-lines-dropped total=%d\n", time.Now().Format(time.RFC3339Nano), total)
}

// appendPending appends pending lines until buf holds 32 KiB, so that many are written in one call.
func (w *AsyncWriter) appendPending(buf []byte) []byte {
	for len(buf) < 32<<10 {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
