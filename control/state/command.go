package state

import (
	"encoding/json"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// Command is one entry of the log, encoded as JSON. Exactly one of its
// operations is set: a pointer, a list, Expire or Return.
type Command struct {
	// Number is the operator's command number, which makes a command
	// idempotent. It is empty for commands of controllers, which are
	// idempotent.
	Number string `json:"n,omitempty"`
	// AtUnixMS is the proposer's time in Unix milliseconds.
	AtUnixMS int64 `json:"at"`

	Submit   *Submit   `json:"submit,omitempty"`
	Confirm  *Confirm  `json:"confirm,omitempty"`
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	// Expire ends unconfirmed plans that are older than Limits.PlanLifetime.
	Expire bool `json:"expire,omitempty"`
	// Return ends the quiet records whose return time has passed.
	Return     bool        `json:"return,omitempty"`
	Progress   *Progress   `json:"progress,omitempty"`
	Router     *Router     `json:"router,omitempty"`
	RouterLost *RouterLost `json:"lost,omitempty"`
	Assign     []Assign    `json:"assign,omitempty"`
	Claims     []Claim     `json:"claims,omitempty"`
	Routes     *Routes     `json:"routes,omitempty"`
	QuietOrder *QuietOrder `json:"order,omitempty"`
	// QuotasSettled sets board.View.QuotasSettled, and QuotasGranted with it.
	QuotasSettled *bool `json:"quotas_settled,omitempty"`
	// QuotasRestored records that a settled holder of quotas is restored.
	QuotasRestored bool `json:"quotas_restored,omitempty"`

	RolloutOrder *RolloutOrder `json:"rollout,omitempty"`
	RolloutStep  *RolloutStep  `json:"rollout_step,omitempty"`
}

// Routes sets a complete route document without confirmation. It takes effect
// only if its version is higher than the current one.
type Routes struct {
	Version uint64 `json:"v"`
	// Deflated is the document as rpc.PackRoutes compresses it.
	Deflated []byte `json:"z,omitempty"`
	// Body is the document as it is. Logs of earlier versions hold it in place of
	// Deflated.
	Body []byte `json:"b,omitempty"`
}

// NewRoutes returns the command for a route document. The error is an
// *rpc.BadRoutesError.
func NewRoutes(version uint64, document []byte) (*Command, error) {
	packed, err := rpc.PackRoutes(version, document)
	if err != nil {
		return nil, err
	}
	return &Command{Routes: &Routes{Version: version, Deflated: packed.GetDeflated()}}, nil
}

// record returns the document as it is stored and sent to routers.
func (r *Routes) record() (*pb.RoutesRecord, error) {
	if r.Deflated == nil {
		return rpc.PackRoutes(r.Version, r.Body)
	}
	return &pb.RoutesRecord{Version: r.Version, Deflated: r.Deflated}, nil
}

// QuietOrder takes a data centre out of service or brings it back, without a
// plan or confirmation.
type QuietOrder struct {
	DataCentre topology.DataCentre `json:"dc"`
	Quiet      bool                `json:"quiet"`
}

// Submit submits an intent, which is planned when the entry is applied.
type Submit struct {
	Spec api.IntentSpec `json:"spec"`
	// Loads is the load reported by routers, by group.
	Loads map[topology.GroupName]api.ReportedLoads `json:"loads,omitempty"`
}

// Confirm accepts a plan that was made on base version Base.
type Confirm struct {
	Plan string `json:"plan"`
	Base uint64 `json:"base"`
}

// Withdraw ends an intent that has not been confirmed.
type Withdraw struct {
	Intent string `json:"intent"`
}

// Progress records at which routers a confirmed intent is in force.
type Progress struct {
	Intent  string             `json:"intent"`
	Settled bool               `json:"settled"`
	InForce []topology.VMName  `json:"in_force,omitempty"`
	Pending []api.PendingLease `json:"pending,omitempty"`
}

// Router records a live router process.
type Router struct {
	VM          topology.VMName     `json:"vm"`
	DataCentre  topology.DataCentre `json:"dc"`
	RPCAddr     string              `json:"rpc"`
	HTTPAddr    string              `json:"http"`
	Incarnation uint64              `json:"inc"`
	Leaving     bool                `json:"leaving,omitempty"`
}

// RouterLost removes a router whose process is gone.
type RouterLost struct {
	VM          topology.VMName `json:"vm"`
	Incarnation uint64          `json:"inc"`
}

// Assign makes a router the owner of a target.
type Assign struct {
	Target topology.TargetID `json:"t"`
	Owner  topology.VMName   `json:"o"`
}

// Claim claims the key of a non-idempotent request, settles it with the
// request's outcome, or releases it. With neither Settle nor Release set it
// claims the key.
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

// Result is the outcome of an operator command. Refusal is nil if the command
// was accepted.
type Result struct {
	Intent  *api.Intent
	Refusal *api.Refusal
	// FirstUse is false if the command number had been used before and the
	// recorded outcome was returned.
	FirstUse bool
}

// MalformedEntryError reports a log entry that can't be decoded. Such an entry
// changes nothing.
type MalformedEntryError struct {
	Index uint64
	Cause error
}

// Error describes the failure.
func (e *MalformedEntryError) Error() string { return "malformed log entry: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedEntryError) Unwrap() error { return e.Cause }

// Encode sets the timestamp of c to now and returns its encoding.
func (c *Command) Encode(now time.Time) []byte {
	c.AtUnixMS = now.UnixMilli()
	data, err := json.Marshal(c)
	if err != nil {
		// Commands hold only types that can be encoded.
		panic(err)
	}
	return data
}
