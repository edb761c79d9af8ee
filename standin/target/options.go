// Package target is a stand-in for a target: it takes tasks from its agent over
// HTTP, keeps them busy for the time that their payload asks for, and records each
// start. Its record is the judge of at-most-once in process tests. It is never
// linked into gateway or agent.
package target

import (
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
)

// Options are the settings of a stand-in target. Zero values take the defaults.
type Options struct {
	// Target and Service are announced to the agent; required.
	Target, Service string
	// Listen is the host:port for requests.
	Listen string
	// Advertise is the host:port given to the agent; default is the address of the
	// listener.
	Advertise string
	// AgentURL is the URL at which the agent takes announcements; without it the
	// target does not announce itself.
	AgentURL string
	// HeartbeatInterval bounds the time between two announcements; default 500 ms.
	// The agent may ask for a shorter one.
	HeartbeatInterval time.Duration
	// Slots is the number of tasks that run at a time, others wait; default 8.
	Slots int
	// Connections is the number of open connections, others are closed; default
	// 64. One more is taken, for readers of the record.
	Connections int
	// Run is the run time at speed 1 of a task whose payload gives none.
	Run time.Duration
	// Speed divides the run time of a task; default 1.
	Speed float64
	// FailRatio is the share of tasks that fail after their run time, from 0 to 1.
	FailRatio float64
	// RecordLimit bounds the tasks in the record; default 1,000,000.
	RecordLimit int
	// Listener replaces listening on Listen.
	Listener net.Listener
	Log      zerolog.Logger
}

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultHeartbeat   = 500 * time.Millisecond
	defaultRecordLimit = 1_000_000
	// maxRun bounds the run time that a payload can ask for.
	maxRun = 10 * time.Minute
	// bodyLimit bounds a payload in bytes.
	bodyLimit = 1 << 20
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

// Mode is the way in which the target treats tasks.
type Mode string

// The modes.
const (
	// ModeNormal runs tasks at the target's speed.
	ModeNormal Mode = "normal"
	// ModeStraggle multiplies the run time by a factor.
	ModeStraggle Mode = "straggle"
	// ModeFail answers each task at once with an error.
	ModeFail Mode = "fail"
	// ModeHang never answers.
	ModeHang Mode = "hang"
	// ModeLeave announces to the agent that the target leaves, and runs what it
	// still gets.
	ModeLeave Mode = "leave"
)

// ModeChange is the body of PUT /v1/mode.
type ModeChange struct {
	Mode Mode `json:"mode"`
	// Factor of ModeStraggle; at least 1.
	Factor float64 `json:"factor,omitempty"`
}

func (m ModeChange) check() error {
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
