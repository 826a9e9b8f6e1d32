package settings

import "time"

const (
	sectionRollouts = "rollouts"

	// Defaults apply if the platform states no bounds of rollouts.
	defaultExposureShare = 0.1
	defaultExposureSlack = 50
	defaultRollbackTime  = 5 * time.Second
)

// Rollouts bounds what a bad version gets during its rollout.
type Rollouts struct {
	// ExposureShare is its share of all requests to its service from the order to the
	// deadline, and ExposureSlack the number of requests that it may get in addition.
	ExposureShare float64
	ExposureSlack float64
	// RollbackTime is the time after its 50th bad answer from which on it gets none.
	RollbackTime time.Duration
	// Stated means that the platform states the bounds, so that rollouts may be ordered.
	Stated bool
}

func readRollouts(d *document) Rollouts {
	s := d.sectionOrEmpty(sectionRollouts)
	const unstated = -1
	rollback := optional(s, "rollback_time", durationValue(0, maxPlatformTime), unstated)
	stated := rollback != unstated
	if !stated {
		rollback = defaultRollbackTime
	}
	return Rollouts{
		Stated: stated, RollbackTime: rollback,
		ExposureShare: optional(s, "exposure_share", amountValue, defaultExposureShare),
		ExposureSlack: optional(s, "exposure_slack", amountValue, defaultExposureSlack),
	}
}
