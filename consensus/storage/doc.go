// Package storage keeps a member's log, hard state and snapshot durably in one
// data folder. Every record has a checksum, and every write is one synced
// transaction: after a crash either all of it is there or nothing. After a
// failed write nothing more is written.
package storage
