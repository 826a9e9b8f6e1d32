// Package admission decides which queries are served when the targets of some shards
// can't handle all of them. Since each part of a query is of use only with the others,
// a query is admitted at every scarce shard that it needs or at none.
//
// Gateways report the queries offered and what they observed of targets. The leader of
// control estimates the load and the capacity of each service (Leader) and tells all
// gateways which part of the queries of each class the scarce ones can take. A gateway
// decides on each query by a hash of its id (Gate), so that all gateways choose the same
// queries at all scarce shards. While nothing is scarce, every query is admitted in full.
//
// Load and capacity are in objectives: a query counts as its route's objective, and a
// target with n slots whose service time is 1/m of the objective has a capacity of n m
// objectives per objective, or n m seconds of objectives per second.
package admission
