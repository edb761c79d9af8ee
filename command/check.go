package command

type checkCommand struct{ partCommand }

// Execute checks the file.
func (c *checkCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	p, err := c.propose()
	if err != nil {
		return err
	}
	return c.app.printValue(struct {
		Valid bool `json:"valid"`
	}{true}, func(t *table) {
		t.row(c.Args.File + ": valid")
		t.row("workers", len(p.config.Workers()))
		t.row("targets", len(p.config.Targets()))
		t.row("clients", len(p.config.Clients()))
		t.row("services", len(p.config.Services()))
	})
}
