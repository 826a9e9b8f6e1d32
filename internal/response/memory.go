package response

import "sync/atomic"

// Memory bounds the bytes of the bodies that are being read. It is safe for
// concurrent use. A nil *Memory has no bound.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// OutOfMemoryError means that a body needs more memory than the other bodies that
// are being read leave.
type OutOfMemoryError struct{}

// Error implements error.
func (*OutOfMemoryError) Error() string { return "no memory left for a response body" }

// Used returns the bytes in use.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// reserve takes n bytes if they are left, and reports whether it did.
func (m *Memory) reserve(n int64) bool {
	if m == nil {
		return true
	}
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// free returns n bytes.
func (m *Memory) free(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}
