// Package command implements the command-line tool for callers and operators.
// Each subcommand has a file of its own.
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed: the command failed, for example because it could not connect.
	ExitFailed = 1
	// ExitInvalid: the arguments or a file are invalid; nothing was changed.
	ExitInvalid = 2
	// ExitNotRun: the job failed and no task of it was started.
	ExitNotRun = 3
	// ExitMayHaveRun: the job failed and at least one of its tasks was or may have
	// been started.
	ExitMayHaveRun = 4
	// ExitConflict: another configuration change was made first; nothing was
	// changed.
	ExitConflict = 5
	// ExitUnknown: the outcome of the change is unknown.
	ExitUnknown = 6
	// ExitNotFound: the job or target is unknown.
	ExitNotFound = 7
)

const exitCodesHelp = `Exit codes: 0 success; 1 failed, such as no connection; 2 invalid arguments or file, nothing was changed;
3 the job failed and did not run; 4 the job failed and may have run; 5 another configuration change won;
6 the change may or may not take effect; 7 unknown job or target.`

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code, errors.Errorf(format, args...)}
}

// App holds the dependencies of the tool.
type App struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Terminal is true if Stderr is a terminal; progress is shown only then.
	Terminal bool
	// Operator is the default value of --operator, usually the user's login name.
	Operator string
	// StartLocal starts the single-process deployment of the local subcommand.
	StartLocal func(ctx context.Context, o LocalOptions) (*Deployment, error)

	ctx    context.Context
	global global
	// progressDelay is the time after which the progress of a job is shown.
	progressDelay time.Duration
}

// global holds the options common to all subcommands.
type global struct {
	Callers   string        `long:"callers" env:"RHUBARBSAIL_CALLERS" default:"http://127.0.0.1:7000" value-name:"URL" description:"callers' API of a gateway"`
	Operators string        `long:"operators" env:"RHUBARBSAIL_OPERATORS" default:"http://127.0.0.1:7001" value-name:"URL" description:"operators' API of a gateway"`
	Output    string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout   time.Duration `long:"request-timeout" default:"20s" description:"time for one request other than submit"`
}

// Run parses the arguments, runs a subcommand and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.ctx = ctx
	if a.progressDelay == 0 {
		a.progressDelay = progressDelay
	}
	p := flags.NewNamedParser("rhubarbsail", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "dispatcher for sub-second tasks"
	p.LongDescription = "Submits jobs, and shows and changes a deployment of rhubarbsail.\n\n" + exitCodesHelp
	if _, err := p.AddGroup("Common options", "", &a.global); err != nil {
		panic(err)
	}
	a.addCommands(p)
	_, err := p.ParseArgs(args)
	return a.exit(err)
}

// addSubcommand registers a subcommand with p. It panics on failure, which is a
// programming error.
func addSubcommand(p interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}, name, short, examples string, data any) *flags.Command {
	c, err := p.AddCommand(name, short, short+".\n\nExamples:\n"+examples, data)
	if err != nil {
		panic(err)
	}
	return c
}

func (a *App) addCommands(p *flags.Parser) {
	addSubcommand(p, "submit", "Submit a job and wait for its answer", submitExamples, &submitCommand{app: a})
	addSubcommand(p, "cancel", "Cancel a job", cancelExamples, &cancelCommand{app: a})
	addSubcommand(p, "status", "Show the deployment, or one job", statusExamples, &statusCommand{app: a})
	addSubcommand(p, "explain", "Show what was decided about a job, and why", explainExamples, &explainCommand{app: a})
	addSubcommand(p, "explain-logs", "Show what the logs of all processes say of one restartable job", explainLogsExamples, &explainLogsCommand{app: a})
	addSubcommand(p, "unserved-logs", "Count the restartable jobs that gateways did not complete, by what bound them", unservedLogsExamples, &unservedLogsCommand{app: a})
	a.addDocumentCommands(p)
	addSubcommand(p, "drain", "Stop or resume new work for a target or an availability zone", drainExamples, &drainCommand{app: a})
	addSubcommand(p, "local", "Run a whole deployment in this process and submit a job to it", localExamples, &localCommand{app: a})
}

// exit prints err, or the help text that it carries, and returns the exit code.
func (a *App) exit(err error) int {
	var coded *exitError
	var usage *flags.Error
	var list findings.List
	switch {
	case err == nil:
		return ExitOK
	case flags.WroteHelp(err):
		fmt.Fprintln(a.Stdout, err)
		return ExitOK
	case errors.As(err, &coded):
		a.errorf("%v", coded.err)
		return coded.code
	case errors.As(err, &usage):
		a.errorf("%v\nSee rhubarbsail --help.", err)
		return ExitInvalid
	case errors.As(err, &list):
		a.printFindings(list)
		return ExitInvalid
	}
	a.errorf("%v", err)
	return ExitFailed
}

func (a *App) errorf(format string, args ...any) {
	fmt.Fprintf(a.Stderr, "rhubarbsail: "+format+"\n", args...)
}

func (a *App) printFindings(list findings.List) {
	for _, f := range list {
		fmt.Fprintln(a.Stderr, f)
	}
	a.errorf("%d findings; the request had no effect", len(list))
}

// noArguments returns an error if there are positional arguments that the
// subcommand does not accept.
func noArguments(args []string) error {
	if len(args) > 0 {
		return exitf(ExitInvalid, "unexpected argument %q", args[0])
	}
	return nil
}
