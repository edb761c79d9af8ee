package command

import "github.com/rhubarbsail/rhubarbsail/inventory"

type checkCommand struct{ documentCommand }

// Execute checks the file. It needs no gateway if both documents are given, so
// that a configuration can be checked before anything is deployed.
func (c *checkCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	config, err := c.config()
	if err != nil {
		return err
	}
	return c.app.printValue(struct {
		Valid bool `json:"valid"`
	}{true}, func(t *table) {
		t.row(c.Args.File + ": valid")
		t.row("workers", len(config.Workers()))
		t.row("targets", len(config.Targets()))
		t.row("clients", len(config.Clients()))
		t.row("services", len(config.Services()))
	})
}

// config returns the configuration to check: both documents from files, or one of
// them from the configuration in force.
func (c *checkCommand) config() (*inventory.Config, error) {
	if c.With == "" {
		p, err := c.propose()
		if err != nil {
			return nil, err
		}
		return p.config, nil
	}
	files, source, err := c.read()
	if err != nil {
		return nil, err
	}
	return parse(files, source)
}
