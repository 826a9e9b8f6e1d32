// Package quarantine keeps requests that crash the targets that run them away from further
// targets.
//
// A request is known by a fingerprint of what a target sees of it, since each repeat has an
// id of its own. One under which targets were lost and that no target answered is a
// suspect: it goes to one target at a time, as a canary. If that one is lost, too, the
// request is quarantined: gateways refuse it for some time. Any answer clears it, so that
// requests that ran beside one that crashes targets are served when they are retried.
// Gateways share what they see through control's leader. The decisions read no clock: all
// times are arguments.
package quarantine
