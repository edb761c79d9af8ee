package settings

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the daemons.
const (
	ExitOK = 0
	// ExitFailed means that the process failed to start or to stop gracefully.
	ExitFailed = 1
	// ExitInvalid means that the arguments or the settings file are invalid.
	ExitInvalid = 2
)

// arguments holds the command-line flags of every daemon.
type arguments struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file (JSON); see docs/CONFIG.md"`
	Check    bool   `long:"check" description:"check the settings file, print all findings and exit"`
}

// FromArgs parses a daemon's arguments and loads its settings into s. If done is
// true, the process should end with the exit code: after --help, --check or
// invalid settings, whose findings are written to stderr, one per line.
func FromArgs(name string, args []string, s Settings, stdout, stderr io.Writer) (exit int, done bool) {
	var a arguments
	if exit, done := ParseArgs(name, args, &a, stdout, stderr); done {
		return exit, true
	}
	if err := Load(a.Settings, s); err != nil {
		printError(name, err, stderr)
		return ExitInvalid, true
	}
	if a.Check {
		fmt.Fprintf(stdout, "%s: valid\n", a.Settings)
	}
	return ExitOK, a.Check
}

// ParseArgs parses arguments into a struct with go-flags tags. If done is true,
// the process should end with the exit code: after --help or invalid arguments,
// which are reported on stderr.
func ParseArgs(name string, args []string, into any, stdout, stderr io.Writer) (exit int, done bool) {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", into); err != nil {
		panic(err)
	}
	rest, err := p.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		fmt.Fprintln(stdout, err)
		return ExitOK, true
	case err == nil && len(rest) > 0:
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitInvalid, true
	}
	return ExitOK, false
}

func printError(name string, err error, stderr io.Writer) {
	l, ok := findingsOf(err)
	if !ok {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return
	}
	for _, f := range l {
		fmt.Fprintln(stderr, f)
	}
	fmt.Fprintf(stderr, "%s: %d findings; nothing was started\n", name, len(l))
}
