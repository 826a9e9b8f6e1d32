package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestBlockedOutputDoesNotBlockWriters guards against a blocked log output that
// blocks the goroutines that log. Lines that exceed the queue must be counted.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsyncWriter(w)
	start := time.Now()
	for range 3 * asyncQueueLines {
		_, _ = a.Write([]byte("line\n"))
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("writing to a blocked output took %v", took)
	}
	if d := a.Dropped(); d < asyncQueueLines || d > 2*asyncQueueLines {
		t.Fatalf("%d lines dropped", d)
	}
	a.Flush(10 * time.Millisecond)
	_ = r.Close()
}

// lockedBuffer is a buffer that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// TestFlushWritesQueuedLines guards against lines that are lost at exit: Flush
// must write all queued lines, and a line that is too long truncated.
func TestFlushWritesQueuedLines(t *testing.T) {
	out := &lockedBuffer{}
	a := NewAsyncWriter(out)
	for range 100 {
		_, _ = a.Write([]byte("line\n"))
	}
	_, _ = a.Write([]byte(strings.Repeat("x", 2*maxAsyncLineBytes) + "\n"))
	a.Flush(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.b.String(), "\n"); n != 101 || out.b.Len() > 100*5+maxAsyncLineBytes {
		t.Fatalf("%d lines, %d bytes", n, out.b.Len())
	}
}
