package storage

import (
	"io"
	"os"
)

// appendFile is a file as the journal uses it.
type appendFile interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
	// SyncData syncs the content and the length only.
	SyncData() error
}

// osFile is an appendFile of the operating system.
type osFile struct{ *os.File }

// SyncData implements appendFile.
func (f osFile) SyncData() error { return syncData(f.File) }

func openAppend(path string, flags int) (appendFile, error) {
	f, err := os.OpenFile(path, flags|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, &OpenError{Path: path, Cause: err}
	}
	return osFile{f}, nil
}
