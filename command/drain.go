package command

import (
	"net/http"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const drainExamples = `  rhubarbsail drain target-7
  rhubarbsail drain target-7 --undo
  rhubarbsail drain --zone bkk-a
  rhubarbsail drain --zone bkk-a --undo

A drained target, or one in a drained availability zone, finishes its running tasks
and receives no new ones.`

type drainCommand struct {
	app  *App
	Zone string `long:"zone" value-name:"ZONE" description:"drain all targets of an availability zone, also those that join later"`
	Undo bool   `long:"undo" description:"give the target or the zone new work again"`
	Args struct {
		Target string `positional-arg-name:"TARGET"`
	} `positional-args:"true"`
}

// Execute starts or, with --undo, ends the drain of the target or the zone.
func (c *drainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if (c.Args.Target == "") == (c.Zone == "") {
		return exitf(ExitInvalid, "name either a target or, with --zone, an availability zone")
	}
	method, state := http.MethodPost, "draining"
	if c.Undo {
		method, state = http.MethodDelete, "in use"
	}
	name, address, out := c.Args.Target, c.app.operatorsAddress("targets", c.Args.Target, "drain"), any(&httpapi.DrainBody{})
	if c.Zone != "" {
		name, address, out = c.Zone, c.app.operatorsAddress("zones", c.Zone, "drain"), &httpapi.ZoneDrainBody{}
	}
	r, err := c.app.call(method, address, nil, out)
	if err != nil {
		return err
	}
	return c.app.print(r.body, func(t *table) { t.row(name, state) })
}
