package rpc

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// dialBehavior is the behavior of one address when it is dialed.
type dialBehavior struct {
	// after is how long the dial takes, 0 if it hangs until it times out.
	after time.Duration
	// refused makes the dial fail after that time.
	refused bool
}

type refusedError struct{}

func (refusedError) Error() string { return "refused" }

func fakeDial(answers map[netip.AddrPort]dialBehavior) dialFunc {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		b := answers[addr]
		wait := b.after
		if wait == 0 {
			wait = staggeredDialTimeout
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if b.after == 0 || b.refused {
			return nil, refusedError{}
		}
		c, _ := net.Pipe()
		return c, nil
	}
}

// TestDialFirstReturnsFirstConnection guards against dials that wait for an
// unreachable address instead of trying the next one after the head start, and
// against a later address that wins although an earlier one is healthy.
func TestDialFirstReturnsFirstConnection(t *testing.T) {
	a, b, c := addr(1), addr(2), addr(3)
	quick := dialBehavior{after: time.Millisecond}
	cases := map[string]struct {
		answers map[netip.AddrPort]dialBehavior
		want    netip.AddrPort
		fails   bool
		within  time.Duration
	}{
		"all are healthy":             {answers: map[netip.AddrPort]dialBehavior{a: quick, b: quick, c: quick}, want: a, within: 5 * time.Millisecond},
		"the first does not respond":  {answers: map[netip.AddrPort]dialBehavior{b: quick, c: quick}, want: b, within: dialStagger + 5*time.Millisecond},
		"two do not respond":          {answers: map[netip.AddrPort]dialBehavior{c: quick}, want: c, within: 2*dialStagger + 5*time.Millisecond},
		"the first refuses":           {answers: map[netip.AddrPort]dialBehavior{a: {after: 1, refused: true}, b: quick}, want: b, within: 5 * time.Millisecond},
		"the first is slow, but wins": {answers: map[netip.AddrPort]dialBehavior{a: {after: dialStagger + time.Millisecond}, b: {after: time.Second}}, want: a, within: dialStagger + 5*time.Millisecond},
		"all refuse": {
			answers: map[netip.AddrPort]dialBehavior{a: {after: 1, refused: true}, b: {after: 1, refused: true}, c: {after: 1, refused: true}},
			fails:   true, within: 5 * time.Millisecond,
		},
		"none responds": {fails: true, within: 2*dialStagger + staggeredDialTimeout + 5*time.Millisecond},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				conn, got, err := dialStaggered(t.Context(), []netip.AddrPort{a, b, c}, fakeDial(x.answers))
				if (err != nil) != x.fails {
					t.Fatalf("error %v, want a failure: %v", err, x.fails)
				}
				if err == nil {
					defer func() { _ = conn.Close() }()
				}
				if !x.fails && got != x.want {
					t.Errorf("connected to %v, want %v", got, x.want)
				}
				if took := time.Since(begun); took > x.within {
					t.Errorf("took %v, want at most %v", took, x.within)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func addr(last byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 7000)
}
