package storage

import (
	"errors"
	"strconv"
	"syscall"
)

// DamagedError is returned if the data folder holds data that the store cannot
// have written.
type DamagedError struct {
	Path   string
	Reason string
	// Index is the index of the damaged entry, 0 if the damage is elsewhere.
	Index uint64
}

// Error returns the path, the reason and the entry.
func (e *DamagedError) Error() string {
	s := "data in " + e.Path + " is damaged: " + e.Reason
	if e.Index > 0 {
		s += " (entry " + strconv.FormatUint(e.Index, 10) + ")"
	}
	return s
}

// OpenError is returned if a file of the data folder cannot be opened or created,
// or if another process has locked the folder.
type OpenError struct {
	Path  string
	Cause error
}

// Error returns the path and the cause.
func (e *OpenError) Error() string { return "can't open " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *OpenError) Unwrap() error { return e.Cause }

// ReplaceError is returned if a file replaced another one but can't be used, so that it
// isn't known which of them the next start finds. It has no Unwrap: its cause may be one
// after which a write can be tried again, and this one can't.
type ReplaceError struct {
	Path  string
	Cause error
}

// Error returns the path and the cause.
func (e *ReplaceError) Error() string { return "can't use the new " + e.Path + ": " + e.Cause.Error() }

// WriteError is returned if a write failed, so that the state on disk is unknown.
// The store rejects all further writes; the process has to be restarted.
type WriteError struct {
	Cause error
}

// Error returns the message with the cause.
func (e *WriteError) Error() string { return "write to the data folder failed: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// NoSpaceError is returned if a write found no space left on the disk. Nothing of it is
// acknowledged, and Store.Retry tries it again.
type NoSpaceError struct {
	Cause error
}

// Error returns the message with the cause.
func (e *NoSpaceError) Error() string {
	if e.Cause == nil {
		return "an earlier write to the data folder still waits for space"
	}
	return "the data folder has no space left: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *NoSpaceError) Unwrap() error { return e.Cause }

// isNoSpace reports whether a file operation failed because the disk or the user's
// quota of it is full.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// NotEmptyError is returned by Store.Bootstrap if the data folder already holds
// state of a group.
type NotEmptyError struct {
	Path string
}

// Error returns the message with the path.
func (e *NotEmptyError) Error() string {
	return "the data folder " + e.Path + " already holds state of a group"
}
