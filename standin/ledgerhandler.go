package standin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/peridotmux/peridotmux/topology"
)

// PathLedger is the path that LedgerHandler serves.
const PathLedger = "/ledger"

// TargetLedger is the ledger of one target as LedgerHandler encodes it.
type TargetLedger struct {
	Target  topology.TargetID `json:"target"`
	Totals  Totals            `json:"totals"`
	Entries []Entry           `json:"entries"`
}

// LedgerHandler returns a handler that serves the ledgers of targets at
// PathLedger as a JSON array of TargetLedger.
func LedgerHandler(targets []*Target) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(PathLedger, func(w http.ResponseWriter, _ *http.Request) {
		views := make([]TargetLedger, 0, len(targets))
		for _, t := range targets {
			views = append(views, TargetLedger{
				Target: t.opts.ID, Totals: t.ledger.Totals(), Entries: t.ledger.Entries(),
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(views)
	}).Methods(http.MethodGet)
	return m
}
