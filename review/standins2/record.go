package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what it has sent and seen. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

func (r *record) close() { _ = r.file.Close() }

// printf writes a line with the time since the start of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}
