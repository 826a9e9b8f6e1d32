package quota

import (
	"math"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

const (
	// demandTime is the time in seconds over which a gateway averages the requests of a
	// workspace.
	demandTime = 6.0
	// stockTime is for how many seconds of requests a gateway wants credits in stock:
	// as long as they last.
	stockTime = 3.0
	// minStock is the stock below which none is wanted: 37 s after the last request of
	// many. A workspace that sends little through many gateways has credits to spare,
	// and each of them is of use only if it is still there at the next request.
	minStock = 0.001
)

// Account is a gateway's account of its credits. It is pure: its user passes the time.
// It is not safe for concurrent use.
type Account struct {
	gateway  string
	accounts map[workspace.Name]*holding
	open     bool
	// validUntil is until when the session's credits may be spent, and leftoverUntil
	// that of credits of earlier sessions.
	validUntil, leftoverUntil Instant
	seq                       uint64
	// sent holds when each unanswered report was sent. The first has number answered+1.
	sent     []Instant
	answered uint64
	// roundTrip is the greatest time to an answer lately.
	roundTrip Instant
}

// holding is a gateway's account of one workspace.
type holding struct {
	// held, spent and returned are numbers of credits of the current session. The last
	// two were not reported yet.
	held, spent, returned int
	// leftover is the number of credits of earlier sessions. How they are spent is not
	// reported.
	leftover int
	// told is the number of wanted credits that the holder was told last.
	told    int
	waiters []*Waiter
	standbyStock
	// demand is the average rate of requests at demandAt, per second.
	demand   float64
	demandAt Instant
	// shortUntil is until when there is no point in asking for credits, and shortTime
	// the time over which retries are spread.
	shortUntil, shortTime Instant
	// dryUntil is until when there is no point in asking the standbys.
	dryUntil Instant
}

// Waiter is a request that waits for a credit.
type Waiter struct {
	// Done is closed when the request got a credit, or is known to get none.
	Done chan struct{}
	// Admitted is whether it got one, and Short the time over which to spread the
	// retries otherwise. They are valid after Done.
	Admitted bool
	Short    Instant
}

// NewAccount returns a gateway's account without credits.
func NewAccount(gateway string) *Account {
	return &Account{gateway: gateway, accounts: make(map[workspace.Name]*holding)}
}

func (a *Account) holding(name workspace.Name) *holding {
	w := a.accounts[name]
	if w == nil {
		w = &holding{}
		a.accounts[name] = w
	}
	return w
}

// Outcome is the result of Take.
type Outcome struct {
	Admitted bool
	// Refused means that the holder had no credits a moment ago. The retries are to be
	// spread over Short after the time After.
	Refused      bool
	After, Short Instant
	// Low means that the gateway should report soon, to fill up its stock.
	Low bool
}

// Take spends a credit for a request. If the outcome is neither admitted nor refused,
// the gateway has no credit and may ask for one.
func (a *Account) Take(name workspace.Name, now Instant) Outcome {
	w := a.holding(name)
	w.arrive(now)
	leftover, held := a.usable(w, now)
	switch {
	case leftover > 0:
		w.leftover--
		return Outcome{Admitted: true}
	case held > 0:
		w.held--
		w.spent++
		return Outcome{Admitted: true, Low: 2*w.held < w.wanted(now)}
	case now < w.shortUntil:
		return Outcome{Refused: true, After: w.shortUntil - now, Short: w.shortTime}
	}
	return Outcome{}
}

// usable returns the credits that may be spent at now.
func (a *Account) usable(w *holding, now Instant) (leftover, held int) {
	if now < a.leftoverUntil {
		leftover = w.leftover
	}
	if now < a.validUntil {
		held = w.held
	}
	return leftover, held
}

// Wait adds a request that waits for a credit.
func (a *Account) Wait(name workspace.Name) *Waiter {
	w := a.holding(name)
	x := &Waiter{Done: make(chan struct{})}
	w.waiters = append(w.waiters, x)
	return x
}

// Waiting returns the number of a workspace's requests that wait.
func (a *Account) Waiting(name workspace.Name) int { return len(a.holding(name).waiters) }

// Unanswered returns the number of the session's reports without an answer.
func (a *Account) Unanswered() int { return len(a.sent) }

// Withdraw removes a waiting request. It reports whether the request still waited.
func (a *Account) Withdraw(name workspace.Name, x *Waiter) bool {
	w := a.holding(name)
	for i, other := range w.waiters {
		if other == x {
			w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Opened records that a session begins. It has a holder once it has an answer.
func (a *Account) Opened(now Instant) {
	a.Lost(now)
	a.open, a.seq, a.answered, a.sent = true, 0, 0, nil
}

// Lost records that the session ended. Its credits can be spent until they expire.
func (a *Account) Lost(now Instant) {
	if !a.open {
		return
	}
	a.open = false
	expired, left, moved := now >= a.leftoverUntil, false, false
	for _, w := range a.accounts {
		if expired {
			w.leftover = 0
		}
		left, moved = left || w.leftover > 0, moved || w.held > 0
		w.leftover += w.held
		w.held, w.spent, w.returned, w.told, w.lent = 0, 0, 0, 0, nil
	}
	switch {
	case moved && left:
		// They are kept as one, so that those that expire later expire early.
		a.leftoverUntil = min(a.leftoverUntil, a.validUntil)
	case moved:
		a.leftoverUntil = a.validUntil
	}
	a.validUntil = 0
}

// Report returns the next report of the session, sent at now.
func (a *Account) Report(now Instant) *pb.QuotaReport {
	a.seq++
	a.sent = append(a.sent, now)
	q := &pb.QuotaReport{Seq: a.seq}
	if a.seq == 1 {
		q.Gateway = a.gateway
	}
	for name, w := range a.accounts {
		if u := w.report(now); u != nil {
			u.Workspace = string(name)
			q.Uses = append(q.Uses, u)
		}
		if w.idle(now) && now >= a.leftoverUntil {
			delete(a.accounts, name)
		}
	}
	return q
}

// Apply applies the holder's answer to a report.
func (a *Account) Apply(r *pb.QuotaReply, now Instant) {
	if !a.open || r.GetSeq() <= a.answered || r.GetSeq() > a.seq {
		return
	}
	n := int(r.GetSeq() - a.answered) //nolint:gosec // At most the number of unanswered reports.
	a.validUntil = max(a.validUntil, a.sent[n-1]+CreditLife)
	a.roundTrip = max(now-a.sent[n-1], a.roundTrip-a.roundTrip/roundTripDecay)
	a.sent, a.answered = a.sent[n:], r.GetSeq()
	for _, g := range r.GetGrants() {
		w := a.holding(workspace.Name(g.GetWorkspace()))
		w.held += int(g.GetCredits())
		excess := min(int(g.GetExcess()), w.held)
		w.held -= excess
		w.returned += excess
		if now < a.validUntil {
			w.serveWaiters()
		}
		if ms := g.GetRetryAfterMs(); ms > 0 {
			w.refuseWaiters(Instant(ms)*1e6, now)
		}
	}
}

// arrive counts a request.
func (w *holding) arrive(now Instant) {
	w.demand = w.demandNow(now) + 1/demandTime
	w.demandAt = now
}

func (w *holding) demandNow(now Instant) float64 {
	return w.demand * math.Exp(-max(0, now-w.demandAt).Seconds()/demandTime)
}

// wanted returns the number of credits to hold: the usual number of requests during
// stockTime and, since they come at random, its square root.
func (w *holding) wanted(now Instant) int {
	if w.target > 0 {
		return w.target
	}
	stock := w.demandNow(now) * stockTime
	if stock < minStock {
		return 0
	}
	return int(math.Ceil(stock + math.Sqrt(stock)))
}

// report returns what the holder must know of the workspace, nil if there is nothing.
// Credits far above what is wanted are returned.
func (w *holding) report(now Instant) *pb.QuotaUse {
	w.countLent(now)
	wanted := w.wanted(now)
	if surplus := w.held - wanted; surplus > wanted/2 {
		w.held -= surplus
		w.returned += surplus
	}
	asks := len(w.waiters) > 0 || 4*w.held < 3*wanted || w.held < w.target || 2*wanted < w.told
	if w.spent == 0 && w.returned == 0 && !asks {
		return nil
	}
	u := &pb.QuotaUse{
		Spent: uint32(w.spent), Returned: uint32(w.returned), //nolint:gosec // Numbers of requests.
		Waiting: uint32(len(w.waiters)), Wanted: uint32(wanted), //nolint:gosec // Numbers of requests.
	}
	w.spent, w.returned, w.told = 0, 0, wanted
	return u
}

func (w *holding) idle(now Instant) bool {
	return w.held == 0 && w.unused(now) && w.spent == 0 && w.returned == 0 && len(w.waiters) == 0 && w.told == 0 && w.wanted(now) == 0 && now >= max(w.shortUntil, w.dryUntil)
}

func (w *holding) serveWaiters() {
	for w.held > 0 && len(w.waiters) > 0 {
		w.held--
		w.spent++
		w.waiters[0].Admitted = true
		close(w.waiters[0].Done)
		w.waiters = w.waiters[1:]
	}
}

// refuseWaiters refuses those that wait. Some may have begun to wait after the report
// to which the holder answers; they would find no credits either.
func (w *holding) refuseWaiters(after, now Instant) {
	w.shortUntil, w.shortTime = now+after, after
	for _, x := range w.waiters {
		x.Short = after
		close(x.Done)
	}
	w.waiters = nil
}
