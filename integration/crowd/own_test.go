package crowd

import (
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/integration/harness"
)

const (
	// ownBodyBytes is the largest body of a submission to the project's own gateway,
	// ownBodyTotalBytes that of all in progress, and ownConnections the largest number of
	// connections to each API.
	ownBodyBytes      = 1 << 20
	ownBodyTotalBytes = 8 << 20
	ownConnections    = 100
	// ownAgentBytes is what connections to the project's own agent may hold.
	ownAgentBytes = 8 << 20
	// ownClients is the number of clients of each crowd.
	ownClients = 200
	// taskTime is the run time of the task of an ordinary caller.
	taskTime = 20 * time.Millisecond
)

// Guards against a gateway of the project's own interface that answers nobody else, or
// whose memory or descriptors are exhausted, while callers or clients of the operators'
// API send most of a request and stay open.
func TestOwnGateway(t *testing.T) {
	const path, operatorsPath = "/v1/jobs", "/v1/config"
	kinds := []struct {
		name      string
		operators bool
		request   request
	}{
		{"short header lines", false, shortHeaderLines(path)},
		{"whole bodies", false, wholeBody(path, ownBodyBytes)},
		{"announced bodies", false, request{parts: [][]byte{wholeBody(path, ownBodyBytes).parts[0][:headerBytes]}}},
		{"large chunks", false, chunkedBody(path, ownBodyBytes, largeChunkBytes)},
		{"few bytes of a body", false, chunkedBody(path, smallChunkBytes, smallChunkBytes)},
		{"operators, few bytes of a body", true, chunkedBody(operatorsPath, smallChunkBytes, smallChunkBytes)},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			var callers, operators string
			c := harness.Start(t, harness.Options{Gateways: 1, Targets: 1, AdjustGateway: func(s *settings.Gateway) {
				s.Limits.BodyBytes, s.Limits.BodyTotalBytes, s.HTTP.Connections = ownBodyBytes, ownBodyTotalBytes, ownConnections
				callers, operators = s.CallersAddress, s.OperatorsAddress
			}})
			checkAll := func(when string) {
				t.Helper()
				if r := c.Submit(0, harness.NewJob(1, taskTime)); !r.Complete() {
					t.Errorf("%s: %v", when, r)
				}
				if !answers(t, "http://"+operators+"/ready") {
					t.Errorf("%s: the gateway is not ready", when)
				}
			}
			address := callers
			if k.operators {
				address = operators
			}
			checkAll("before the crowd")
			w := startWatch(t, c.Gateways[0], machine)
			crowd := startCrowd(t, address, ownClients, k.request)
			checkAll("while the crowd is there")
			crowd.leave()
			checkAll("after the crowd")
			w.check()
		})
	}
}

// Guards against the same at the listeners of the project's own agent.
func TestOwnAgent(t *testing.T) {
	const announcePath, linkPath = "/v1/announce", "/rhubarbsail.v1.AgentService/Link"
	kinds := []struct {
		name    string
		address func(*settings.Agent) string
		request request
	}{
		{"announce, short header lines", func(s *settings.Agent) string { return s.AnnounceAddress }, shortHeaderLines(announcePath)},
		{"announce, few bytes of a body", func(s *settings.Agent) string { return s.AnnounceAddress }, chunkedBody(announcePath, smallChunkBytes, smallChunkBytes)},
		{"link, connections", func(s *settings.Agent) string { return s.LinkAddress }, shortHeaderLines(linkPath)},
		{"operators, odd header lines", func(s *settings.Agent) string { return s.OperatorsAddress }, oddHeaderLines("/metrics")},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			var agent settings.Agent
			c := harness.Start(t, harness.Options{Gateways: 1, Targets: 1, AdjustAgent: func(s *settings.Agent) {
				s.Clients = settings.Clients{Connections: ownConnections, HeldBytes: ownAgentBytes}
				agent = *s
			}})
			checkAll := func(when string) {
				t.Helper()
				if r := c.Submit(0, harness.NewJob(1, taskTime)); !r.Complete() {
					t.Errorf("%s: %v", when, r)
				}
				if !answers(t, "http://"+agent.OperatorsAddress+"/ready") {
					t.Errorf("%s: the agent is not ready", when)
				}
			}
			checkAll("before the crowd")
			w := startWatch(t, c.Agents[0], machineOfOwnAgent)
			crowd := startCrowd(t, k.address(&agent), headerClients, k.request)
			checkAll("while the crowd is there")
			crowd.leave()
			checkAll("after the crowd")
			w.check()
		})
	}
}
