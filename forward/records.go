package forward

import (
	"bytes"
	"slices"
)

// recordBytes is the length of a record of a part.
const recordBytes = 16

// greatest returns the greatest records of all parts, the greatest first. Equal
// records all count, and what is shorter than a record counts for nothing.
func greatest(parts [][]byte, top int) []byte {
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
