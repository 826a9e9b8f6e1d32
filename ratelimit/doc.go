// Package ratelimit keeps the requests that all gateways together send to a target within
// the rate limit that the target names.
//
// Each gateway reports the limits that targets named to it, and how often it chose a
// target of a service that has limited ones. Control's leader adds the reports up and tells
// the sums to all. A gateway then chooses a limited target with a probability such that
// all choices together amount to the limit, however they are spread over the gateways.
// While the sums aren't known, each gateway uses an equal share of the limit. The
// decisions read no clock: all times are arguments.
package ratelimit
