package state_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/platform/fake"
)

// document returns a route document of n routes.
func document(n int) []byte {
	routes := make([]fake.Route, 0, n)
	for i := range n {
		routes = append(routes, fake.Route{
			Host: fmt.Sprintf("host-%x.example", i%31), Prefix: fmt.Sprintf("/p%x/", i*104729), Idempotent: true,
			Services: []string{fmt.Sprintf("service-%d", i%19)}, TimeLimitMS: 4000, ObjectiveMS: 250,
		})
	}
	return fake.RouteDocument(7, routes)
}

// Guards against log entries that hold a large document uncompressed, in base64: each
// change then cost several times its size on the disk, on the links and in memory.
func TestRoutesAreLoggedCompressed(t *testing.T) {
	sent := document(2800)
	c, err := state.NewRoutes(7, sent)
	if err != nil {
		t.Fatal(err)
	}
	entry := c.Encode(time.UnixMilli(1))
	if len(entry) > len(sent)/4 {
		t.Errorf("an entry of %d bytes for a document of %d", len(entry), len(sent))
	}
	st := state.New(limits)
	st.Apply(1, entry)
	got := st.View().Routes
	if got == nil || got.Version != 7 || !bytes.Equal(got.Body, sent) {
		t.Fatal("the document in force isn't the one that was sent")
	}
}

// An entry that an earlier version wrote, with the document as it is, must apply.
func TestUncompressedRoutesApply(t *testing.T) {
	sent := document(3)
	c := state.Command{Routes: &state.Routes{Version: 7, Body: sent}}
	st := state.New(limits)
	st.Apply(1, c.Encode(time.UnixMilli(1)))
	if got := st.View().Routes; got == nil || !bytes.Equal(got.Body, sent) {
		t.Fatal("the document in force isn't the one that was sent")
	}
}
