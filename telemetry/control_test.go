package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/peridotmux/peridotmux/telemetry"
)

func TestControlCountersAreExported(t *testing.T) {
	var nothing telemetry.Control
	nothing.Renewed(true)
	m, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m.Control.Renewed(true)
	m.Control.Pushed(3)
	m.Control.Claimed("CLAIM_STATUS_GRANTED")
	m.Control.Moved("balance")
	page := httptest.NewRecorder()
	m.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`peridot_control_renewals_total{confirmed="true"} 1`,
		`peridot_control_pushed_total 3`,
		`peridot_control_claims_total{status="CLAIM_STATUS_GRANTED"} 1`,
		`peridot_control_moves_total{reason="balance"} 1`,
	} {
		if !strings.Contains(page.Body.String(), want) {
			t.Errorf("no %s", want)
		}
	}
}
