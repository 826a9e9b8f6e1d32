// Package admin implements the administration API: HTTP with JSON for
// operators, served by every member of the control plane. A member that is not
// the leader forwards requests to the leader, or refuses them and names the
// leader.
package admin
