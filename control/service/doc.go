// Package service implements the work of a control plane member beside the log:
// it serves routers (records, leases, claims) and, while the member is the
// leader, runs the controllers for routers, placement, returns, plan expiry and
// the progress of intents.
package service
