// Package storage persists a member's log, hard state and snapshot in one data
// folder. Every record has a checksum. Every write is one synced transaction, so
// that after a crash it is there as a whole or not at all. After a failed write,
// the store rejects all further writes.
package storage
