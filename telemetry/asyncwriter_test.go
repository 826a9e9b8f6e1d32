package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// An output that nobody reads delays no line; what finds no room is counted.
func TestStuckOutputDelaysNobody(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsyncWriter(w)
	begun := time.Now()
	for range 3 * asyncLines {
		_, _ = a.Write([]byte("line\n"))
	}
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("%v for lines that nobody reads", took)
	}
	if d := a.Dropped(); d < asyncLines || d > 2*asyncLines {
		t.Fatalf("%d lines dropped", d)
	}
	a.Flush(10 * time.Millisecond)
	_ = r.Close()
}

// lockedBuffer is a buffer that a test reads while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func TestFlushWritesWhatWasTaken(t *testing.T) {
	out := &lockedBuffer{}
	a := NewAsyncWriter(out)
	for range 100 {
		_, _ = a.Write([]byte("line\n"))
	}
	_, _ = a.Write([]byte(strings.Repeat("x", 2*asyncLineBytes) + "\n"))
	a.Flush(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.b.String(), "\n"); n != 101 || out.b.Len() > 100*5+asyncLineBytes {
		t.Fatalf("%d lines, %d bytes", n, out.b.Len())
	}
}
