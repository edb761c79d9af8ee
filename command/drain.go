package command

import (
	"net/http"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const drainExamples = `  rhubarbsail drain target-7
  rhubarbsail drain target-7 --undo

A drained target finishes its running tasks and receives no new ones.`

type drainCommand struct {
	app  *App
	Undo bool `long:"undo" description:"give the target new work again"`
	Args struct {
		Target string `positional-arg-name:"TARGET" required:"true"`
	} `positional-args:"true"`
}

// Execute starts or, with --undo, ends the drain of the target.
func (c *drainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	method, state := http.MethodPost, "draining"
	if c.Undo {
		method, state = http.MethodDelete, "in use"
	}
	var out httpapi.DrainBody
	r, err := c.app.call(method, c.app.operatorsAddress("targets", c.Args.Target, "drain"), nil, &out)
	if err != nil {
		return err
	}
	return c.app.print(r.body, func(t *table) { t.row(c.Args.Target, state) })
}
