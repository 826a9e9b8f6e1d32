// Package rollout decides how a service moves from its old version to a new one: which
// share of requests the new version gets at which time, and when the rollout is
// completed or rolled back. Its decisions are pure: they take times and counts as
// arguments.
package rollout
