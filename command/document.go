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

// documentKind identifies one of the two documents of a configuration.
type documentKind string

const (
	kindInventory documentKind = "inventory"
	kindRules     documentKind = "rules"
)

// other returns the other document.
func (k documentKind) other() documentKind {
	if k == kindInventory {
		return kindRules
	}
	return kindInventory
}

// addDocumentCommands registers the subcommands inventory and rules, which have
// subcommands of their own.
func (a *App) addDocumentCommands(p *flags.Parser) {
	for _, kind := range []documentKind{kindInventory, kindRules} {
		long := inventoryExamples
		if kind == kindRules {
			long = rulesExamples
		}
		name := string(kind)
		c := addSubcommand(p, name, "Load, check, compare or show the "+name, long, &struct{}{})
		addSubcommand(c, "load", "Put the "+name+" into force", long, &loadCommand{documentCommand: documentCommand{app: a, kind: kind}})
		addSubcommand(c, "check", "Check a file and print all findings", long, &checkCommand{documentCommand{app: a, kind: kind}})
		addSubcommand(c, "diff", "Show what loading a file would change", long, &diffCommand{documentCommand{app: a, kind: kind}})
		addSubcommand(c, "show", "Show the "+name+" in force", long, &showCommand{app: a, kind: kind})
	}
}

// documentCommand holds the options and arguments common to load, check and diff.
type documentCommand struct {
	app  *App
	kind documentKind

	With string `long:"with" value-name:"FILE" description:"file with the other document (rules for inventory, inventory for rules); default: the one in force"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// proposal is the configuration that would result from loading the files. base is
// the version that must be in force for the change to be accepted.
type proposal struct {
	base            uint64
	inForce, config *inventory.Config
	documents       map[documentKind][]byte
}

// read reads the files named in the arguments, by document; a document without a
// file is missing in the map. The documentFile is that of Args.File, with the CSV
// positions of all files.
func (c *documentCommand) read() (map[documentKind]inventory.File, documentFile, error) {
	files := map[documentKind]inventory.File{}
	source, err := readDocument(c.kind, c.Args.File)
	if err != nil {
		return nil, source, err
	}
	files[c.kind] = source.file
	if c.With != "" {
		with, err := readDocument(c.kind.other(), c.With)
		if err != nil {
			return nil, source, err
		}
		files[c.kind.other()] = with.file
		source.positions = append(source.positions, with.positions...)
	}
	return files, source, nil
}

// propose reads the files, takes a missing document from the configuration in
// force and validates the result.
func (c *documentCommand) propose() (*proposal, error) {
	files, source, err := c.read()
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
	config, err := parse(files, source)
	if err != nil {
		return nil, err
	}
	return &proposal{
		base: inForce.version, inForce: inForce.config, config: config,
		documents: map[documentKind][]byte{kindInventory: files[kindInventory].Data, kindRules: files[kindRules].Data},
	}, nil
}

// parse validates both documents and returns the configuration. Findings in a CSV
// file get their position from source.
func parse(files map[documentKind]inventory.File, source documentFile) (*inventory.Config, error) {
	config, err := inventory.ParseFiles(files[kindInventory], files[kindRules])
	if err != nil {
		return nil, source.mapFindings(err)
	}
	return config, nil
}

type versionedConfig struct {
	version uint64
	config  *inventory.Config
}

// configInForce fetches the configuration in force from a gateway. Both documents
// are empty objects if none was ever loaded.
func (a *App) configInForce() (map[documentKind]inventory.File, versionedConfig, error) {
	var v httpapi.ConfigView
	if _, err := a.call(http.MethodGet, a.operatorsAddress("config"), nil, &v); err != nil {
		return nil, versionedConfig{}, errors.Wrap(err, "configuration in force")
	}
	files := map[documentKind]inventory.File{
		kindInventory: {Name: "inventory in force", Data: orEmpty(v.Inventory)},
		kindRules:     {Name: "rules in force", Data: orEmpty(v.Rules)},
	}
	encoded, err := json.Marshal(map[documentKind]json.RawMessage{
		kindInventory: files[kindInventory].Data, kindRules: files[kindRules].Data,
	})
	if err != nil {
		return nil, versionedConfig{}, errors.Wrap(err, "configuration in force")
	}
	config, err := inventory.Decode(encoded)
	if err != nil {
		return nil, versionedConfig{}, errors.Wrap(err, "configuration in force")
	}
	return files, versionedConfig{v.Version, config}, nil
}

// orEmpty returns raw, or an empty object if raw is absent or null.
func orEmpty(raw json.RawMessage) []byte {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return []byte("{}")
	}
	return raw
}

// documentFile is a document as JSON. If it was converted from CSV, positions has
// the line of each element in the CSV file.
type documentFile struct {
	file      inventory.File
	positions []rowPosition
}

// maxDocumentBytes is the maximum size of a file; the operators' API has the same
// limit.
const maxDocumentBytes = 32 << 20

// readDocument reads a document from a JSON file; an inventory may also be CSV.
func readDocument(kind documentKind, name string) (documentFile, error) {
	info, err := os.Stat(name)
	if err != nil {
		return documentFile{}, exitf(ExitInvalid, "%v", err)
	}
	if info.Size() > maxDocumentBytes {
		return documentFile{}, exitf(ExitInvalid, "%s is larger than %d bytes", name, maxDocumentBytes)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return documentFile{}, exitf(ExitInvalid, "%v", err)
	}
	if kind == kindInventory && isCSV(name) {
		return inventoryFromCSV(name, data)
	}
	return documentFile{file: inventory.File{Name: name, Data: data}}, nil
}
