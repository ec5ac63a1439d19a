package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, since: time.Now()}, nil
}

// write adds a line with the seconds since the start, to the file and to standard output.
func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	fmt.Print(line)
}

func (r *record) close() {
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}
