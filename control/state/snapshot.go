package state

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// snapshotImage is the encoded form of the complete state.
type snapshotImage struct {
	Index      uint64   `json:"index"`
	NowMS      int64    `json:"now"`
	Base       uint64   `json:"base"`
	BaseIntent string   `json:"winner"`
	Horizon    uint64   `json:"horizon"`
	Records    [][]byte `json:"records"`
	// Intents and Commands are in the order in which they were submitted.
	Intents  []*api.Intent     `json:"intents"`
	Commands []*commandOutcome `json:"commands"`
	Claims   []*claim          `json:"claims"`
	// Settled lists the settled keys that still have an outcome, oldest first.
	Settled []string `json:"settled"`
}

// BadSnapshotError reports a snapshot that can't be decoded.
type BadSnapshotError struct {
	Cause error
}

// Error describes the failure.
func (e *BadSnapshotError) Error() string { return "bad snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadSnapshotError) Unwrap() error { return e.Cause }

// Snapshot returns the encoded state as of the last applied index.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	img := snapshotImage{
		Index: s.index, NowMS: s.nowMS, Base: s.base, BaseIntent: s.baseIntent,
		Horizon: s.records.horizon, Intents: s.intents.ordered, Commands: s.outcomes.ordered,
	}
	for _, rec := range s.records.all() {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(rec)
		if err != nil {
			return nil, err
		}
		img.Records = append(img.Records, data)
	}
	for _, c := range s.claims.ordered {
		if !c.Released {
			img.Claims = append(img.Claims, c)
		}
	}
	for _, c := range s.claims.settled {
		if !c.Dropped {
			img.Settled = append(img.Settled, c.Key)
		}
	}
	return json.Marshal(&img)
}

// Restore replaces the state with a snapshot taken at index. It returns a
// *StaleIndexError for a snapshot older than the state, so that versions never
// decrease, and a *BadSnapshotError for one that can't be decoded.
func (s *State) Restore(index uint64, data []byte) error {
	var img snapshotImage
	if err := json.Unmarshal(data, &img); err != nil {
		return &BadSnapshotError{Cause: err}
	}
	next := New(s.limits)
	if err := next.load(&img); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.index || img.Index < s.index {
		return &StaleIndexError{Have: s.index, Got: min(index, img.Index)}
	}
	s.index = max(index, img.Index)
	s.nowMS, s.base, s.baseIntent = img.NowMS, img.Base, img.BaseIntent
	s.records, s.view = next.records, next.view
	s.intents, s.outcomes, s.claims = next.intents, next.outcomes, next.claims
	s.recordsIndex = s.records.newest()
	s.notifyRecordWatchers()
	s.publish()
	return nil
}

// load fills an empty state from a decoded snapshot.
func (s *State) load(img *snapshotImage) error {
	s.records.horizon = img.Horizon
	read := make([]*pb.Record, len(img.Records))
	for i, data := range img.Records {
		read[i] = &pb.Record{}
		if err := proto.Unmarshal(data, read[i]); err != nil {
			return &BadSnapshotError{Cause: err}
		}
		s.records.put(read[i])
	}
	view, err := records.Apply(s.view, read)
	if err != nil {
		return &BadSnapshotError{Cause: err}
	}
	s.view = view
	for _, in := range img.Intents {
		s.intents.add(in)
	}
	for _, r := range img.Commands {
		s.outcomes.add(r)
	}
	s.loadClaims(img)
	return nil
}

// loadClaims restores the claims and the order of the settled ones.
func (s *State) loadClaims(img *snapshotImage) {
	for _, c := range img.Claims {
		s.claims.byKey[c.Key] = c
		s.claims.ordered = append(s.claims.ordered, c)
		s.claims.outcomeBytes += len(c.Outcome)
	}
	for _, key := range img.Settled {
		s.claims.settled = append(s.claims.settled, s.claims.byKey[key])
	}
}
