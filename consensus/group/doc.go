// Package group runs one member of a consensus group: it drives the pure node
// with a clock, a data folder, connections to the other members and a state
// machine, and implements control.Log.
package group
