package forward

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record of a part.
const recordBytes = 16

// topRecords returns the topRecords records of all parts in descending byte order, at
// most top. Equal records all count, and a rest shorter than a record is ignored.
func topRecords(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, p := range parts {
		for ; len(p) >= recordBytes; p = p[recordBytes:] {
			records = append(records, p[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	return bytes.Join(records, nil)
}
