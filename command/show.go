package command

import (
	"encoding/json"
	"strings"

	"github.com/rhubarbsail/rhubarbsail/inventory"
)

type showCommand struct {
	app  *App
	kind documentKind
}

// Execute prints the document in force. The output of --output json can be loaded.
func (c *showCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	files, inForce, err := c.app.configInForce()
	if err != nil {
		return err
	}
	return c.app.printValue(json.RawMessage(files[c.kind].Data), func(t *table) {
		t.row("VERSION", inForce.version)
		t.row()
		if c.kind == kindInventory {
			inventoryTable(t, inForce.config)
			return
		}
		rulesTable(t, inForce.config)
	})
}

func inventoryTable(t *table, c *inventory.Config) {
	t.row("WORKER", "RACK", "ZONE", "PROCESSORS", "MEMORY MB", "ACCELERATORS")
	for _, w := range c.Workers() {
		t.row(w.ID, w.Rack, w.AvailabilityZone, w.Processors, w.MemoryMB, w.Accelerators)
	}
	t.row()
	t.row("TARGET", "WORKER", "SERVICE", "SLOTS", "CONNECTIONS", "SPEED")
	for _, g := range c.Targets() {
		t.row(g.ID, g.Worker, g.Service, g.Slots, g.Connections, g.Speed)
	}
}

func rulesTable(t *table, c *inventory.Config) {
	t.row("CLIENT", "SHARE", "MAX QUEUED", "MAX RUNNING", "TASKS PER SECOND")
	for _, cl := range c.Clients() {
		t.row(cl.ID, cl.Share, cl.MaxQueued, cl.MaxRunning, cl.TasksPerSecond)
	}
	t.row()
	t.row("SERVICE", "REPEATABLE", "CLIENTS", "ALLOWED TARGETS", "DENIED TARGETS", "ZONES", "RACKS")
	for _, s := range c.Services() {
		t.row(s.ID, yesNo(s.Repeatable), ids(s.AllowedClients), ids(s.AllowedTargets), ids(s.DeniedTargets),
			ids(s.AvailabilityZones), ids(s.Racks))
	}
}

func ids(list []string) string { return orDash(strings.Join(list, " ")) }
