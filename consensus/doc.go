// Package consensus is an agreement on one log among a few members, as a pure
// step function: ticks, messages and proposals go in; messages, entries to
// persist and committed entries come out in a Ready. It does no I/O, starts no
// goroutine and reads no clock. The caller persists what a Ready asks for
// before it sends the Ready's messages.
package consensus
