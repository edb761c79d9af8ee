// Package control keeps the control state of a gateway: one goroutine tails
// the control stream, applies its records and publishes snapshots.
package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/platform"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// ErrStopped means that the loop has ended.
var ErrStopped = errors.New("control loop stopped")

// Options configures a Loop. Zero durations and counts take the defaults.
type Options struct {
	// Log, Stream and Writer (the gateway's id) are required.
	Log    platform.Log
	Stream string
	Writer string
	// Retention is passed to the state machine; the same in all gateways.
	Retention time.Duration
	// LogRetention is the time for which the log keeps records.
	LogRetention time.Duration
	// PeerState returns the encoded snapshot of a peer gateway and its offset,
	// for a process that cannot read the log. It may be nil.
	PeerState func(ctx context.Context) (offset uint64, snapshot []byte, err error)
	// ShouldSnapshot reports whether this gateway writes the snapshots at the
	// moment. It may be nil for never.
	ShouldSnapshot func() bool
	// SnapshotEvery is the number of records after which a snapshot is due.
	SnapshotEvery int
	// PollWait is the time that one long poll waits for records.
	PollWait time.Duration
	// AppendTimeout bounds one attempt to append.
	AppendTimeout time.Duration
	// BatchWait is the time for which agent announcements are collected.
	BatchWait time.Duration
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// Report receives notable events; it may be nil and must not block.
	Report func(Event)
}

// Loop owns the state machine and publishes its snapshots.
type Loop struct{}

// New returns a loop; Run starts it.
func New(opts Options) *Loop { return &Loop{} }

// Run tails the stream until the context ends.
func (l *Loop) Run(ctx context.Context) error { return nil }

// Snapshot returns the newest state. It is never nil.
func (l *Loop) Snapshot() *state.Snapshot { return nil }

// Subscribe returns a channel that receives a value after each change of the
// snapshot; several changes may give one value. The function ends the
// subscription.
func (l *Loop) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

// Ready is closed once the state was read to the end of the log, or loaded
// from a peer.
func (l *Loop) Ready() <-chan struct{} { return nil }

// Status returns the state of the tail.
func (l *Loop) Status() Status { return Status{} }

// Append writes a record and returns once it was read back and applied.
//
// The result may be a rejection; Result.Err tells. An error that wraps
// platform.ErrUnavailable means that the record is not in the log, one that
// wraps platform.ErrUnknownOutcome that it may be or may yet arrive.
func (l *Loop) Append(ctx context.Context, kind state.Kind, body any) (state.Result, error) {
	return state.Result{}, ErrStopped
}

// Join records the gateway as a member.
func (l *Loop) Join(ctx context.Context, g state.Gateway) error { return ErrStopped }

// Leave records that the incarnation of a gateway, own or crashed, is gone.
func (l *Loop) Leave(ctx context.Context, id string, inc model.Incarnation) error { return ErrStopped }

// Claim writes a claim; the result lists the partitions won and lost.
func (l *Loop) Claim(ctx context.Context, c state.Claim) (state.Result, error) {
	return state.Result{}, ErrStopped
}

// AgentJoined records an agent. Calls at the same time share a record. It
// returns at once if the state lists the same agent already.
func (l *Loop) AgentJoined(ctx context.Context, a state.Agent) error { return ErrStopped }

// AgentLeft records that an incarnation of an agent is gone.
func (l *Loop) AgentLeft(ctx context.Context, a state.AgentLeft) error { return ErrStopped }

// Drain sets or clears an operator's drain of a target.
func (l *Loop) Drain(ctx context.Context, target string, drain bool) error { return ErrStopped }

// ChangeConfig replaces the configuration if base is the version in force and
// returns the new version. It fails with *VersionConflictError if another
// change won.
func (l *Loop) ChangeConfig(ctx context.Context, base uint64, operator string, c *inventory.Config) (uint64, error) {
	return 0, ErrStopped
}
