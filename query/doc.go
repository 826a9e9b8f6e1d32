// Package query holds the decisions of the query path: which index version a
// query uses, which owner each shard is asked at, when to hedge, to retry, to
// refuse and to stop waiting. Time and randomness are arguments; nothing here
// does input or output.
package query
