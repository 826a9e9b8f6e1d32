package group

import "testing"

// Guards against stale reads: Confirm must not return before the state machine has
// applied the confirmed index.
func TestConfirmationWaitsUntilItsIndexIsApplied(t *testing.T) {
	const confirmed = 7
	call := &confirmCall{done: make(chan confirmResult, 1)}
	g := &Group{}
	g.confirm.unapplied = []confirmedCalls{{[]*confirmCall{call}, confirmResult{index: confirmed}}}
	for g.applied = range uint64(confirmed) {
		g.answerConfirms()
		if len(call.done) > 0 {
			t.Fatalf("Confirm returned at applied index %d, confirmed index %d", g.applied, confirmed)
		}
	}
	g.applied = confirmed
	g.answerConfirms()
	if len(call.done) != 1 {
		t.Error("Confirm did not return although the index is applied")
	}
}
