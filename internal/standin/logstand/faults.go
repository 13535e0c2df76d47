package logstand

import "time"

// SetOutage makes the log answer 503 to everything, or ends that. Reads that wait are answered.
func (l *Log) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.outage = on
	for _, s := range l.streams {
		s.wake()
	}
}

// SetDelay makes the log wait before it processes an append or a read. Model time.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.delay = d
}

// SetAnswerDelay makes the log wait between an append and its answer. Model time.
func (l *Log) SetAnswerDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.answerDelay = d
}

// LoseAnswers breaks the connection of the next n appends after they took effect.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.lose = n
}

// DuplicateAppends appends the data of the next n appends a second time after a delay in model time.
func (l *Log) DuplicateAppends(n int, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.duplicate = n
	l.faults.dupDelay = after
}

// Expire removes the records below an offset, as the retention does.
func (l *Log) Expire(name string, below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if below > s.first {
		s.drop(int(min(below, s.next()) - s.first))
	}
}

// Stats returns the counters.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Records returns the data of the records that a stream holds.
func (l *Log) Records(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all [][]byte
	for _, r := range l.stream(name).records {
		all = append(all, r.data)
	}
	return all
}

// Close drops the duplicates that are still to come.
func (l *Log) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t := range l.timers {
		t.Stop()
	}
	clear(l.timers)
}

func (l *Log) count(f func(*Stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.stats)
}

func (l *Log) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.delay
}
