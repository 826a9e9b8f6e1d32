package state_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/control/state"
)

// largeDocument returns a route document of n routes, about 180 bytes each.
func largeDocument(n int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"version":7,"routes":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"host-%x.example","pathPrefix":"/p%x/","routeKind":"idempotent",`+
			`"timeoutMs":4000,"targetLatencyMs":250,"priority":2,"service":"service-%d","attempts":2}`, i*7919, i%31, i*104729, i%19)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// Guards against log entries that hold a large document uncompressed, in base64: each
// change then cost several times its size on the disk, on the links and in memory.
func TestRoutesAreLoggedCompressed(t *testing.T) {
	document := largeDocument(2800)
	c, err := state.NewRoutes(7, document)
	if err != nil {
		t.Fatal(err)
	}
	entry := c.Encode(time.UnixMilli(1))
	if len(entry) > len(document)/4 {
		t.Errorf("an entry of %d bytes for a document of %d", len(entry), len(document))
	}
	st := state.New(limits)
	st.Apply(1, entry)
	got := st.View().Routes
	if got == nil || got.Version != 7 || !bytes.Equal(got.Body, document) {
		t.Fatal("the document in force isn't the one that was sent")
	}
}

// An entry that an earlier version wrote, with the document as it is, must apply.
func TestUncompressedRoutesApply(t *testing.T) {
	document := largeDocument(3)
	c := state.Command{Routes: &state.Routes{Version: 7, Body: document}}
	st := state.New(limits)
	st.Apply(1, c.Encode(time.UnixMilli(1)))
	if got := st.View().Routes; got == nil || !bytes.Equal(got.Body, document) {
		t.Fatal("the document in force isn't the one that was sent")
	}
}
