// Package examples embeds the settings files of two example deployments. Operators
// start from the files; trials and tests use the parsed values.
package examples

import (
	"embed"

	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/topology"
)

//go:embed duenger brazos
var files embed.FS

// Names returns the names of the example deployments.
func Names() []string { return []string{"duenger", "brazos"} }

// Deployment returns the named deployment, parsed from its example file. It fails if
// there is no such example.
func Deployment(name string) (*topology.Deployment, error) {
	path := name + "/deployment.ini"
	data, err := files.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return settings.ParseDeployment(path, data)
}
