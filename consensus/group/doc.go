// Package group runs one member of a consensus group. It drives a
// consensus.Node with a clock, a data folder, connections to the other members
// and a state machine, and implements control.Log.
package group
