// Package clienttest starts a gateway and a control member as processes on loopback and
// checks that clients that don't keep to limits neither end them nor use up their memory
// and file descriptors. It has tests only. They run one at a time.
package clienttest
