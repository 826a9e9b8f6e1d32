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
	boltFileName = "consensus.db"
	tempSuffix   = ".new"
	fileMode     = 0o600
	lockTimeout  = time.Second
	fillPercent  = 0.95
)

// keyTransaction is the key of a record with the number of the last transaction.
// It detects a damaged page that references intact pages of an older
// transaction.
const keyTransaction = "transaction"

var (
	namedBucket   = []byte("named")
	entriesBucket = []byte("entries")
)

// records are the contents of an engine.
type records struct {
	named   map[string][]byte
	entries []Record
}

// boltEngine stores the records in a bbolt file.
type boltEngine struct {
	dir  string
	path string
	lock *os.File
	// db is nil until the first write to a new folder.
	db *bbolt.DB
	// loaded holds the records read when the file was opened, until Load.
	loaded records
}

// openBolt opens the bbolt file in dir. A missing file is created by the first
// write, so that a file always contains the first batch. The contents of an
// existing file are copied into a new file that replaces it, since a damaged page
// can look like a free one, and bbolt would then overwrite live pages.
func openBolt(dir string) (*boltEngine, error) {
	e := &boltEngine{dir: dir, path: filepath.Join(dir, boltFileName)}
	if err := ensureFolder(dir); err != nil {
		return nil, &OpenError{Path: dir, Cause: err}
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, &OpenError{Path: dir, Cause: err}
	}
	e.lock = lock
	e.loaded, err = readBolt(e.path)
	if err == nil && len(e.loaded.named) > 0 {
		err = e.rewrite(Batch{Named: e.loaded.named, Entries: e.loaded.entries})
	}
	if err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

// rewrite writes a batch to a new file and atomically replaces the old one with
// it.
func (e *boltEngine) rewrite(b Batch) error {
	next := e.path + tempSuffix
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
		err = e.db.Update(createBuckets)
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

func createBuckets(tx *bbolt.Tx) error {
	if _, err := tx.CreateBucket(namedBucket); err != nil {
		return err
	}
	_, err := tx.CreateBucket(entriesBucket)
	return err
}

// readBolt returns the contents of the file, none if there is no file yet.
// Errors: *DamagedError, *OpenError.
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
	defer recoverDamage(path, &err)
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return records{}, classifyOpenError(path, err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bbolt.Tx) error {
		if info.Size() < tx.Size() {
			return &DamagedError{Path: path, Reason: "the file is truncated"}
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
	last, ok := stripChecksum([]byte(keyTransaction), r.named[keyTransaction])
	if !ok || !bytes.Equal(last, indexKey(uint64(tx.ID()))) {
		return r, &DamagedError{Path: path, Reason: "the records are not from the last transaction"}
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

// classifyOpenError returns a *DamagedError for errors that bbolt reports for
// invalid contents, else an *OpenError.
func classifyOpenError(path string, err error) error {
	damage := []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch}
	for _, d := range damage {
		if errors.Is(err, d) {
			return &DamagedError{Path: path, Reason: err.Error()}
		}
	}
	return &OpenError{Path: path, Cause: err}
}

// recoverDamage turns a panic of bbolt on a damaged file into an error. Access to
// a truncated file is a memory fault, since the file is memory-mapped.
func recoverDamage(path string, err *error) {
	if r := recover(); r != nil {
		*err = &DamagedError{Path: path, Reason: "its pages are inconsistent"}
	}
}

// Load implements Engine. It must be called only once.
func (e *boltEngine) Load() (named map[string][]byte, entries []Record, err error) {
	found := e.loaded
	e.loaded = records{}
	return found.named, found.entries, nil
}

// Write implements Engine.
func (e *boltEngine) Write(b Batch) (err error) {
	if e.db == nil {
		return e.rewrite(b)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverDamage(e.path, &err)
	return e.db.Update(func(tx *bbolt.Tx) error {
		named := tx.Bucket(namedBucket)
		last := addChecksum([]byte(keyTransaction), indexKey(uint64(tx.ID())))
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
