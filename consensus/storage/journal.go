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
	journalFileName = "consensus.journal"
	// frameHeaderBytes is the size of a frame's header, which is the length of the
	// content and its checksum.
	frameHeaderBytes = 4 + checksumBytes
	// maxFrameBytes limits the content of one frame.
	maxFrameBytes = 256 << 20
	// minRewriteBytes is the file size up to which a journal is not rewritten.
	minRewriteBytes = 4 << 20
	// rewriteRatio is the ratio of file size to live content above which a journal
	// is rewritten.
	rewriteRatio = 3
)

// journalEngine appends each batch to a file as one frame and syncs it. All live
// records are also kept in memory; once the file is much larger than they are, it
// is replaced by a new file that contains only them.
//
// Only the last frame can be torn, since each frame is synced before the next one
// is written. A torn last frame was never acknowledged and is discarded. Any other
// unreadable data is damage.
type journalEngine struct {
	dir, path string
	lock      *os.File
	// openFile opens a file of the folder for appending. Tests inject faults here.
	openFile  func(path string, flags int) (appendFile, error)
	file      appendFile
	fileBytes int64
	named     map[string][]byte
	// entries are sorted by index.
	entries []Record
	// liveBytes is the total size of the live records.
	liveBytes int64
	// unwritten is the frame whose write failed, nil if none.
	unwritten []byte
}

// OpenJournal opens a data folder that is stored as a journal file, which needs
// one sync per write. A new folder gets a random identity. Errors as for Open.
func OpenJournal(dir string) (*Store, State, error) { return openJournalStore(dir, openAppend) }

func openJournalStore(dir string, openFile func(string, int) (appendFile, error)) (*Store, State, error) {
	e, err := openJournal(dir, openFile)
	if err != nil {
		return nil, State{}, err
	}
	return OpenWithEngine(dir, e)
}

func openJournal(dir string, openFile func(string, int) (appendFile, error)) (*journalEngine, error) {
	e := &journalEngine{dir: dir, path: filepath.Join(dir, journalFileName), openFile: openFile, named: make(map[string][]byte)}
	if err := ensureFolder(dir); err != nil {
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

// open reads the journal and opens it for appending. If its last frame is torn,
// it rewrites the journal without it.
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
		if err = e.rewrite(); !isNoSpace(err) {
			return err
		}
	}
	e.file, err = e.openFile(e.path, 0)
	if err != nil {
		return err
	}
	e.fileBytes = int64(whole)
	if whole < len(data) {
		// There is no space for a new file.
		return e.cutTail()
	}
	return nil
}

// cutTail removes what follows the intact frames of the file.
func (e *journalEngine) cutTail() error {
	if err := e.file.Truncate(e.fileBytes); err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	if err := e.file.Sync(); err != nil {
		return &OpenError{Path: e.path, Cause: err}
	}
	return nil
}

// replay applies the frames in data and returns the total length of the intact
// ones.
func (e *journalEngine) replay(data []byte) (int, error) {
	at := 0
	for at < len(data) {
		content, next := nextFrame(data, at)
		if content == nil {
			if hasFrameAfter(data, at+1) {
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

// nextFrame returns the content of the frame at offset at and the offset of the
// next one. The content is nil if the frame is torn or damaged.
func nextFrame(data []byte, at int) ([]byte, int) {
	if len(data)-at < frameHeaderBytes {
		return nil, at
	}
	n := int(binary.BigEndian.Uint32(data[at:]))
	if n == 0 || n > maxFrameBytes || len(data)-at-frameHeaderBytes < n {
		return nil, at
	}
	sum := binary.BigEndian.Uint64(data[at+4:])
	content := data[at+frameHeaderBytes : at+frameHeaderBytes+n]
	if sum != checksum(nil, content) {
		return nil, at
	}
	return content, at + frameHeaderBytes + n
}

// hasFrameAfter reports whether an intact frame starts at any offset from at on.
func hasFrameAfter(data []byte, at int) bool {
	for ; at+frameHeaderBytes < len(data); at++ {
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
	e.unwritten = encodeFrame(b)
	return e.flush()
}

// Retry implements RetryEngine.
func (e *journalEngine) Retry() error {
	if e.file != nil {
		// A part of the frame may be in the file, and must not stay before another one.
		if err := e.file.Truncate(e.fileBytes); err != nil {
			return err
		}
	}
	return e.flush()
}

// flush writes the last batch, as a frame or with all live records. If there is no
// space for a new file with them, it appends the frame.
func (e *journalEngine) flush() error {
	if e.file == nil || e.fileBytes > max(minRewriteBytes, rewriteRatio*e.liveBytes) {
		err := e.rewrite()
		if err == nil {
			e.unwritten = nil
		}
		if e.file == nil || !isNoSpace(err) {
			return err
		}
	}
	if _, err := e.file.Write(e.unwritten); err != nil {
		return err
	}
	if err := e.file.SyncData(); err != nil {
		return err
	}
	e.fileBytes += int64(len(e.unwritten))
	e.unwritten = nil
	return nil
}

// rewrite writes all live records to a new file and atomically replaces the old
// one with it.
func (e *journalEngine) rewrite() error {
	if len(e.named) == 0 {
		return &OpenError{Path: e.path, Cause: &DamagedError{Path: e.path, Reason: "the journal holds no identity"}}
	}
	next := e.path + tempSuffix
	f, err := e.openFile(next, os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
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
	if err != nil {
		_ = f.Close() // It may already be closed.
		if isNoSpace(err) {
			_ = os.Remove(next) // It takes up space, and the next rewrite replaces it.
		}
		return &OpenError{Path: next, Cause: err}
	}
	return e.adopt(int64(len(frame)))
}

// adopt switches to the new file that replaced the old one by a rename. After an error
// it isn't known which of them is found at the next start, so the error is never one
// that says that there is no space, after which the old one would be used on.
func (e *journalEngine) adopt(size int64) error {
	if err := syncFolder(e.dir); err != nil {
		return &ReplaceError{Path: e.path, Cause: err}
	}
	if e.file != nil {
		_ = e.file.Close() // The file has been replaced.
	}
	file, err := e.openFile(e.path, 0)
	if err != nil {
		return &ReplaceError{Path: e.path, Cause: err}
	}
	e.file, e.fileBytes = file, size
	return nil
}

// apply applies a batch to the records in memory.
func (e *journalEngine) apply(b Batch) {
	for k, v := range b.Named {
		e.liveBytes += int64(len(v) - len(e.named[k]))
		e.named[k] = v
	}
	if b.TruncateFrom > 0 {
		e.keepEntries(0, e.position(b.TruncateFrom))
	}
	if b.DropThrough > 0 {
		e.keepEntries(e.position(b.DropThrough+1), len(e.entries))
	}
	for _, r := range b.Entries {
		e.entries = append(e.entries, r)
		e.liveBytes += int64(len(r.Data))
	}
}

// position returns the position in entries of the first entry with at least the
// given index.
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

// keepEntries removes the entries at positions outside of [from, to).
func (e *journalEngine) keepEntries(from, to int) {
	for i, r := range e.entries {
		if i < from || i >= to {
			e.liveBytes -= int64(len(r.Data))
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

// encodeFrame returns a batch as a frame: the length of the content (4 bytes) and
// its checksum (8 bytes), both big-endian, and the content.
func encodeFrame(b Batch) []byte {
	content := encodeBatch(b)
	out := make([]byte, frameHeaderBytes, frameHeaderBytes+len(content))
	binary.BigEndian.PutUint32(out, uint32(len(content))) //nolint:gosec // Limited by the maximum size of proposals.
	binary.BigEndian.PutUint64(out[4:], checksum(nil, content))
	return append(out, content...)
}

// encodeBatch returns the content of a frame. Numbers are uvarints, byte strings
// are prefixed with their length.
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

// batchReader decodes a batch. err is set once the data is too short.
type batchReader struct {
	remaining []byte
	err       error
}

func (r *batchReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.remaining)
	if size <= 0 {
		r.err = io.ErrUnexpectedEOF
		return 0
	}
	r.remaining = r.remaining[size:]
	return n
}

func (r *batchReader) bytes() []byte {
	n := r.uvarint()
	if r.err != nil || n > uint64(len(r.remaining)) {
		r.err = io.ErrUnexpectedEOF
		return nil
	}
	b := slices.Clone(r.remaining[:n])
	r.remaining = r.remaining[n:]
	return b
}

func decodeBatch(content []byte) (Batch, bool) {
	r := &batchReader{remaining: content}
	b := Batch{TruncateFrom: r.uvarint(), DropThrough: r.uvarint(), Named: make(map[string][]byte)}
	for n := r.uvarint(); n > 0 && r.err == nil; n-- {
		k := string(r.bytes())
		b.Named[k] = r.bytes()
	}
	for n := r.uvarint(); n > 0 && r.err == nil; n-- {
		b.Entries = append(b.Entries, Record{Index: r.uvarint(), Data: r.bytes()})
	}
	return b, r.err == nil && len(r.remaining) == 0
}
