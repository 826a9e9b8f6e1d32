// Package pb holds the generated messages and the service between the members
// of a consensus group, and their form on the disk.
package pb
