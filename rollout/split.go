package rollout

import "time"

// OldPermission is how long after control's last confirmation a gateway may send
// requests to the old versions of a service with a running rollout. It is longer than a
// change of leader takes, so that one doesn't cause refusals.
const OldPermission = 10 * time.Second

// maxOwed is the number of requests that the new version may be owed, so that targets
// that were unusable for some time don't get a burst afterwards.
const maxOwed = 2

// Splitter chooses the requests of one gateway that go to the new version, so that their
// share is kept as exactly as possible. It is not safe for concurrent use.
type Splitter struct{ owed float64 }

// NewSplitter returns a splitter. start, from 0 to 1, should be random: gateways that
// see few requests would otherwise all send their first one to the same version.
func NewSplitter(start float64) *Splitter { return &Splitter{owed: start} }

// Peek reports whether the next request should go to the new version.
func (s *Splitter) Peek(share float64) bool { return s.owed+share >= 1 }

// Sent records where a request was sent.
func (s *Splitter) Sent(share float64, isNew bool) {
	s.owed = min(s.owed+share, maxOwed)
	if isNew {
		s.owed--
	}
}

// Next chooses the version of a request that is sent there.
func (s *Splitter) Next(share float64) bool {
	isNew := s.Peek(share)
	s.Sent(share, isNew)
	return isNew
}
