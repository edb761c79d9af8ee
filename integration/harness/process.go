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

// exitTimeout bounds the wait for the end of a process after a planned stop.
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

// Process is one daemon. It can be started again after its end; the log goes on.
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
}

// NewProcess returns a daemon that has not been started.
func NewProcess(name, program string, args, env []string) *Process {
	return &Process{Name: name, program: program, args: args, env: env}
}

// Start starts the process.
func (p *Process) Start() error {
	cmd := exec.Command(filepath.Join(binaries, p.program), p.args...)
	cmd.Stdout, cmd.Stderr = &p.stdout, &p.stderr
	// A race that the detector reports ends the process, so that no test passes
	// with one.
	cmd.Env = append(append(os.Environ(), "GORACE=halt_on_error=1"), p.env...)
	// Ends the daemon if the test process dies without its cleanup.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.pid = cmd, done, cmd.Process.Pid
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

// PID returns the id of the running process, or 0.
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

// Pause stops the process by SIGSTOP, Resume continues it.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill ends the process by SIGKILL and waits for its end.
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

// Terminate sends SIGTERM and waits for the end. An exit code other than 0 or
// no end in time is an error.
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
		return errors.Errorf("%s runs %v after SIGTERM", p.Name, exitTimeout)
	}
}

// Log returns the last bytes of what the process wrote to stderr.
func (p *Process) Log(most int) string {
	s := p.stderr.String()
	return s[max(0, len(s)-most):]
}

// Output returns what the process wrote to stdout and stderr.
func (p *Process) Output() (stdout, stderr string) { return p.stdout.String(), p.stderr.String() }

// Ended is closed at the end of the process that was started last.
func (p *Process) Ended() <-chan struct{} { return p.ended() }

// Err returns how the process that was started last has ended.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}
