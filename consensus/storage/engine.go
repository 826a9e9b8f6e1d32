package storage

// Keys of the records that aren't entries.
const (
	keyManifest = "manifest"
	keySnapshot = "snapshot"
)

// Record is an entry's record under its index.
type Record struct {
	Index uint64
	Data  []byte
}

// Batch is what is written at once.
type Batch struct {
	// Named holds the records that aren't entries.
	Named map[string][]byte
	// TruncateFrom removes the entries from this index on, if above 0.
	TruncateFrom uint64
	// DropThrough removes the entries up to this index.
	DropThrough uint64
	Entries     []Record
}

// Engine writes batches. Write returns nil only once the whole batch is
// synced; after an error the batch is there as a whole or not at all. Tests
// inject faults here.
type Engine interface {
	// Load returns all records, entries by ascending index.
	Load() (named map[string][]byte, entries []Record, err error)
	Write(b Batch) error
	Close() error
}
