// Package pb contains the generated protobuf messages and the RPC service of the
// members of a consensus group. The messages also define the storage format.
package pb
