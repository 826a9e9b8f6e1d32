package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	fileName    = "consensus.db"
	newSuffix   = ".new"
	fileMode    = 0o600
	lockTimeout = time.Second
	fillPercent = 0.95
)

// keyTransaction is the key of the last transaction's number. A damaged page
// may lead to pages of an older transaction, which are whole themselves.
const keyTransaction = "transaction"

var (
	namedBucket   = []byte("named")
	entriesBucket = []byte("entries")
)

// records are what an engine holds.
type records struct {
	named   map[string][]byte
	entries []Record
}

// boltEngine keeps the records in a bbolt file.
type boltEngine struct {
	dir  string
	path string
	lock *os.File
	// db is nil until the first write to a new folder.
	db *bbolt.DB
	// found is what the file held when it was opened.
	found records
}

// openBolt opens the file in dir. The first write makes it if it is missing, so
// that a file is never without what was written first. What a file holds is copied into a new file that takes its place: a damaged page
// may look like a free one, and bbolt would write over live ones.
func openBolt(dir string) (*boltEngine, error) {
	e := &boltEngine{dir: dir, path: filepath.Join(dir, fileName)}
	if err := makeFolder(dir); err != nil {
		return nil, &OpenError{Path: dir, Cause: err}
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, &OpenError{Path: dir, Cause: err}
	}
	e.lock = lock
	e.found, err = readBolt(e.path)
	if err == nil && len(e.found.named) > 0 {
		err = e.rebuild(Batch{Named: e.found.named, Entries: e.found.entries})
	}
	if err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

// rebuild writes a batch into a new file in place of the old one.
func (e *boltEngine) rebuild(b Batch) error {
	next := e.path + newSuffix
	err := os.Remove(next)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return &OpenError{Path: next, Cause: err}
	}
	e.db, err = bbolt.Open(next, fileMode, &bbolt.Options{
		Timeout:        lockTimeout,
		NoFreelistSync: true,
		FreelistType:   bbolt.FreelistMapType,
	})
	if err == nil {
		err = e.db.Update(makeBuckets)
	}
	if err == nil {
		err = e.Write(b)
	}
	if err == nil {
		err = os.Rename(next, e.path)
	}
	if err == nil {
		err = syncFolder(e.dir)
	}
	if err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	return nil
}

func makeBuckets(tx *bbolt.Tx) error {
	if _, err := tx.CreateBucket(namedBucket); err != nil {
		return err
	}
	_, err := tx.CreateBucket(entriesBucket)
	return err
}

// readBolt returns what the file holds, nothing if there is no file yet.
func readBolt(path string) (found records, err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return records{}, nil
	}
	if err != nil {
		return records{}, &OpenError{Path: path, Cause: err}
	}
	if err := checkMetas(path); err != nil {
		return records{}, err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer damagedOnPanic(path, &err)
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return records{}, openFailure(path, err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bbolt.Tx) error {
		if info.Size() < tx.Size() {
			return &DamagedError{Path: path, Reason: "the file was cut short"}
		}
		found, err = readRecords(tx, path)
		return err
	})
	if err == nil && len(found.named) == 0 {
		return found, &DamagedError{Path: path, Reason: "the file is empty"}
	}
	return found, err
}

func readRecords(tx *bbolt.Tx, path string) (records, error) {
	r := records{named: make(map[string][]byte)}
	named, entries := tx.Bucket(namedBucket), tx.Bucket(entriesBucket)
	if named == nil || entries == nil {
		return r, &DamagedError{Path: path, Reason: "a bucket is missing"}
	}
	err := named.ForEach(func(k, v []byte) error {
		r.named[string(k)] = bytes.Clone(v)
		return nil
	})
	if err != nil {
		return r, err
	}
	last, ok := unseal([]byte(keyTransaction), r.named[keyTransaction])
	if !ok || !bytes.Equal(last, indexKey(uint64(tx.ID()))) {
		return r, &DamagedError{Path: path, Reason: "the records are not of the last transaction"}
	}
	delete(r.named, keyTransaction)
	err = entries.ForEach(func(k, v []byte) error {
		if len(k) != indexBytes {
			return &DamagedError{Path: path, Reason: "an entry's key has a wrong length"}
		}
		r.entries = append(r.entries, Record{binary.BigEndian.Uint64(k), bytes.Clone(v)})
		return nil
	})
	return r, err
}

func openFailure(path string, err error) error {
	damage := []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch}
	for _, d := range damage {
		if errors.Is(err, d) {
			return &DamagedError{Path: path, Reason: err.Error()}
		}
	}
	return &OpenError{Path: path, Cause: err}
}

// damagedOnPanic turns a panic over a damaged file into an error. A file that
// was cut short shows as a memory fault, since it is mapped.
func damagedOnPanic(path string, err *error) {
	if r := recover(); r != nil {
		*err = &DamagedError{Path: path, Reason: "its pages don't fit together"}
	}
}

// Load implements Engine. It is called once.
func (e *boltEngine) Load() (named map[string][]byte, entries []Record, err error) {
	found := e.found
	e.found = records{}
	return found.named, found.entries, nil
}

// Write implements Engine.
func (e *boltEngine) Write(b Batch) (err error) {
	if e.db == nil {
		return e.rebuild(b)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer damagedOnPanic(e.path, &err)
	return e.db.Update(func(tx *bbolt.Tx) error {
		named := tx.Bucket(namedBucket)
		last := seal([]byte(keyTransaction), indexKey(uint64(tx.ID())))
		if err := named.Put([]byte(keyTransaction), last); err != nil {
			return err
		}
		for k, v := range b.Named {
			if err := named.Put([]byte(k), v); err != nil {
				return err
			}
		}
		entries := tx.Bucket(entriesBucket)
		entries.FillPercent = fillPercent
		if err := removeEntries(entries, b); err != nil {
			return err
		}
		for _, r := range b.Entries {
			if err := entries.Put(indexKey(r.Index), r.Data); err != nil {
				return err
			}
		}
		return nil
	})
}

func removeEntries(entries *bbolt.Bucket, b Batch) error {
	var keys [][]byte
	c := entries.Cursor()
	if b.DropThrough > 0 {
		end := indexKey(b.DropThrough)
		for k, _ := c.First(); k != nil && bytes.Compare(k, end) <= 0; k, _ = c.Next() {
			keys = append(keys, k)
		}
	}
	if b.TruncateFrom > 0 {
		for k, _ := c.Seek(indexKey(b.TruncateFrom)); k != nil; k, _ = c.Next() {
			keys = append(keys, k)
		}
	}
	for _, k := range keys {
		if err := entries.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Close implements Engine.
func (e *boltEngine) Close() error {
	var err error
	if e.db != nil {
		err = e.db.Close()
	}
	if lockErr := e.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}
