package storage

import (
	"encoding/binary"
	"hash/fnv"
	"os"
)

// Layout of the two meta pages at the start of a bbolt file, which are written
// alternately. If the newer one is damaged, bbolt falls back to the older one,
// which would silently lose the last transaction. Therefore both must be intact
// here. Each fits into one disk sector, so that a crash does not leave a partly
// written one.
const (
	metaPages         = 2
	minPages          = 4
	pageHeaderBytes   = 16
	metaBytes         = 56
	metaChecksumBytes = 8
)

// checkMetas returns an error unless both meta pages are intact. Errors:
// *DamagedError, *OpenError.
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
	if info.Size() < int64(minPages*os.Getpagesize()) {
		return &DamagedError{Path: path, Reason: "the file is truncated"}
	}
	page := make([]byte, pageHeaderBytes+metaBytes+metaChecksumBytes)
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
