// Package service is what a member of control does besides the log: it serves
// routers (records, leases, claims) and, while it leads, runs the controllers
// that decide on routers, placement, returns and the progress of intents.
package service
