// Package capacity estimates how fast each target works and how many concurrent
// requests it handles without slowing down. Gateways observe response times, load
// levels and the targets' own figures; control's leader turns the sums of all
// gateways into estimates and tells those that differ from the usual to all. The
// decisions read no clock: all times are arguments.
package capacity
