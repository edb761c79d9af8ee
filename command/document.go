package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/inventory"
)

// part is one of the two documents of a configuration.
type part string

const (
	partInventory part = "inventory"
	partRules     part = "rules"
)

// other returns the other document.
func (p part) other() part {
	if p == partInventory {
		return partRules
	}
	return partInventory
}

// addParts registers the subcommands inventory and rules with their actions.
func (a *App) addParts(p *flags.Parser) {
	for _, kind := range []part{partInventory, partRules} {
		long := inventoryExamples
		if kind == partRules {
			long = rulesExamples
		}
		name := string(kind)
		c := add(p, name, "Load, check, compare or show the "+name, long, &struct{}{})
		add(c, "load", "Put the "+name+" into force", long, &loadCommand{partCommand: partCommand{app: a, kind: kind}})
		add(c, "check", "Check a file and print all findings", long, &checkCommand{partCommand{app: a, kind: kind}})
		add(c, "diff", "Show what loading a file would change", long, &diffCommand{partCommand{app: a, kind: kind}})
		add(c, "show", "Show the "+name+" in force", long, &showCommand{app: a, kind: kind})
	}
}

// partCommand is what load, check and diff have in common.
type partCommand struct {
	app  *App
	kind part

	With string `long:"with" value-name:"FILE" description:"file with the other document (rules for inventory, inventory for rules); default: the one in force"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// proposal is a configuration that a file proposes, with the one in force.
type proposal struct {
	base            uint64
	inForce, config *inventory.Config
	parts           map[part][]byte
}

// read returns the named files with the places of another format. The document
// that no file gives is absent.
func (c *partCommand) read() (map[part]inventory.File, partFile, error) {
	files := map[part]inventory.File{}
	own, err := readPart(c.kind, c.Args.File)
	if err != nil {
		return nil, own, err
	}
	files[c.kind] = own.file
	if c.With != "" {
		with, err := readPart(c.kind.other(), c.With)
		if err != nil {
			return nil, own, err
		}
		files[c.kind.other()] = with.file
		own.translate = append(own.translate, with.translate...)
	}
	return files, own, nil
}

// propose reads the files, takes what they lack from the configuration in force
// and checks the whole.
func (c *partCommand) propose() (*proposal, error) {
	files, own, err := c.read()
	if err != nil {
		return nil, err
	}
	view, inForce, err := c.app.configInForce()
	if err != nil {
		return nil, err
	}
	if _, ok := files[c.kind.other()]; !ok {
		files[c.kind.other()] = view[c.kind.other()]
	}
	config, err := parse(files, own)
	if err != nil {
		return nil, err
	}
	return &proposal{
		base: inForce.version, inForce: inForce.config, config: config,
		parts: map[part][]byte{partInventory: files[partInventory].Data, partRules: files[partRules].Data},
	}, nil
}

// parse checks both documents.
func parse(files map[part]inventory.File, own partFile) (*inventory.Config, error) {
	config, err := inventory.ParseFiles(files[partInventory], files[partRules])
	if err != nil {
		return nil, own.places(err)
	}
	return config, nil
}

type versionedConfig struct {
	version uint64
	config  *inventory.Config
}

// configInForce fetches the configuration; before the first one both documents
// are empty.
func (a *App) configInForce() (map[part]inventory.File, versionedConfig, error) {
	var v httpapi.ConfigView
	if _, err := a.call(http.MethodGet, a.operatorsAddress("config"), nil, &v); err != nil {
		return nil, versionedConfig{}, errors.Wrap(err, "configuration in force")
	}
	files := map[part]inventory.File{
		partInventory: {Name: "inventory in force", Data: orEmpty(v.Inventory)},
		partRules:     {Name: "rules in force", Data: orEmpty(v.Rules)},
	}
	whole, err := json.Marshal(map[part]json.RawMessage{
		partInventory: files[partInventory].Data, partRules: files[partRules].Data,
	})
	if err != nil {
		return nil, versionedConfig{}, errors.Wrap(err, "configuration in force")
	}
	config, err := inventory.Decode(whole)
	if err != nil {
		return nil, versionedConfig{}, errors.Wrap(err, "configuration in force")
	}
	return files, versionedConfig{v.Version, config}, nil
}

func orEmpty(raw json.RawMessage) []byte {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return []byte("{}")
	}
	return raw
}

// partFile is a file as JSON, with the places of another format.
type partFile struct {
	file      inventory.File
	translate []translation
}

// maxPartBytes bounds a file, as the operators' API does.
const maxPartBytes = 32 << 20

func readPart(kind part, name string) (partFile, error) {
	info, err := os.Stat(name)
	if err != nil {
		return partFile{}, exitf(ExitInvalid, "%v", err)
	}
	if info.Size() > maxPartBytes {
		return partFile{}, exitf(ExitInvalid, "%s is over %d bytes", name, maxPartBytes)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return partFile{}, exitf(ExitInvalid, "%v", err)
	}
	if kind == partInventory && isCSV(name) {
		return inventoryFromCSV(name, data)
	}
	return partFile{file: inventory.File{Name: name, Data: data}}, nil
}
