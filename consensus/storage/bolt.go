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
	fileName        = "consensus.db"
	folderMode      = 0o700
	fileMode        = 0o600
	lockTimeout     = time.Second
	initialMmapSize = 64 << 20
	fillPercent     = 0.95
)

var (
	namedBucket   = []byte("named")
	entriesBucket = []byte("entries")
)

// boltEngine keeps the records in a bbolt file.
type boltEngine struct {
	path string
	db   *bbolt.DB
}

// openBolt opens the file in dir, and makes both if they are missing.
func openBolt(dir string) (e *boltEngine, err error) {
	path := filepath.Join(dir, fileName)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer damagedOnPanic(path, &err)
	if err := makeFolder(dir); err != nil {
		return nil, &OpenError{Path: dir, Cause: err}
	}
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout:         lockTimeout,
		NoFreelistSync:  true,
		FreelistType:    bbolt.FreelistMapType,
		InitialMmapSize: initialMmapSize,
	})
	if err != nil {
		return nil, openFailure(path, err)
	}
	e = &boltEngine{path: path, db: db}
	if err := e.prepare(dir); err != nil {
		_ = db.Close()
		return nil, err
	}
	return e, nil
}

func openFailure(path string, err error) error {
	damage := []error{bolterrors.ErrInvalid, bolterrors.ErrChecksum, bolterrors.ErrVersionMismatch}
	for _, d := range damage {
		if errors.Is(err, d) {
			return &DamagedError{Path: path, What: err.Error()}
		}
	}
	return &OpenError{Path: path, Cause: err}
}

// damagedOnPanic turns a panic over a damaged file into an error. A file that
// was cut short shows as a memory fault, since it is mapped.
func damagedOnPanic(path string, err *error) {
	if r := recover(); r != nil {
		*err = &DamagedError{Path: path, What: "its pages don't fit together"}
	}
}

func (e *boltEngine) prepare(dir string) error {
	if err := e.checkLength(); err != nil {
		return err
	}
	err := e.db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(namedBucket); err != nil {
			return err
		}
		_, err := tx.CreateBucketIfNotExists(entriesBucket)
		return err
	})
	if err == nil {
		err = syncFolder(dir)
	}
	if err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	return nil
}

// checkLength fails if the file is shorter than its pages.
func (e *boltEngine) checkLength() error {
	var want int64
	err := e.db.View(func(tx *bbolt.Tx) error {
		want = tx.Size()
		return nil
	})
	if err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	info, err := os.Stat(e.path)
	if err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	if info.Size() < want {
		return &DamagedError{Path: e.path, What: "the file was cut short"}
	}
	return nil
}

// Load implements Engine.
func (e *boltEngine) Load() (named map[string][]byte, entries []Record, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer damagedOnPanic(e.path, &err)
	named = make(map[string][]byte)
	err = e.db.View(func(tx *bbolt.Tx) error {
		err := tx.Bucket(namedBucket).ForEach(func(k, v []byte) error {
			named[string(k)] = bytes.Clone(v)
			return nil
		})
		if err != nil {
			return err
		}
		return tx.Bucket(entriesBucket).ForEach(func(k, v []byte) error {
			if len(k) != indexBytes {
				return &DamagedError{Path: e.path, What: "an entry's key has a wrong length"}
			}
			entries = append(entries, Record{binary.BigEndian.Uint64(k), bytes.Clone(v)})
			return nil
		})
	})
	return named, entries, err
}

// Write implements Engine.
func (e *boltEngine) Write(b Batch) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer damagedOnPanic(e.path, &err)
	return e.db.Update(func(tx *bbolt.Tx) error {
		named := tx.Bucket(namedBucket)
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
	if b.DropTo > 0 {
		end := indexKey(b.DropTo)
		for k, _ := c.First(); k != nil && bytes.Compare(k, end) <= 0; k, _ = c.Next() {
			keys = append(keys, k)
		}
	}
	if b.CutFrom > 0 {
		for k, _ := c.Seek(indexKey(b.CutFrom)); k != nil; k, _ = c.Next() {
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
func (e *boltEngine) Close() error { return e.db.Close() }

// makeFolder makes a folder that lasts.
func makeFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(dir))
}

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
