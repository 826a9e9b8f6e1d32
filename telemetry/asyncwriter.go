package telemetry

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is the number of log lines that may wait for the output.
	asyncLines = 2048
	// asyncLineBytes bounds one line that waits.
	asyncLineBytes = 16 << 10
	// dropNotice is the least time between two lines about dropped ones.
	dropNotice = time.Second
)

// FlushTimeout is how long the end of a process waits for its log lines.
const FlushTimeout = 300 * time.Millisecond

// AsyncWriter writes log lines to an output that may be slow or stand still,
// without making those wait who log. Lines that find no room are dropped and
// counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Uint64
}

// NewAsyncWriter starts writing to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write takes a line without waiting for the output.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	kept := make([]byte, min(len(line), asyncLineBytes))
	copy(kept, line)
	if len(kept) < len(line) {
		kept[len(kept)-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until the lines taken so far are written, for at most d.
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
	var told uint64
	var toldAt time.Time
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line) // There is nowhere else to say that logging failed.
		case done := <-w.flush:
			for len(w.lines) > 0 {
				_, _ = w.out.Write(<-w.lines)
			}
			close(done)
		}
		dropped := w.dropped.Load()
		if dropped > told && time.Since(toldAt) >= dropNotice {
			told, toldAt = dropped, time.Now()
			_, _ = io.WriteString(w.out, `{"level":"WARN","msg":"log lines dropped","total":`+strconv.FormatUint(dropped, 10)+"}\n")
		}
	}
}
