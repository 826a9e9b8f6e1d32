// Package pb holds the generated messages and services between the system's
// own processes. CONTRIBUTING.md says how to generate them again.
package pb
