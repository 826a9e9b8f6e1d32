// Package state is the deterministic state machine above the replicated log:
// intents, deployments, quiet data centres and targets, routers, assignments,
// and the claims of request keys. Time enters only with the commands.
package state
