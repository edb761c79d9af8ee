package harness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// exitTimeout bounds the wait for a process to exit after SIGTERM.
const exitTimeout = 60 * time.Second

// buffer collects the output of a process; mu guards data.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Process is one daemon. It can be started again after it has exited; its output is
// appended to that of the earlier runs.
type Process struct {
	Name           string
	program        string
	args, env      []string
	stdout, stderr buffer
	// mu guards the fields below.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	pid  int
	// earlierOutput is the length of stdout when the run that was started last began.
	earlierOutput int
}

// NewProcess returns a daemon that has not been started.
func NewProcess(name, program string, args, env []string) *Process {
	return &Process{Name: name, program: program, args: args, env: env}
}

// Start starts the process.
func (p *Process) Start() error {
	cmd := exec.Command(filepath.Join(binaries, p.program), p.args...)
	cmd.Stdout, cmd.Stderr = &p.stdout, &p.stderr
	// Exits on the first data race, so that no test passes with one.
	cmd.Env = append(append(os.Environ(), "GORACE=halt_on_error=1"), p.env...)
	// Kills the daemon if the test process dies without cleanup.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	earlierOutput := len(p.stdout.String())
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.pid, p.earlierOutput = cmd, done, cmd.Process.Pid, earlierOutput
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err, p.pid = err, 0
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// PID returns the id of the running process, or 0 if it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pid
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pid != 0 {
		_ = p.cmd.Process.Signal(s)
	}
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	if done := p.ended(); done != nil {
		<-done
	}
}

func (p *Process) ended() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Terminate sends SIGTERM and waits until the process has exited. It returns an
// error if the exit code is not 0 or the process does not exit within exitTimeout.
func (p *Process) Terminate() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended():
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.err != nil {
			return errors.Wrapf(p.err, "%s after SIGTERM", p.Name)
		}
		return nil
	case <-time.After(exitTimeout):
		return errors.Errorf("%s still running %v after SIGTERM", p.Name, exitTimeout)
	}
}

// Log returns at most the last maxBytes bytes that the process wrote to stderr.
func (p *Process) Log(maxBytes int) string {
	s := p.stderr.String()
	return s[max(0, len(s)-maxBytes):]
}

// Output returns what the process wrote to stdout and stderr.
func (p *Process) Output() (stdout, stderr string) { return p.stdout.String(), p.stderr.String() }

// Ended returns a channel that is closed when the process that was started last has
// exited.
func (p *Process) Ended() <-chan struct{} { return p.ended() }

// Err returns the exit error of the run that ended last, or nil if it exited with
// code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// EndedAtStart reports whether the run that was started last has been ended by a signal
// before it could handle it: by the signal's default action, with nothing logged and so
// nothing served. The platform starts such a process again.
func (p *Process) EndedAtStart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	exit := (*exec.ExitError)(nil)
	if p.pid != 0 || !errors.As(p.err, &exit) || len(p.stdout.String()) > p.earlierOutput {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && (status.Signal() == syscall.SIGTERM || status.Signal() == syscall.SIGHUP)
}
