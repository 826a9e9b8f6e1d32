// Package admin is the administration API: HTTP and JSON for operators, served
// by every member of control. A member that doesn't lead passes requests on to
// the leader, or refuses and says where to go.
package admin
