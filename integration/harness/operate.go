package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/httpapi"
	"github.com/rhubarbsail/rhubarbsail/standin/logserver"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

// operatorTimeout bounds a request to the operators' API of a gateway or to the
// control API of a stand-in.
const operatorTimeout = 15 * time.Second

var operatorClient = &http.Client{Timeout: operatorTimeout}

// StatusError is an HTTP response with a status other than 2xx.
type StatusError struct {
	Code int
	Body httpapi.ErrorBody
	Text string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Text) }

// request sends body as JSON and decodes the response into reply. Both may be nil.
func request(ctx context.Context, method, url string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode/100 != 2 {
		e := &StatusError{Code: resp.StatusCode, Text: string(text)}
		_ = json.Unmarshal(text, &e.Body)
		return e
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(text, reply)
}

func (c *Cluster) operatorURL(i int, path string) string {
	return "http://" + c.gateways[i].OperatorsAddress + path
}

// Status returns the status that a gateway reports of itself and the targets.
func (c *Cluster) Status(i int) (st httpapi.Status, err error) {
	err = request(context.Background(), http.MethodGet, c.operatorURL(i, "/v1/status"), nil, &st)
	return st, err
}

// ConfigVersion returns the version of the configuration in force at a gateway.
func (c *Cluster) ConfigVersion(i int) (uint64, error) {
	var v struct{ Version uint64 }
	err := request(context.Background(), http.MethodGet, c.operatorURL(i, "/v1/config"), nil, &v)
	return v.Version, err
}

// ChangeConfig publishes the deployment's configuration at a gateway as the
// successor of version base, and returns its version.
func (c *Cluster) ChangeConfig(ctx context.Context, i int, base uint64, operator string) (uint64, error) {
	inv, rules := c.Config()
	var v httpapi.VersionBody
	err := request(ctx, http.MethodPut, c.operatorURL(i, "/v1/config"),
		map[string]any{"base": base, "operator": operator, "inventory": inv, "rules": rules}, &v)
	return v.Version, err
}

// Drain sets or clears the drain of a target through a gateway.
func (c *Cluster) Drain(i, target int, drain bool) error {
	return c.drain(i, "/v1/targets/"+targetName(target), drain)
}

// DrainZone sets or clears the drain of a target's availability zone through a gateway.
func (c *Cluster) DrainZone(i, target int, drain bool) error {
	return c.drain(i, "/v1/zones/"+zoneName(target), drain)
}

func (c *Cluster) drain(i int, path string, drain bool) error {
	method := http.MethodPost
	if !drain {
		method = http.MethodDelete
	}
	return request(context.Background(), method, c.operatorURL(i, path+"/drain"), nil, nil)
}

// SetLogFaults replaces the injected faults of the log stand-in.
func (c *Cluster) SetLogFaults(f logserver.FaultsBody) {
	c.t.Helper()
	if err := request(context.Background(), http.MethodPost, "http://"+c.logAddress+"/v1/faults", f, nil); err != nil {
		c.t.Fatal(err)
	}
}

// SetTargetMode changes how a target stand-in runs tasks.
func (c *Cluster) SetTargetMode(i int, m target.ModeChange) {
	c.t.Helper()
	if err := request(context.Background(), http.MethodPut, "http://"+c.targets[i].ListenAddress+"/v1/mode", m, nil); err != nil {
		c.t.Fatal(err)
	}
}

// TargetRecord returns the record of a running target.
func (c *Cluster) TargetRecord(i int) (r target.Record, err error) {
	err = request(context.Background(), http.MethodGet, "http://"+c.targets[i].ListenAddress+"/v1/record", nil, &r)
	return r, err
}

// KillTarget ends a target with SIGKILL. Its record is read before that, so only
// starts between the read and the signal are missing.
func (c *Cluster) KillTarget(i int) {
	c.t.Helper()
	r, err := c.TargetRecord(i)
	if err != nil {
		c.t.Fatal(err)
	}
	c.Targets[i].Kill()
	c.keepRecord(r)
	c.recordsIncomplete = true
}

// TerminateTarget ends a target with SIGTERM and keeps the record that it prints
// when it exits.
func (c *Cluster) TerminateTarget(i int) error {
	if err := c.Targets[i].Terminate(); err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(c.Targets[i].stdout.String()), "\n")
	var r target.Record
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &r); err != nil {
		return errors.Wrapf(err, "decode the record that %s printed on exit", c.Targets[i].Name)
	}
	c.keepRecord(r)
	return nil
}

func (c *Cluster) keepRecord(r target.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedRecords = append(c.endedRecords, r)
}

// ContainsRace reports whether a log contains a report of the race detector.
func ContainsRace(log string) bool { return strings.Contains(log, "WARNING: DATA RACE") }
