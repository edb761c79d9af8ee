// Package target is a stand-in for a target. It takes tasks from its agent over
// HTTP, waits for the run time that their payload asks for, and records each
// start. Tests that start processes check at-most-once execution against this
// record. The package is never linked into gateway or agent.
package target

import (
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// Options are the settings of a stand-in target. Zero values mean the defaults.
type Options struct {
	// Target and Service are announced to the agent; required.
	Target, Service string
	// Listen is the host:port on which the target accepts requests.
	Listen string
	// Advertise is the host:port announced to the agent; default is the address of
	// the listener.
	Advertise string
	// AgentURL is the base URL of the agent's API for targets; if it is empty, the
	// target does not announce itself.
	AgentURL string
	// HeartbeatInterval is the maximum time between two announcements; default
	// 500 ms. The agent may ask for a shorter one.
	HeartbeatInterval time.Duration
	// Slots is the number of tasks that run concurrently; others wait. Default 8.
	Slots int
	// Connections is the maximum number of open connections; others are closed.
	// Default 64. One more is accepted, for reading the record.
	Connections int
	// Run is the run time at speed 1 of a task whose payload specifies none.
	Run time.Duration
	// Speed divides the run time of a task; default 1.
	Speed float64
	// FailRatio is the fraction of tasks that fail after their run time, from 0 to 1.
	FailRatio float64
	// RecordLimit is the maximum number of tasks in the record; default 1,000,000.
	RecordLimit int
	// Listener is used instead of listening on Listen, if set.
	Listener net.Listener
	Log      zerolog.Logger
}

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultHeartbeat   = 500 * time.Millisecond
	defaultRecordLimit = 1_000_000
	// maxRun is the maximum run time of a task.
	maxRun = 10 * time.Minute
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
)

func (o Options) withDefaults() (Options, error) {
	if o.Target == "" || o.Service == "" {
		return o, errors.New("target or service is empty")
	}
	if o.Listen == "" && o.Listener == nil {
		return o, errors.New("listen address is empty")
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = defaultHeartbeat
	}
	if o.Speed <= 0 {
		o.Speed = 1
	}
	if o.RecordLimit <= 0 {
		o.RecordLimit = defaultRecordLimit
	}
	return o, nil
}

// Mode determines how the target handles tasks; it simulates faulty targets.
type Mode string

// The modes.
const (
	// ModeNormal runs tasks at the target's speed.
	ModeNormal Mode = "normal"
	// ModeStraggle multiplies the run time by a factor.
	ModeStraggle Mode = "straggle"
	// ModeFail fails each task without running it.
	ModeFail Mode = "fail"
	// ModeHang never answers a task.
	ModeHang Mode = "hang"
	// ModeLeave tells the agent that the target is leaving, and runs the tasks
	// that still arrive.
	ModeLeave Mode = "leave"
)

// ModeChange is the body of PUT /v1/mode.
type ModeChange struct {
	Mode Mode `json:"mode"`
	// Factor multiplies the run time in ModeStraggle; at least 1.
	Factor float64 `json:"factor,omitempty"`
}

func (m ModeChange) validate() error {
	switch m.Mode {
	case ModeNormal, ModeFail, ModeHang, ModeLeave:
		return nil
	case ModeStraggle:
		if m.Factor < 1 {
			return errors.Errorf("factor is %v, want at least 1", m.Factor)
		}
		return nil
	}
	return errors.Errorf("unknown mode %q", m.Mode)
}
