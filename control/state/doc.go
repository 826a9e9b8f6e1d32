// Package state implements the deterministic state machine above the replicated
// log. It holds intents, deployments, quiet data centres and targets, routers,
// the assignment of targets to routers, and the claims of request keys.
//
// A quiet data centre or target receives no new work. The state machine never
// reads the clock: time advances only with the timestamps in commands.
package state
