package state

import (
	"encoding/json"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// Command is one entry of the log. Exactly one of its pointers or lists is set.
type Command struct {
	// Number is the operator's command number, empty for commands of
	// controllers, which do no harm when they are applied twice.
	Number string `json:"n,omitempty"`
	// AtUnixMS is the proposer's time.
	AtUnixMS int64 `json:"at"`

	Submit   *Submit   `json:"submit,omitempty"`
	Confirm  *Confirm  `json:"confirm,omitempty"`
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	// Expire ends plans that are older than PlanLifetime.
	Expire bool `json:"expire,omitempty"`
	// Return brings back what is due.
	Return     bool        `json:"return,omitempty"`
	Progress   *Progress   `json:"progress,omitempty"`
	Router     *Router     `json:"router,omitempty"`
	RouterLost *RouterLost `json:"lost,omitempty"`
	Assign     []Assign    `json:"assign,omitempty"`
	Claims     []Claim     `json:"claims,omitempty"`
	Routes     *Routes     `json:"routes,omitempty"`
	QuietOrder *QuietOrder `json:"order,omitempty"`
}

// Routes is a whole route document that counts as confirmed. It takes effect
// if its version is above the one in force.
type Routes struct {
	Version uint64 `json:"v"`
	Body    []byte `json:"b"`
}

// QuietOrder takes a data centre out or brings it back, and counts as confirmed.
type QuietOrder struct {
	DataCentre topology.DataCentre `json:"dc"`
	Quiet      bool                `json:"quiet"`
}

// Submit states an intent.
type Submit struct {
	Spec api.IntentSpec `json:"spec"`
	// Loads is the load that routers reported, by group.
	Loads map[topology.GroupName]api.ReportedLoads `json:"loads,omitempty"`
}

// Confirm accepts a plan made on a base version.
type Confirm struct {
	Plan string `json:"plan"`
	Base uint64 `json:"base"`
}

// Withdraw withdraws an intent that isn't confirmed.
type Withdraw struct {
	Intent string `json:"intent"`
}

// Progress records how far a confirmed intent has come.
type Progress struct {
	Intent  string             `json:"intent"`
	Settled bool               `json:"settled"`
	InForce []topology.VMName  `json:"in_force,omitempty"`
	Pending []api.PendingLease `json:"pending,omitempty"`
}

// Router records a live router.
type Router struct {
	VM          topology.VMName     `json:"vm"`
	DataCentre  topology.DataCentre `json:"dc"`
	RPCAddr     string              `json:"rpc"`
	HTTPAddr    string              `json:"http"`
	Incarnation uint64              `json:"inc"`
	Leaving     bool                `json:"leaving,omitempty"`
}

// RouterLost records that a router's process is gone.
type RouterLost struct {
	VM          topology.VMName `json:"vm"`
	Incarnation uint64          `json:"inc"`
}

// Assign gives a target to a router.
type Assign struct {
	Target topology.TargetID `json:"t"`
	Owner  topology.VMName   `json:"o"`
}

// Claim claims, settles or releases the key of a non-idempotent request.
type Claim struct {
	Key         string `json:"k"`
	BodyHash    uint64 `json:"h"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"inc"`
	Token       uint64 `json:"a,omitempty"`
	Settle      bool   `json:"s,omitempty"`
	Release     bool   `json:"r,omitempty"`
	Outcome     []byte `json:"o,omitempty"`
}

// Result is what an operator's command came to.
type Result struct {
	Intent  *api.Intent
	Refusal *api.Refusal
	// FirstUse is false if the command number was known already.
	FirstUse bool
}

// MalformedEntryError says that a log entry can't be read. It changes nothing.
type MalformedEntryError struct {
	Index uint64
	Cause error
}

// Error describes the failure.
func (e *MalformedEntryError) Error() string { return "malformed log entry: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedEntryError) Unwrap() error { return e.Cause }

// Encode stamps c with the proposer's time and encodes it.
func (c *Command) Encode(now time.Time) []byte {
	c.AtUnixMS = now.UnixMilli()
	data, err := json.Marshal(c)
	if err != nil {
		// Commands hold only types that can be encoded.
		panic(err)
	}
	return data
}
