package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/codec"
	"github.com/peridotmux/peridotmux/consensus/pb"
)

const (
	checksumBytes = 8
	indexBytes    = 8
)

// addChecksum returns a record: the checksum of key and payload, and the payload.
func addChecksum(key, payload []byte) []byte {
	out := make([]byte, checksumBytes, checksumBytes+len(payload))
	binary.BigEndian.PutUint64(out, checksum(key, payload))
	return append(out, payload...)
}

// stripChecksum returns the payload of a record, false if the checksum does not
// match.
func stripChecksum(key, record []byte) ([]byte, bool) {
	if len(record) < checksumBytes {
		return nil, false
	}
	payload := record[checksumBytes:]
	return payload, binary.BigEndian.Uint64(record) == checksum(key, payload)
}

func checksum(key, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(payload)
	return d.Sum64()
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, indexBytes), index)
}

func marshalRecord(key []byte, m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return addChecksum(key, payload), nil
}

func unmarshalRecord(key, record []byte, m proto.Message) bool {
	payload, ok := stripChecksum(key, record)
	return ok && proto.Unmarshal(payload, m) == nil
}

// encodeEntry returns an entry as a record.
func encodeEntry(e consensus.Entry) ([]byte, error) {
	return marshalRecord(indexKey(e.Index), codec.EntryToPB(e))
}

// decodeEntry returns the entry in a record stored under index, false if the
// record is damaged.
func decodeEntry(index uint64, record []byte) (consensus.Entry, bool) {
	m := &pb.Entry{}
	if !unmarshalRecord(indexKey(index), record, m) || m.GetIndex() != index {
		return consensus.Entry{}, false
	}
	return codec.EntryFromPB(m)
}
