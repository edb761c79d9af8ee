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

// operatorTimeout bounds a request to the operators' API, a stand-in's record or
// its faults.
const operatorTimeout = 15 * time.Second

var operators = &http.Client{Timeout: operatorTimeout}

// StatusError is an HTTP answer other than 2xx.
type StatusError struct {
	Code int
	Body httpapi.ErrorBody
	Text string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Text) }

// request sends JSON and decodes the answer into reply, which may be nil.
func request(ctx context.Context, method, url string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operators.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read")
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

func (c *Cluster) operator(i int, path string) string {
	return "http://" + c.gateways[i].OperatorsAddress + path
}

// Status returns what a gateway sees.
func (c *Cluster) Status(i int) (st httpapi.Status, err error) {
	err = request(context.Background(), http.MethodGet, c.operator(i, "/v1/status"), nil, &st)
	return st, err
}

// ConfigVersion returns the version of the configuration at a gateway.
func (c *Cluster) ConfigVersion(i int) (uint64, error) {
	var v struct{ Version uint64 }
	err := request(context.Background(), http.MethodGet, c.operator(i, "/v1/config"), nil, &v)
	return v.Version, err
}

// ChangeConfig publishes the deployment's configuration at a gateway.
func (c *Cluster) ChangeConfig(ctx context.Context, i int, base uint64, operator string) (uint64, error) {
	inv, rules := c.Config()
	var v httpapi.VersionBody
	err := request(ctx, http.MethodPut, c.operator(i, "/v1/config"),
		map[string]any{"base": base, "operator": operator, "inventory": inv, "rules": rules}, &v)
	return v.Version, err
}

// Drain stops or resumes new work for a target through a gateway.
func (c *Cluster) Drain(i, target int, drain bool) error {
	method := http.MethodPost
	if !drain {
		method = http.MethodDelete
	}
	return request(context.Background(), method, c.operator(i, "/v1/targets/"+targetName(target)+"/drain"), nil, nil)
}

// LogFaults replaces the faults of the log.
func (c *Cluster) LogFaults(f logserver.FaultsBody) {
	c.t.Helper()
	if err := request(context.Background(), http.MethodPost, "http://"+c.logAddress+"/v1/faults", f, nil); err != nil {
		c.t.Fatal(err)
	}
}

// TargetMode changes how a target treats tasks.
func (c *Cluster) TargetMode(i int, m target.ModeChange) {
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

// KillTarget ends a target by SIGKILL. Its record is read before, so that only
// the starts of the last moment are missing.
func (c *Cluster) KillTarget(i int) {
	c.t.Helper()
	r, err := c.TargetRecord(i)
	if err != nil {
		c.t.Fatal(err)
	}
	c.Targets[i].Kill()
	c.keep(r)
	c.lost = true
}

// TerminateTarget ends a target by SIGTERM and keeps the record that it prints
// at its end.
func (c *Cluster) TerminateTarget(i int) error {
	if err := c.Targets[i].Terminate(); err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(c.Targets[i].stdout.String()), "\n")
	var r target.Record
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &r); err != nil {
		return errors.Wrapf(err, "record that %s printed at its end", c.Targets[i].Name)
	}
	c.keep(r)
	return nil
}

func (c *Cluster) keep(r target.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = append(c.kept, r)
}

// ContainsRace tells whether the race detector has reported to a log.
func ContainsRace(log string) bool { return strings.Contains(log, "WARNING: DATA RACE") }
