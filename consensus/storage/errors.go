package storage

import "strconv"

// DamagedError says that the data folder holds what can't have been written.
type DamagedError struct {
	Path   string
	Reason string
	// Index is the entry that is damaged, 0 if it isn't about one.
	Index uint64
}

// Error describes the failure.
func (e *DamagedError) Error() string {
	s := "data in " + e.Path + " is damaged: " + e.Reason
	if e.Index > 0 {
		s += " (entry " + strconv.FormatUint(e.Index, 10) + ")"
	}
	return s
}

// OpenError says that the data folder can't be opened.
type OpenError struct {
	Path  string
	Cause error
}

// Error describes the failure.
func (e *OpenError) Error() string { return "can't open " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Cause }

// WriteError says that a write failed, so that what is on the disk isn't
// known. The store takes no more writes; the process has to start again.
type WriteError struct {
	Cause error
}

// Error describes the failure.
func (e *WriteError) Error() string { return "the data folder failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// NotEmptyError says that a group can't be formed on a folder that has a state.
type NotEmptyError struct {
	Path string
}

// Error describes the failure.
func (e *NotEmptyError) Error() string { return "the data folder " + e.Path + " already has a state" }
