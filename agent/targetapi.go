package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/rhubarbsail/rhubarbsail/agent/ledger"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
)

// Limits for an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	maxSlots             = 1 << 12
	maxConnections       = 1 << 16
)

// heartbeatsPerExpiry is the number of announcements that a target sends within
// Options.HeartbeatExpiry.
const heartbeatsPerExpiry = 3

// Announcement is the body of POST /v1/announce, which a target sends repeatedly as
// its heartbeat.
type Announcement struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Address is the host:port on which the target accepts requests.
	Address string `json:"address"`
}

func (n Announcement) check() error {
	if n.Target == "" || n.Service == "" {
		return errors.New("target or service is empty")
	}
	if n.Slots < 1 || n.Slots > maxSlots {
		return errors.Errorf("slots is %d, allowed 1 to %d", n.Slots, maxSlots)
	}
	if n.Connections < 1 || n.Connections > maxConnections {
		return errors.Errorf("connections is %d, allowed 1 to %d", n.Connections, maxConnections)
	}
	if _, _, err := net.SplitHostPort(n.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	return nil
}

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	// HeartbeatMS is the interval in milliseconds at which the target must repeat
	// its announcement.
	HeartbeatMS int64 `json:"heartbeat_ms"`
}

// LeaveReply is the response to POST /v1/leave.
type LeaveReply struct {
	// Running is the number of requests that the target still has to finish. Some
	// may not have reached the target yet, so it must keep listening and repeat the
	// call until Running is 0.
	Running int `json:"running"`
}

// targetState is what the agent knows about its target. Agent.mu guards it.
type targetState struct {
	name, service      string
	address            string
	slots, connections int
	client             *targetClient
	// present is true from an announcement until the target leaves or its heartbeat
	// expires.
	present bool
	// left is true from POST /v1/leave until the next accepted announcement.
	left bool
	// expiresAt is the time at which the heartbeat expires.
	expiresAt time.Duration
	// rejoinAfter is the time before which a target that left cannot announce itself
	// again: a heartbeat sent before the leave request may arrive after it.
	rejoinAfter time.Duration
}

var errLeft = errors.New("the target has left; announce again later")

// announceTarget handles an announcement of the target.
func (a *Agent) announceTarget(n Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, t := a.now(), &a.target
	if a.stopping || t.left && now < t.rejoinAfter {
		return errLeft
	}
	known := t.present && t.name == n.Target && t.service == n.Service &&
		t.address == n.Address && t.slots == n.Slots && t.connections == n.Connections
	t.expiresAt = now + a.opts.HeartbeatExpiry
	if known {
		return nil
	}
	if t.client == nil || t.address != n.Address || t.connections != n.Connections {
		if t.client != nil {
			t.client.http.CloseIdleConnections()
		}
		t.client = a.newTargetClient(n.Address, n.Connections)
	}
	if t.service != n.Service && t.service != "" {
		a.dropQueue(now, ledger.NoTarget)
	}
	t.name, t.service, t.address = n.Target, n.Service, n.Address
	t.slots, t.connections = n.Slots, n.Connections
	t.present, t.left = true, false
	events.TargetAnnounced.Log(a.log).Str("target", n.Target).Str("service", n.Service).
		Int("slots", n.Slots).Int("connections", n.Connections).Str("address", n.Address).Send()
	a.dispatch(now)
	a.notifyLoad()
	a.triggerAnnounce()
	return nil
}

// leaveTarget marks the target as left, drops the queue and reports this to all
// gateways. It returns the number of running tasks.
func (a *Agent) leaveTarget() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	again := a.target.left
	a.target.left, a.target.present = true, false
	a.target.rejoinAfter = now + a.opts.HeartbeatExpiry
	if again {
		return len(a.running)
	}
	a.dropQueue(now, ledger.Leaving)
	a.notifyLoad()
	events.TargetLeft.Log(a.log).Str("target", a.target.name).Int("running", len(a.running)).Send()
	return len(a.running)
}

// expireTarget marks the target as gone and drops the queue if its heartbeat has
// expired.
func (a *Agent) expireTarget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if !a.target.present || now < a.target.expiresAt {
		return
	}
	a.target.present = false
	a.dropQueue(now, ledger.NoTarget)
	a.notifyLoad()
	events.TargetSilent.Log(a.log).Str("target", a.target.name).Dur("expiry_ms", a.opts.HeartbeatExpiry).Send()
}

// watchTarget checks for an expired heartbeat until ctx ends.
func (a *Agent) watchTarget(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, a.opts.HeartbeatExpiry/heartbeatsPerExpiry)
		a.expireTarget()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target.client != nil {
		a.target.client.http.CloseIdleConnections()
	}
}

// targetServer returns the HTTP server for the API that the target uses.
func (a *Agent) targetServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/v1/announce", a.postAnnounce)
	e.POST("/v1/leave", func(c echo.Context) error {
		return c.JSON(http.StatusOK, LeaveReply{Running: a.leaveTarget()})
	})
	e.GET("/live", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	return &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (a *Agent) postAnnounce(c echo.Context) error {
	var n Announcement
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "announcement: "+err.Error())
	}
	if err := n.check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "announcement: "+err.Error())
	}
	if err := a.announceTarget(n); err != nil {
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	interval := a.opts.HeartbeatExpiry / heartbeatsPerExpiry
	return c.JSON(http.StatusOK, AnnounceReply{HeartbeatMS: interval.Milliseconds()})
}
