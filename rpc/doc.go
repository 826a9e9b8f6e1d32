// Package rpc connects the system's own processes: a drpc server and dialer over
// TCP, and batched calls that are multiplexed over one bidirectional stream,
// because a drpc connection carries only one stream at a time.
package rpc
