// Package examples holds settings files for two deployments, as files to start
// from and as values for trials and tests.
package examples

import (
	"embed"

	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/topology"
)

//go:embed duenger brazos
var files embed.FS

// Names lists the deployments.
func Names() []string { return []string{"duenger", "brazos"} }

// Deployment returns the named deployment as the example file states it.
func Deployment(name string) (*topology.Deployment, error) {
	path := name + "/deployment.ini"
	data, err := files.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return settings.ParseDeployment(path, data)
}
