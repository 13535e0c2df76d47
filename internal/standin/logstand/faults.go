package logstand

import "time"

// SetOutage turns an outage on or off, in which the log responds to every request with status 503, also to
// reads that are waiting for records.
func (l *Log) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.outage = on
	for _, s := range l.streams {
		s.notify()
	}
}

// SetDelay sets the simulated time that the log waits before it processes an append or a read.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.delay = d
}

// SetAnswerDelay sets the simulated time that the log waits between an append and its response.
func (l *Log) SetAnswerDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.answerDelay = d
}

// LoseAnswers makes the next n appends take effect but closes their connections without a response.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.loseAnswers = n
}

// DuplicateAppends makes the log append the data of the next n appends a second time after a delay in
// simulated time.
func (l *Log) DuplicateAppends(n int, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.duplicates = n
	l.faults.duplicateDelay = after
}

// Expire deletes the records of a stream below an offset, as if they were older than the retention time.
func (l *Log) Expire(name string, below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if below > s.first {
		s.dropFirst(int(min(below, s.next()) - s.first))
	}
}

// Stats returns the current counts.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Records returns the data of the records of a stream that have not been deleted.
func (l *Log) Records(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all [][]byte
	for _, r := range l.stream(name).records {
		all = append(all, r.data)
	}
	return all
}

// Close cancels the duplicate appends that are pending.
func (l *Log) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t := range l.timers {
		t.Stop()
	}
	clear(l.timers)
}

// updateStats calls update with the counts under the lock.
func (l *Log) updateStats(update func(*Stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.stats)
}

// requestDelay returns the simulated time to wait before a request is processed.
func (l *Log) requestDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.delay
}
