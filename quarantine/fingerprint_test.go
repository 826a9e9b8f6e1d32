package quarantine

import "testing"

// Requests that differ in anything that a target sees must have different fingerprints,
// also if the same bytes are divided differently.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	base := FingerprintOf("w", "POST", "h", "/p?q=1", []byte("body"))
	if base != FingerprintOf("w", "POST", "h", "/p?q=1", []byte("body")) {
		t.Error("the same request has two fingerprints")
	}
	for name, f := range map[string]Fingerprint{
		"caller": FingerprintOf("", "POST", "h", "/p?q=1", []byte("body")),
		"method": FingerprintOf("w", "PUT", "h", "/p?q=1", []byte("body")),
		"host":   FingerprintOf("w", "POST", "h2", "/p?q=1", []byte("body")),
		"query":  FingerprintOf("w", "POST", "h", "/p?q=2", []byte("body")),
		"body":   FingerprintOf("w", "POST", "h", "/p?q=1", []byte("other")),
		"parts":  FingerprintOf("w", "POST", "h/", "p?q=1", []byte("body")),
	} {
		if f == base {
			t.Errorf("another %s, the same fingerprint", name)
		}
	}
}
