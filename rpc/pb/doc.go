// Package pb holds the generated messages and services of the system's own
// processes. CONTRIBUTING.md describes how to regenerate them.
package pb
