package gateway

import (
	"time"

	"github.com/peridotmux/peridotmux/capacity"
	"github.com/peridotmux/peridotmux/forward"
	"github.com/peridotmux/peridotmux/telemetry"
)

// newLearning returns what makes the server learn the targets' capacity, and adds its
// topic to the exchange.
func (g *Gateway) newLearning() *forward.Learning {
	l := &forward.Learning{Capacity: capacity.NewGateway(time.Now), Asked: g.cfg.Settings.Learning.Asks}
	g.outliers.Topics = append(g.outliers.Topics, l.Capacity)
	return l
}

// showLearned adds the targets of unusual capacity to the metrics page.
func (g *Gateway) showLearned() error {
	return g.metrics.ObserveCapacity(func() []telemetry.Capacity { return g.server.UnusualTargets(time.Now()) })
}
