// Command rhubarbsail is the command-line tool for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/mattn/go-isatty"

	"github.com/rhubarbsail/rhubarbsail/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := &command.App{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Terminal:   isatty.IsTerminal(os.Stderr.Fd()),
		StartLocal: startLocal,
	}
	if u, err := user.Current(); err == nil {
		app.Operator = u.Username
	}
	code := app.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
