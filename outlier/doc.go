// Package outlier finds the targets that answer worse than others, from the
// observations of all routers. A single router of many sends too few requests to a
// target to detect soon that it became slow or stopped answering; all routers
// together send enough.
//
// Routers report counts to a member of control, members forward them to their
// leader, and the outliers that the leader finds are sent back the same way. They
// only affect the order in which targets are chosen: without control, the shared
// outliers are cleared and each router uses its own observations only.
package outlier
