package command

import (
	"net/http"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const cancelExamples = `  rhubarbsail cancel bondline lot-7

Tasks that wait are dropped and running ones are aborted. The caller of the job
is answered with the reason "cancelled".`

// jobArguments are the positional arguments that identify a job.
type jobArguments struct {
	Client string `positional-arg-name:"CLIENT" required:"true"`
	Key    string `positional-arg-name:"KEY" required:"true"`
}

type cancelCommand struct {
	app  *App
	Args jobArguments `positional-args:"true"`
}

// Execute cancels the job.
func (c *cancelCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var out httpapi.CancelBody
	r, err := c.app.call(http.MethodDelete, c.app.jobAddress(c.Args.Client, c.Args.Key), nil, &out)
	if err != nil {
		return err
	}
	return c.app.print(r.body, func(t *table) { t.row("cancelled", c.Args.Client+"/"+c.Args.Key) })
}
