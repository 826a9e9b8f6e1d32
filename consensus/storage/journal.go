package storage

import (
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

const (
	journalName = "consensus.journal"
	// frameHead is the length and the checksum before each frame's content.
	frameHead = 4 + checksumBytes
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 256 << 20
	// compactBytes is the size under which a journal isn't written anew.
	compactBytes = 4 << 20
	// compactRatio is how many times its content a journal may take before it is
	// written anew.
	compactRatio = 3
)

// journalEngine appends each batch as one frame to a file and syncs it. The
// content is kept in memory too; once the file is much larger than that, it is
// written anew in place of the old one.
//
// Only the last frame can be torn, since each is synced before the next one is
// written. A torn last frame was never acknowledged and is dropped; anything
// else that can't be read is damage.
type journalEngine struct {
	dir, path string
	lock      *os.File
	file      *os.File
	size      int64
	named     map[string][]byte
	// entries are ordered by index.
	entries []Record
	// live is the size of the content.
	live int64
}

// OpenJournal opens the data folder with a journal. A new folder gets a random
// identity.
func OpenJournal(dir string) (*Store, State, error) {
	e, err := openJournal(dir)
	if err != nil {
		return nil, State{}, err
	}
	return OpenWithEngine(dir, e)
}

func openJournal(dir string) (*journalEngine, error) {
	e := &journalEngine{dir: dir, path: filepath.Join(dir, journalName), named: make(map[string][]byte)}
	if err := makeFolder(dir); err != nil {
		return nil, &OpenError{Path: dir, Cause: err}
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, &OpenError{Path: dir, Cause: err}
	}
	e.lock = lock
	if err := e.open(); err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

// open reads the journal and opens it for appending. A torn tail is removed by
// writing the journal anew.
func (e *journalEngine) open() error {
	data, err := os.ReadFile(e.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	whole, err := e.replay(data)
	if err != nil {
		return err
	}
	if whole < len(data) {
		return e.rebuild()
	}
	e.file, err = os.OpenFile(e.path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	e.size = int64(len(data))
	return nil
}

// replay applies the frames in data and returns the length of the whole ones.
func (e *journalEngine) replay(data []byte) (int, error) {
	at := 0
	for at < len(data) {
		content, next := nextFrame(data, at)
		if content == nil {
			if frameAfter(data, at+1) {
				return at, &DamagedError{Path: e.path, Reason: "a frame before the last one is unreadable"}
			}
			break
		}
		b, ok := decodeBatch(content)
		if !ok {
			return at, &DamagedError{Path: e.path, Reason: "a frame's content is unreadable"}
		}
		e.apply(b)
		at = next
	}
	if at == 0 && len(data) > 0 {
		return at, &DamagedError{Path: e.path, Reason: "the first frame is unreadable"}
	}
	return at, nil
}

// nextFrame returns the content of the frame at a position and where the next one
// begins, nil if it isn't whole.
func nextFrame(data []byte, at int) ([]byte, int) {
	if len(data)-at < frameHead {
		return nil, at
	}
	n := int(binary.BigEndian.Uint32(data[at:]))
	if n == 0 || n > maxFrameBytes || len(data)-at-frameHead < n {
		return nil, at
	}
	sum := binary.BigEndian.Uint64(data[at+4:])
	content := data[at+frameHead : at+frameHead+n]
	if sum != checksum(nil, content) {
		return nil, at
	}
	return content, at + frameHead + n
}

// frameAfter reports whether a whole frame begins at some position from at on.
func frameAfter(data []byte, at int) bool {
	for ; at+frameHead < len(data); at++ {
		if content, _ := nextFrame(data, at); content != nil {
			return true
		}
	}
	return false
}

// Load implements Engine.
func (e *journalEngine) Load() (map[string][]byte, []Record, error) {
	return maps.Clone(e.named), slices.Clone(e.entries), nil
}

// Write implements Engine.
func (e *journalEngine) Write(b Batch) error {
	e.apply(b)
	if e.file == nil || e.size > max(compactBytes, compactRatio*e.live) {
		return e.rebuild()
	}
	frame := encodeFrame(b)
	if _, err := e.file.Write(frame); err != nil {
		return err
	}
	if err := syncData(e.file); err != nil {
		return err
	}
	e.size += int64(len(frame))
	return nil
}

// rebuild writes all content into a new file that takes the old one's place.
func (e *journalEngine) rebuild() error {
	if len(e.named) == 0 {
		return &OpenError{Path: e.path, Cause: &DamagedError{Path: e.path, Reason: "the journal holds no identity"}}
	}
	next := e.path + newSuffix
	f, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return &OpenError{Path: next, Cause: err}
	}
	frame := encodeFrame(Batch{Named: e.named, Entries: e.entries})
	_, err = f.Write(frame)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = f.Close()
	}
	if err == nil {
		err = os.Rename(next, e.path)
	}
	if err == nil {
		err = syncFolder(e.dir)
	}
	if err != nil {
		_ = f.Close() // It may be closed already.
		return &OpenError{Path: next, Cause: err}
	}
	if e.file != nil {
		_ = e.file.Close() // The file has been replaced.
	}
	e.file, err = os.OpenFile(e.path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	e.size = int64(len(frame))
	return nil
}

// apply brings the content in memory up to date.
func (e *journalEngine) apply(b Batch) {
	for k, v := range b.Named {
		e.live += int64(len(v) - len(e.named[k]))
		e.named[k] = v
	}
	if b.TruncateFrom > 0 {
		e.keep(0, e.position(b.TruncateFrom))
	}
	if b.DropThrough > 0 {
		e.keep(e.position(b.DropThrough+1), len(e.entries))
	}
	for _, r := range b.Entries {
		e.entries = append(e.entries, r)
		e.live += int64(len(r.Data))
	}
}

// position returns where the first entry of at least an index is.
func (e *journalEngine) position(index uint64) int {
	at, _ := slices.BinarySearchFunc(e.entries, index, func(r Record, i uint64) int {
		switch {
		case r.Index < i:
			return -1
		case r.Index > i:
			return 1
		}
		return 0
	})
	return at
}

// keep drops the entries outside of [from, to).
func (e *journalEngine) keep(from, to int) {
	for i, r := range e.entries {
		if i < from || i >= to {
			e.live -= int64(len(r.Data))
		}
	}
	e.entries = slices.Clone(e.entries[from:to])
}

// Close implements Engine.
func (e *journalEngine) Close() error {
	var err error
	if e.file != nil {
		err = e.file.Close()
	}
	if lockErr := e.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

func encodeFrame(b Batch) []byte {
	content := encodeBatch(b)
	out := make([]byte, frameHead, frameHead+len(content))
	binary.BigEndian.PutUint32(out, uint32(len(content))) //nolint:gosec // Bounded by what a member may propose.
	binary.BigEndian.PutUint64(out[4:], checksum(nil, content))
	return append(out, content...)
}

func encodeBatch(b Batch) []byte {
	out := binary.AppendUvarint(nil, b.TruncateFrom)
	out = binary.AppendUvarint(out, b.DropThrough)
	out = binary.AppendUvarint(out, uint64(len(b.Named)))
	for _, k := range slices.Sorted(maps.Keys(b.Named)) {
		out = appendBytes(out, []byte(k))
		out = appendBytes(out, b.Named[k])
	}
	out = binary.AppendUvarint(out, uint64(len(b.Entries)))
	for _, r := range b.Entries {
		out = binary.AppendUvarint(out, r.Index)
		out = appendBytes(out, r.Data)
	}
	return out
}

func appendBytes(out, b []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(b)))
	return append(out, b...)
}

// batchReader reads an encoded batch; err is set once something is missing.
type batchReader struct {
	rest []byte
	err  error
}

func (r *batchReader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.err = io.ErrUnexpectedEOF
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *batchReader) bytes() []byte {
	n := r.number()
	if r.err != nil || n > uint64(len(r.rest)) {
		r.err = io.ErrUnexpectedEOF
		return nil
	}
	b := slices.Clone(r.rest[:n])
	r.rest = r.rest[n:]
	return b
}

func decodeBatch(content []byte) (Batch, bool) {
	r := &batchReader{rest: content}
	b := Batch{TruncateFrom: r.number(), DropThrough: r.number(), Named: make(map[string][]byte)}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		k := string(r.bytes())
		b.Named[k] = r.bytes()
	}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		b.Entries = append(b.Entries, Record{Index: r.number(), Data: r.bytes()})
	}
	return b, r.err == nil && len(r.rest) == 0
}
