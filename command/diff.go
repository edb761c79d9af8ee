package command

import "github.com/rhubarbsail/rhubarbsail/inventory"

type diffCommand struct{ documentCommand }

// Execute prints the changes that loading the file would make.
func (c *diffCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	p, err := c.propose()
	if err != nil {
		return err
	}
	return c.app.printChanges(inventory.Diff(p.inForce, p.config))
}

func (a *App) printChanges(changes []inventory.Change) error {
	if changes == nil {
		changes = []inventory.Change{}
	}
	return a.printValue(changes, func(t *table) {
		if len(changes) == 0 {
			t.row("no change")
			return
		}
		t.row("CHANGE", "LIST", "ID", "FIELD", "OLD", "NEW")
		for _, c := range changes {
			t.row(c.Kind, c.List, c.ID, orDash(c.Field), orDash(c.Old), orDash(c.New))
		}
	})
}
