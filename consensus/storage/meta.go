package storage

import (
	"encoding/binary"
	"hash/fnv"
	"os"
)

// A bbolt file begins with two meta pages, which are written in turn. bbolt
// falls back to the older one if the newer one is damaged, which would lose
// the last transaction silently, so both have to be whole here. Each fits in
// one disk sector, so a crash leaves none half written.
const (
	metaPages       = 2
	leastPages      = 4
	pageHeaderBytes = 16
	metaBytes       = 56
	metaSumBytes    = 8
)

// checkMetas fails unless both meta pages are whole.
func checkMetas(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return &OpenError{Path: path, Cause: err}
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return &OpenError{Path: path, Cause: err}
	}
	if info.Size() < int64(leastPages*os.Getpagesize()) {
		return &DamagedError{Path: path, Reason: "the file was cut short"}
	}
	page := make([]byte, pageHeaderBytes+metaBytes+metaSumBytes)
	for i := range metaPages {
		if _, err := f.ReadAt(page, int64(i)*int64(os.Getpagesize())); err != nil {
			return &DamagedError{Path: path, Reason: "a meta page is missing"}
		}
		meta := page[pageHeaderBytes:]
		h := fnv.New64a()
		_, _ = h.Write(meta[:metaBytes])
		if h.Sum64() != binary.NativeEndian.Uint64(meta[metaBytes:]) {
			return &DamagedError{Path: path, Reason: "a meta page has a wrong checksum"}
		}
	}
	return nil
}
