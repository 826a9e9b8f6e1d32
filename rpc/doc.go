// Package rpc carries messages between the system's own processes: a drpc
// server and dialer over TCP, and batched calls over one two-way stream, since
// a drpc connection carries one stream at a time.
package rpc
