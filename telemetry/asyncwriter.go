package telemetry

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the capacity of the queue in log lines.
	asyncQueueLines = 2048
	// maxAsyncLineBytes is the size to which queued lines are truncated.
	maxAsyncLineBytes = 16 << 10
	// dropNoticeInterval is the minimum interval between notices about dropped lines.
	dropNoticeInterval = time.Second
)

// FlushTimeout bounds how long a process waits for its log lines before it exits.
const FlushTimeout = 300 * time.Millisecond

// AsyncWriter writes log lines to an output that may be slow or blocked, without
// blocking the goroutines that log. Lines that exceed the queue are dropped and
// counted. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which runs
// until the process exits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncQueueLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line without blocking. Long lines are truncated. It
// always reports success; dropped lines are counted by Dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	queued := make([]byte, min(len(line), maxAsyncLineBytes))
	copy(queued, line)
	if len(queued) < len(line) {
		queued[len(queued)-1] = '\n'
	}
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was
// full.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until the lines queued so far are written, for at most d.
func (w *AsyncWriter) Flush(d time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case w.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

func (w *AsyncWriter) run() {
	var reported uint64
	var reportedAt time.Time
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line) // There is nowhere else to report a failure to log.
		case done := <-w.flush:
			for len(w.lines) > 0 {
				_, _ = w.out.Write(<-w.lines)
			}
			close(done)
		}
		dropped := w.dropped.Load()
		if dropped > reported && time.Since(reportedAt) >= dropNoticeInterval {
			reported, reportedAt = dropped, time.Now()
			_, _ = io.WriteString(w.out, `{"level":"WARN","msg":"log lines dropped","total":`+strconv.FormatUint(dropped, 10)+"}\n")
		}
	}
}
