package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/wait"
)

const (
	// announceRetry is the delay before a failed announcement is retried.
	announceRetry = 200 * time.Millisecond
	// minHeartbeat prevents a busy loop if the agent replies with a wrong interval.
	minHeartbeat = 10 * time.Millisecond
	// leaveRetry is the polling interval while the agent has requests in flight.
	leaveRetry = 20 * time.Millisecond
	// announceTimeout is the timeout of one request to the agent.
	announceTimeout = time.Second
)

// announcement is the body of the agent's POST /v1/announce.
type announcement struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Address     string `json:"address"`
}

// announceLoop sends an announcement as the heartbeat of the target at the
// interval that the agent asks for, until ctx is done. In ModeLeave it sends leave
// requests instead, until the agent has answered one.
func (t *Target) announceLoop(ctx context.Context) {
	if t.opts.AgentURL == "" {
		return
	}
	leaveAnswered, failing := false, false
	for ctx.Err() == nil {
		pause := announceRetry
		if t.currentMode().Mode == ModeLeave {
			if !leaveAnswered {
				_, leaveAnswered = t.sendLeave()
			}
		} else {
			leaveAnswered = false
			interval, err := t.sendAnnounce(ctx)
			if err == nil {
				pause = interval
			} else if !failing && ctx.Err() == nil {
				t.opts.Log.Warn().Err(err).Msg("announcement to the agent failed")
			}
			failing = err != nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-t.modeChanged:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// sendAnnounce announces the target and returns the delay before the next
// announcement.
func (t *Target) sendAnnounce(ctx context.Context) (time.Duration, error) {
	var reply struct {
		HeartbeatMS int64 `json:"heartbeat_ms"`
	}
	err := t.post(ctx, "/v1/announce", announcement{
		Target: t.opts.Target, Service: t.opts.Service, Slots: t.opts.Slots,
		Connections: t.opts.Connections, Address: t.opts.Advertise,
	}, &reply)
	if err != nil {
		return 0, err
	}
	requested := time.Duration(reply.HeartbeatMS) * time.Millisecond
	return max(min(requested, t.opts.HeartbeatInterval), minHeartbeat), nil
}

// leave repeats the leave request until the agent has no requests in flight to
// this target, does not answer, or ctx is done. One is not enough: a request that
// the agent has already begun may arrive after its first reply.
func (t *Target) leave(ctx context.Context) {
	for ctx.Err() == nil {
		running, answered := t.sendLeave()
		if !answered || running == 0 {
			return
		}
		wait.For(ctx, leaveRetry)
	}
}

// sendLeave tells the agent that the target is leaving. It returns the number of
// requests that the agent has in flight, and whether the agent answered.
func (t *Target) sendLeave() (running int, answered bool) {
	if t.opts.AgentURL == "" {
		return 0, true
	}
	var reply struct {
		Running int `json:"running"`
	}
	if err := t.post(context.Background(), "/v1/leave", struct{}{}, &reply); err != nil {
		t.opts.Log.Warn().Err(err).Msg("leave request to the agent failed")
		return 0, false
	}
	return reply.Running, true
}

// post sends body as JSON to the agent and decodes its reply into reply.
func (t *Target) post(ctx context.Context, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(t.opts.AgentURL, "/")+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: agent answered %s", path, resp.Status)
	}
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}
