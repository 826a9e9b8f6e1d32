package storage

// Keys of the records that are not entries.
const (
	keyManifest = "manifest"
	keySnapshot = "snapshot"
)

// Record is the encoded entry at an index.
type Record struct {
	Index uint64
	Data  []byte
}

// Batch is the content of one atomic write. Removals apply before Entries are
// added.
type Batch struct {
	// Named holds the records that are not entries, by key.
	Named map[string][]byte
	// TruncateFrom removes the entries from this index on. 0 removes none.
	TruncateFrom uint64
	// DropThrough removes the entries up to and including this index.
	DropThrough uint64
	Entries     []Record
}

// Engine stores batches durably. Tests inject faults at this interface.
type Engine interface {
	// Load returns all records, the entries by ascending index.
	Load() (named map[string][]byte, entries []Record, err error)
	// Write returns nil only once the whole batch is synced. After an error the
	// batch may have been written as a whole or not at all.
	Write(b Batch) error
	Close() error
}

// RetryEngine is an engine whose last failed write can be tried again.
type RetryEngine interface {
	Engine
	// Retry tries the write that failed last again, with the same guarantee as Write.
	// No other batch may be written before it succeeds.
	Retry() error
}
