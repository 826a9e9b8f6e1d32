package state

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// image is the whole state as it is encoded.
type image struct {
	Index   uint64   `json:"index"`
	NowMS   int64    `json:"now"`
	Base    uint64   `json:"base"`
	Winner  string   `json:"winner"`
	Horizon uint64   `json:"horizon"`
	Records [][]byte `json:"records"`
	// Intents and Commands are in the order in which they were stated.
	Intents  []*api.Intent `json:"intents"`
	Commands []*remembered `json:"commands"`
	Claims   []*claim      `json:"claims"`
	// Settled lists the settled keys with an outcome, oldest first.
	Settled []string `json:"settled"`
}

// BadSnapshotError says that a snapshot can't be read.
type BadSnapshotError struct {
	Cause error
}

// Error describes the failure.
func (e *BadSnapshotError) Error() string { return "bad snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadSnapshotError) Unwrap() error { return e.Cause }

// Snapshot returns the whole state as of the last applied index.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	img := image{
		Index: s.index, NowMS: s.nowMS, Base: s.base, Winner: s.winner,
		Horizon: s.records.horizon, Intents: s.intents.ordered, Commands: s.memory.ordered,
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

// Restore replaces the state by a snapshot taken at index. A snapshot that is
// older than the state is refused, so that no version goes back.
func (s *State) Restore(index uint64, data []byte) error {
	var img image
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
	s.nowMS, s.base, s.winner = img.NowMS, img.Base, img.Winner
	s.records, s.view = next.records, next.view
	s.intents, s.memory, s.claims = next.intents, next.memory, next.claims
	s.recordsIndex = s.records.newest()
	s.wakeFollowers()
	s.publish()
	return nil
}

func (s *State) load(img *image) error {
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
		s.memory.add(r)
	}
	s.loadClaims(img)
	return nil
}

func (s *State) loadClaims(img *image) {
	for _, c := range img.Claims {
		s.claims.byKey[c.Key] = c
		s.claims.ordered = append(s.claims.ordered, c)
		s.claims.bytes += len(c.Outcome)
	}
	for _, key := range img.Settled {
		s.claims.settled = append(s.claims.settled, s.claims.byKey[key])
	}
}
