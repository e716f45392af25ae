package logging

import (
	"bytes"
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
	// maxPendingWarnings is the number of further places that only warnings and errors take.
	maxPendingWarnings = 4096
	// batchSize is the number of bytes from which on no more lines are added to those written in one call.
	batchSize = 32 << 10
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter writes lines in the background. If the output is too slow, lines are dropped and
// counted, warnings and errors last: requests must not wait for the log.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	dropped atomic.Uint64
	// droppedWarnings are those of the dropped lines that were warnings or errors.
	droppedWarnings atomic.Uint64
	done            sync.WaitGroup
}

// NewAsyncWriter returns a writer that writes to out in the background until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxPendingLines+maxPendingWarnings), closing: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-w.closing:
		w.drop(line)
		return len(line), nil
	default:
	}
	if len(w.lines) >= maxPendingLines && !isWarning(line) {
		w.drop(line)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop(line)
	}
	return len(line), nil
}

// isWarning reports whether a line is a warning or an error: its second pair is the level.
func isWarning(line []byte) bool {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	return bytes.HasPrefix(rest, []byte("level=warn ")) || bytes.HasPrefix(rest, []byte("level=error "))
}

// drop counts a line that isn't written.
func (w *AsyncWriter) drop(line []byte) {
	w.dropped.Add(1)
	if isWarning(line) {
		w.droppedWarnings.Add(1)
	}
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes a last batch of pending lines, see appendLast, and stops the writer. Pending
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
			buf = w.appendLast(buf)
			if w.dropped.Load() > reported {
				buf = w.appendDropReport(buf)
			}
			// An error can't be reported: the log is where it would be reported.
			_, _ = w.out.Write(buf)
			return
		}
		buf = w.appendPending(buf)
		if n := w.dropped.Load(); n > reported && time.Since(lastReport) > dropReportInterval {
			buf = w.appendDropReport(buf)
			reported, lastReport = n, time.Now()
		}
		_, _ = w.out.Write(buf)
	}
}

// appendLast appends pending lines until buf holds batchSize, and warnings until it holds twice as much. It drops
// and counts the others.
func (w *AsyncWriter) appendLast(buf []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			if len(buf) < batchSize || len(buf) < 2*batchSize && isWarning(line) {
				buf = append(buf, line...)
			} else {
				w.drop(line)
			}
		default:
			return buf
		}
	}
}

// appendDropReport appends a line with the number of lines dropped so far, and of the warnings among them.
func (w *AsyncWriter) appendDropReport(buf []byte) []byte {
	warnings := w.droppedWarnings.Load()
	buf = fmt.Appendf(buf, "time=%s level=warn event=log-lines-dropped total=%d", time.Now().Format(time.RFC3339Nano), w.dropped.Load())
	if warnings > 0 {
		buf = fmt.Appendf(buf, " warnings=%d", warnings)
	}
	return append(buf, '\n')
}

// appendPending appends pending lines until buf holds batchSize, so that many are written in one call.
func (w *AsyncWriter) appendPending(buf []byte) []byte {
	for len(buf) < batchSize {
		select {
		case line := <-w.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
