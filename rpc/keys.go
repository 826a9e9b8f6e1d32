package rpc

// Prefixes of the keys of replicated records. A key is a prefix followed by the
// record's name, which is empty for the deployment and routes records.
const (
	KeyDeployment    = "deployment/"
	KeyQuietDC       = "quiet-dc/"
	KeyQuietTarget   = "quiet-target/"
	KeyRouter        = "router/"
	KeyAssignment    = "assignment/"
	KeyNonIdempotent = "non-idempotent/"
	KeyRoutes        = "routes/"
	// KeyQuotasGranted, KeyQuotasSettled and KeyQuotasRestored have no value: the records
	// are there or not.
	KeyQuotasGranted  = "quotas-granted/"
	KeyQuotasSettled  = "quotas-settled/"
	KeyQuotasRestored = "quotas-restored/"
	KeyRollout        = "rollout/"
)
