//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes one line for each event to a file, and keeps the time at which it began.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	buf   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begun: time.Now(), file: f, buf: bufio.NewWriter(f)}, nil
}

// line writes an event with the time since the start.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buf, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buf.Flush()
	_ = r.file.Close()
}
