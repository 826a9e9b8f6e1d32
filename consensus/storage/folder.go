package storage

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

const (
	lockName   = "lock"
	folderMode = 0o700
)

// lockFolder takes an exclusive lock on the folder. Closing the returned file
// releases it.
func lockFolder(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// ensureFolder creates the folder if it is missing, and syncs its parent so that
// it survives a crash.
func ensureFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(dir))
}

// syncFolder syncs the directory entries of a folder.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncData syncs a file's content and length, but not its other metadata.
func syncData(f *os.File) error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
