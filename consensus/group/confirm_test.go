package group

import "testing"

func TestConfirmationWaitsUntilItsIndexIsApplied(t *testing.T) {
	const confirmed = 7
	call := &confirmCall{done: make(chan confirmResult, 1)}
	g := &Group{}
	g.confirm.applies = []confirmedCalls{{[]*confirmCall{call}, confirmResult{index: confirmed}}}
	for g.applied = range uint64(confirmed) {
		g.answerConfirms()
		if len(call.done) > 0 {
			t.Fatalf("answered with %d applied, confirmed %d", g.applied, confirmed)
		}
	}
	g.applied = confirmed
	g.answerConfirms()
	if len(call.done) != 1 {
		t.Error("not answered though the index is applied")
	}
}
