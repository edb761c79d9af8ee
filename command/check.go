package command

import "github.com/rhubarbsail/rhubarbsail/inventory"

type checkCommand struct{ partCommand }

// Execute checks the file. With both documents given it needs no gateway, so
// that a configuration can be checked before anything runs.
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

func (c *checkCommand) config() (*inventory.Config, error) {
	if c.With == "" {
		p, err := c.propose()
		if err != nil {
			return nil, err
		}
		return p.config, nil
	}
	files, own, err := c.read()
	if err != nil {
		return nil, err
	}
	return parse(files, own)
}
