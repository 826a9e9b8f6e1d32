package rpc

// Keys of replicated records are one of these prefixes, then the record's name.
// The names of the deployment record and the routes record are empty.
const (
	KeyDeployment    = "deployment/"
	KeyQuietDC       = "quiet-dc/"
	KeyQuietTarget   = "quiet-target/"
	KeyRouter        = "router/"
	KeyAssignment    = "assignment/"
	KeyNonIdempotent = "non-idempotent/"
	KeyRoutes        = "routes/"
)
