package settings

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the daemons.
const (
	ExitOK = 0
	// ExitFailed means that the process could not start or stop in order.
	ExitFailed = 1
	// ExitInvalid means that the arguments or the settings file are invalid.
	ExitInvalid = 2
)

// arguments are the command line of every daemon.
type arguments struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file (JSON); see docs/CONFIG.md"`
	Check    bool   `long:"check" description:"check the settings file, print all findings and exit"`
}

// FromArgs parses a daemon's arguments and loads its settings into s. If done
// is true the process ends with the exit code: after --help, --check, or
// findings, which go to stderr one a line.
func FromArgs(name string, args []string, s Settings, stdout, stderr io.Writer) (exit int, done bool) {
	var a arguments
	if exit, done := ParseArgs(name, args, &a, stdout, stderr); done {
		return exit, true
	}
	if err := Load(a.Settings, s); err != nil {
		report(name, err, stderr)
		return ExitInvalid, true
	}
	if a.Check {
		fmt.Fprintf(stdout, "%s: valid\n", a.Settings)
	}
	return ExitOK, a.Check
}

// ParseArgs parses arguments into a struct with go-flags tags. If done is true
// the process ends with the exit code: after --help or wrong arguments, which
// are reported on stderr.
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

func report(name string, err error, stderr io.Writer) {
	l, ok := list(err)
	if !ok {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return
	}
	for _, f := range l {
		fmt.Fprintln(stderr, f)
	}
	fmt.Fprintf(stderr, "%s: %d findings; nothing was started\n", name, len(l))
}
