// Package query makes the decisions of the query path: which index version a
// query uses, which owner is sent each shard's sub-request, and when to hedge,
// to retry, to refuse and to stop waiting. Time and randomness are arguments;
// the package does no I/O.
package query
