package command

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

type loadCommand struct {
	documentCommand
	Operator string  `long:"operator" description:"name recorded with the change; default: the login name"`
	Base     *uint64 `long:"base" value-name:"VERSION" description:"refuse the change unless this version is in force; default: the one in force when the command starts"`
}

// Execute puts the file into force. The change always contains both documents, so
// that the one without a file cannot revert to another version.
func (c *loadCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	p, err := c.propose()
	if err != nil {
		return err
	}
	if c.Base != nil {
		p.base = *c.Base
	}
	operator := c.Operator
	if operator == "" {
		operator = c.app.Operator
	}
	if operator == "" {
		return exitf(ExitInvalid, "the login name is unknown; give --operator")
	}
	body, err := json.Marshal(httpapi.ConfigChange{
		Base: p.base, Operator: operator, Inventory: p.documents[kindInventory], Rules: p.documents[kindRules],
	})
	if err != nil {
		return errors.Wrap(err, "encode the change")
	}
	var v httpapi.VersionBody
	if _, err := c.app.call(http.MethodPut, c.app.operatorsAddress("config"), body, &v); err != nil {
		return err
	}
	changes := inventory.Diff(p.inForce, p.config)
	return c.app.printValue(struct {
		Version uint64             `json:"version"`
		Changes []inventory.Change `json:"changes"`
	}{v.Version, changes}, func(t *table) {
		t.row("version", v.Version)
		t.row("changes", len(changes))
	})
}
