package daemon

import (
	"log/slog"
	"strconv"

	"github.com/peridotmux/peridotmux/capacity"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/outlier"
)

// newLearning returns the topic that learns the targets' capacity.
func newLearning(inventory *discovery.Inventory, log *slog.Logger) outlier.HubTopic {
	return capacity.NewHub(log, func(k capacity.Key) string { return targetName(inventory, k) })
}

// hexadecimal is the base in which the keys of unknown targets are shown.
const hexadecimal = 16

// targetName returns the ID of the target with a key for the log, or the key if the
// list has no such target.
func targetName(inventory *discovery.Inventory, key capacity.Key) string {
	for id, t := range inventory.List().Targets {
		if capacity.KeyOf(string(id), t.BornUnixMS) == key {
			return string(id)
		}
	}
	return "unknown " + strconv.FormatUint(uint64(key), hexadecimal)
}
