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
	// announceRetry is the wait after an announcement that failed.
	announceRetry = 200 * time.Millisecond
	// minHeartbeat keeps a wrong reply of the agent from causing a busy loop.
	minHeartbeat = 10 * time.Millisecond
	// leaveRetry is the wait while the agent has requests that have not ended.
	leaveRetry = 20 * time.Millisecond
	// announceTimeout bounds one request to the agent.
	announceTimeout = time.Second
)

type announcement struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Address     string `json:"address"`
}

// announceLoop announces the target as its heartbeat until ctx ends. In
// ModeLeave it tells the agent once that the target leaves.
func (t *Target) announceLoop(ctx context.Context) {
	if t.opts.AgentURL == "" {
		return
	}
	left, failing := false, false
	for ctx.Err() == nil {
		pause := announceRetry
		if t.currentMode().Mode == ModeLeave {
			if !left {
				_, left = t.sendLeave()
			}
		} else {
			left = false
			interval, err := t.sendAnnounce(ctx)
			if err == nil {
				pause = interval
			} else if !failing && ctx.Err() == nil {
				t.opts.Log.Warn().Err(err).Msg("the agent did not take the announcement")
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
	asked := time.Duration(reply.HeartbeatMS) * time.Millisecond
	return max(min(asked, t.opts.HeartbeatInterval), minHeartbeat), nil
}

// leave tells the agent that the target leaves until the agent has nothing
// running there, does not answer, or ctx ends: a request that the agent has begun
// may arrive after its first reply.
func (t *Target) leave(ctx context.Context) {
	for ctx.Err() == nil {
		running, known := t.sendLeave()
		if !known || running == 0 {
			return
		}
		wait.For(ctx, leaveRetry)
	}
}

// sendLeave tells the agent that the target leaves. It returns the number of
// requests that the agent has begun and that have not ended, and whether the agent
// answered.
func (t *Target) sendLeave() (running int, known bool) {
	if t.opts.AgentURL == "" {
		return 0, true
	}
	var reply struct {
		Running int `json:"running"`
	}
	if err := t.post(context.Background(), "/v1/leave", struct{}{}, &reply); err != nil {
		t.opts.Log.Warn().Err(err).Msg("the agent was not told that the target leaves")
		return 0, false
	}
	return reply.Running, true
}

func (t *Target) post(ctx context.Context, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(t.opts.AgentURL, "/")+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "request")
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
