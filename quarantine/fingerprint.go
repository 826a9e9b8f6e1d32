package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// fingerprintBytes is the size of a fingerprint, at which nobody can make up a request
// that has another one's.
const fingerprintBytes = 16

// Fingerprint identifies requests that are the same to a target: those of one caller with
// the same method, host, path, query and body.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint as in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintOf returns the fingerprint of a request. caller is the name of the caller's
// workspace, "" if it has none.
func FingerprintOf(caller, method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{caller, method, host, uri} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}
