package response

import (
	"math/bits"
	"sync"
)

// largeBytes is the capacity from which the memory of buffers is used again. Without
// that, each large body leaves as much garbage as it has bytes while its buffer grows.
const largeBytes = 32 << 10

// freeBytes holds buffers by the binary logarithm of their capacity.
var freeBytes [bits.UintSize]sync.Pool // of *[]byte

// newBytes returns an empty slice of capacity size.
func newBytes(size int64) []byte {
	if size >= largeBytes && size&(size-1) == 0 {
		if b, ok := freeBytes[bits.TrailingZeros64(uint64(size))].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// reuseBytes allows newBytes to return the memory of b, which nobody uses any more.
func reuseBytes(b []byte) {
	if size := uint64(cap(b)); size >= largeBytes && size&(size-1) == 0 {
		freeBytes[bits.TrailingZeros64(size)].Put(&b)
	}
}
