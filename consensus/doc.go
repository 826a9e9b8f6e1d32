// Package consensus implements a Raft-like replicated log among a few members
// as a pure step function. The inputs are ticks, messages and proposals; the
// outputs are messages, entries to persist and committed entries, collected in
// a Ready. The package does no I/O, starts no goroutines and reads no clock.
// The caller must persist a Ready's state before it sends the Ready's messages.
//
// Differences from basic Raft: elections are preceded by a pre-vote round, the
// leader steps down without a quorum, membership changes one member at a time
// and takes effect when appended, and each member is identified by its ID and
// by the identity of its data folder, so that a member that lost its disk no
// longer counts towards any quorum.
package consensus
