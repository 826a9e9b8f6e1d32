package loopback

import (
	"errors"
	"net"
	"testing"
)

// Two reservations that prefer the same network must get different ones, and a
// closed one must be free again.
func TestReservationsDiffer(t *testing.T) {
	a, err := Reserve(7)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Reserve(7)
	if err != nil {
		t.Fatal(err)
	}
	first := b.IP(2, 3)
	if first == a.IP(2, 3) {
		t.Fatalf("both got %s", first)
	}
	l, err := net.Listen("tcp", b.IP(2, 3)+":12000")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	b.Close()
	again, err := Reserve(7)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if again.IP(2, 3) != first {
		t.Errorf("got %s, want the freed %s", again.IP(2, 3), first)
	}
}

// Without a free network the error must say why the last one wasn't free.
func TestNoNetworkLeft(t *testing.T) {
	var held []*Network
	defer func() {
		for _, n := range held {
			n.Close()
		}
	}()
	for range networks + 1 {
		n, err := Reserve(0)
		if err == nil {
			held = append(held, n)
			continue
		}
		var none *NoNetworkError
		if !errors.As(err, &none) || none.Cause == nil {
			t.Fatalf("got %v", err)
		}
		return
	}
	t.Fatal("more networks than there are")
}
