package command

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

var loadArgs = []string{"inventory", "load", "testdata/assets.csv", "--with", "testdata/rules.json"}

// A CSV export of the asset register must be loaded as the inventory that it
// describes.
func TestLoadCSV(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "version", loadArgs...)
	x.want(ExitOK, "", "inventory", "show")
	goldie.New(t).Assert(t, "inventory", x.stdout.Bytes())
	if x.ops.view.Operator != "ana" {
		t.Errorf("operator is %q", x.ops.view.Operator)
	}
	x.want(ExitOK, "no change", "inventory", "diff", "testdata/assets.csv")
	x.want(ExitOK, "glue", "rules", "show")
}

// The JSON that show prints can be loaded unchanged.
func TestShownInventoryCanBeLoaded(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "", loadArgs...)
	for _, kind := range []string{"inventory", "rules"} {
		x.want(ExitOK, "", kind, "show", "--output", "json")
		file := filepath.Join(t.TempDir(), kind+".json")
		if err := os.WriteFile(file, x.stdout.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
		x.want(ExitOK, "no change", kind, "diff", file)
		x.want(ExitOK, "version", kind, "load", file)
	}
}

// An invalid file changes nothing. All its findings are shown at once, with line
// numbers of the operator's file (not of the JSON that a CSV file is converted to).
func TestInvalidFilesChangeNothing(t *testing.T) {
	x := newTool(t)
	out := ""
	for _, file := range []string{"faults.csv", "clashes.csv", "rules.json"} {
		for _, action := range []string{"check", "load"} {
			if exit := x.run("inventory", action, "testdata/"+file, "--with", "testdata/rules.json"); exit != ExitInvalid {
				t.Errorf("%s %s: exit %d", action, file, exit)
			}
		}
		out += x.stderr.String() + "\n"
	}
	goldie.New(t).Assert(t, "findings", []byte(out))
	x.want(ExitInvalid, "no such file", "inventory", "load", "testdata/absent.csv")
	if x.ops.view.Version != 0 {
		t.Errorf("version %d", x.ops.view.Version)
	}
}

// A configuration can be checked before any gateway runs.
func TestCheckOfBothFilesNeedsNoGateway(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "valid", "inventory", "check", "testdata/assets.csv", "--with", "testdata/rules.json", "--operators", "http://127.0.0.1:1")
	x.want(ExitOK, "valid", "rules", "check", "testdata/rules.json", "--with", "testdata/assets.csv", "--operators", "http://127.0.0.1:1")
	x.want(ExitFailed, "no reply", "rules", "check", "testdata/rules.json", "--operators", "http://127.0.0.1:1")
}

// If these headers were accepted, values would be read from wrong columns.
func TestCSVHeaderErrors(t *testing.T) {
	for content, want := range map[string]string{
		"":                               "the header row cannot be read",
		"worker,colour\n":                "colour: unknown column",
		"worker,worker\n":                "worker: the column is given twice",
		"worker\n":                       "rack: the column is missing",
		"\xef\xbb\xbfworker\n":           "rack: the column is missing",
		"worker,\"rack\n":                "the header row cannot be read",
		"worker,rack,memory_gb,target\n": "memory_gb: unknown column",
	} {
		if _, err := inventoryFromCSV("a.csv", []byte(content)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", content, err, want)
		}
	}
}

// The exit code tells an operator whether a failed change must be repeated.
func TestChangeExitCodes(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "", loadArgs...)
	x.want(ExitConflict, "version 1", append(loadArgs, "--base", "0")...)
	x.ops.err = &httpapi.UnknownOutcomeError{Cause: errors.New("reply lost")}
	x.want(ExitUnknown, "unknown", loadArgs...)
	x.ops.err = httpapi.ErrUnavailable
	x.want(ExitFailed, "nothing was changed", loadArgs...)
}

// A change whose reply was lost may have taken effect; a lost query or a refused
// connection is an ordinary failure.
func TestLostReplyOfChangeIsUnknown(t *testing.T) {
	x := newTool(t)
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	x.want(ExitUnknown, "the outcome is unknown", "drain", "t1", "--operators", cut.URL)
	x.want(ExitFailed, "no reply", "status", "--operators", cut.URL)
	x.want(ExitFailed, "no reply", "drain", "t1", "--operators", "http://127.0.0.1:1")
}

// The drain subcommand drains the target, and with --undo it ends the drain.
func TestDrainCommand(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "draining", "drain", "t1")
	if !x.ops.drained["t1"] {
		t.Error("t1 is not draining")
	}
	x.want(ExitOK, "in use", "drain", "t1", "--undo")
	if x.ops.drained["t1"] {
		t.Error("t1 is draining")
	}
	x.want(ExitNotFound, "unknown_target", "drain", "t9")
}

// Guards against a zone that is drained in place of a target or the reverse, and
// against a command that names both or neither.
func TestDrainCommandOfAZone(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "draining", "drain", "--zone", "z1")
	if !x.ops.drained["zone z1"] {
		t.Error("z1 is not draining")
	}
	x.want(ExitOK, "in use", "drain", "--zone", "z1", "--undo")
	if x.ops.drained["zone z1"] {
		t.Error("z1 is draining")
	}
	x.want(ExitNotFound, "unknown_zone", "drain", "--zone", "z9")
	x.want(ExitInvalid, "name either", "drain")
	x.want(ExitInvalid, "name either", "drain", "t1", "--zone", "z1")
}

// The walkthrough in README.md loads these files, as CSV or as JSON.
func TestExampleInventoriesAreEqual(t *testing.T) {
	x := newTool(t)
	x.want(ExitOK, "", "inventory", "load", "../examples/inventory.csv", "--with", "../examples/rules.json")
	x.want(ExitOK, "no change", "inventory", "diff", "../examples/inventory.json")
	x.want(ExitOK, "no change", "rules", "diff", "../examples/rules.json")
}
