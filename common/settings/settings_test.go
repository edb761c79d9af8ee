package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const minimalGateway = `{"id":"g1","availability_zone":"z1","callers_address":"127.0.0.1:7000",
"operators_address":"127.0.0.1:7001","internal_address":"127.0.0.1:7002","platform_log_url":"http://127.0.0.1:7100"`

const minimalAgent = `{"id":"a1","worker":"w1","rack":"r1","availability_zone":"z1","link_address":"127.0.0.1:7200",
"announce_address":"127.0.0.1:7201","operators_address":"127.0.0.1:7202","gateways":["127.0.0.1:7002"],"platform_lease_url":"http://127.0.0.1:7100"`

// Guards against defaults that conflict, which would make every file invalid.
func TestMinimalFilesAreValid(t *testing.T) {
	var g Gateway
	if err := Parse("g.json", []byte(minimalGateway+"}"), &g); err != nil {
		t.Fatal(err)
	}
	if g.Partitions != 64 || g.Timing.PermitLifetime.Duration().Seconds() != 3 || g.Advertised() != "127.0.0.1:7002" {
		t.Errorf("defaults are %+v", g)
	}
	var a Agent
	if err := Parse("a.json", []byte(minimalAgent+"}"), &a); err != nil {
		t.Fatal(err)
	}
}

// Guards against invalid settings with which a daemon starts, and against a fault
// that is reported twice.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, c := range []struct{ name, extra, want string }{
		{"unit in the key", `,"timing":{"permit_lifetime_s":3}`, "3:12: timing.permit_lifetime_s: unknown key; the known key is permit_lifetime_ms"},
		{"unit in the value", `,"timing":{"permit_lifetime_ms":"3s"}`, "timing.permit_lifetime_ms: want an integer"},
		{"too large for the unit", `,"timing":{"permit_lifetime_ms":3000000}`, "out of bounds; want 100 to 60000"},
		{"permit longer than retention", `,"timing":{"permit_lifetime_ms":20000,"retention_ms":15000},"limits":{"job_timeout_max_ms":9000,"job_timeout_default_ms":9000}`,
			"timing.permit_lifetime_ms: 20000 must be less than timing.retention_ms (15000)"},
		{"conflict with a default", `,"timing":{"retention_ms":60000}`, "timing.retention_ms: 60000 conflicts with limits.job_timeout_max_ms (120000 by default)"},
		{"retention longer than the log's", `,"log":{"retention_ms":600000}`, "log.retention_ms: 600000 conflicts with timing.retention_ms"},
		{"probe slower than validity", `,"probing":{"probe_interval_ms":2000}`, "probing.probe_interval_ms: 2000 must be less than timing.validity_ms (2000)"},
		{"shutdown cuts requests", `,"shutdown":{"timeout_ms":1000}`, "shutdown.timeout_ms: 1000 conflicts with limits.job_timeout_max_ms"},
		{"answer after the write timeout", `,"http":{"write_timeout_ms":139000}`, "http.write_timeout_ms: 139000 must be above the sum of http.read_timeout_ms (20000) and limits.job_timeout_max_ms (120000)"},
		{"memory for less than a few bodies", `,"http":{"held_bytes":8388608}`, "http.held_bytes: 8388608 must be at least 4 times limits.body_bytes (8388608)"},
		{"negative memory", `,"http":{"held_bytes":-1}`, "http.held_bytes: -1 is out of bounds; want 0 to 17179869184"},
		{"host name", `,"advertised_address":"gateway-1:7002"`, "is not an address of the form"},
		{"unreachable address", `,"advertised_address":"0.0.0.0:7002"`, "is not an address that others can reach"},
		{"own address as peer", `,"peers":["127.0.0.1:7002"]`, "peers[0]: 127.0.0.1:7002 is this process's own address"},
		{"endpoint without exporter", `,"telemetry":{"trace_endpoint_url":"http://127.0.0.1:4318"}`, "has no effect"},
		{"exporter without endpoint", `,"telemetry":{"trace_exporter":"otlp"}`, "otlp needs telemetry.trace_endpoint_url"},
		{"unknown exporter", `,"telemetry":{"trace_exporter":"zipkin"}`, "want one of none, stdout, otlp"},
		{"duplicate", `,"id":"g2"`, "3:2: id: duplicated key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g Gateway
			err := Parse("g.json", []byte(minimalGateway+"\n"+c.extra+"}"), &g)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
			if l, _ := findingsOf(err); len(l) != 1 {
				t.Errorf("%d findings: %v", len(l), l)
			}
		})
	}
}

// Guards against validation that stops at the first fault: an operator corrects
// all faults of a file at once.
func TestAllFindingsAreReportedTogether(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		t.Fatal(err)
	}
	var a Agent
	err = Parse("faults.json", data, &a)
	goldie.New(t).Assert(t, "faults", []byte(fmt.Sprintln(err)))
}

// Guards against schemas and a page that differ from the settings that the daemons
// read.
func TestSchemasAndPageMatchStructs(t *testing.T) {
	for _, d := range All() {
		schema, err := d.Schema()
		if err != nil {
			t.Fatal(err)
		}
		goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".schema.json")).
			Assert(t, "settings-"+d.Name, schema)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).
		Assert(t, "settings", []byte(Markdown()))
}

// Guards against changed exit codes, on which scripts rely.
func TestFromArgsExitCodes(t *testing.T) {
	dir := t.TempDir()
	valid, invalid := filepath.Join(dir, "valid.json"), filepath.Join(dir, "invalid.json")
	if err := os.WriteFile(valid, []byte(minimalGateway+"}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(invalid, []byte(`{"partitions":0}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		exit   int
		done   bool
		stdout string
		stderr string
	}{
		{[]string{"--settings", valid}, ExitOK, false, "", ""},
		{[]string{"--settings", valid, "--check"}, ExitOK, true, "valid", ""},
		{[]string{"--help"}, ExitOK, true, "--settings", ""},
		{[]string{"--settings", invalid, "--check"}, ExitInvalid, true, "", "invalid.json:1:15: partitions: 0 is out of bounds"},
		{[]string{"--settings", dir + "/absent.json"}, ExitInvalid, true, "", "no such file"},
		{nil, ExitInvalid, true, "", "required flag"},
		{[]string{"--settings", valid, "extra"}, ExitInvalid, true, "", `unexpected argument "extra"`},
	} {
		var stdout, stderr bytes.Buffer
		exit, done := FromArgs("gateway", c.args, &Gateway{}, &stdout, &stderr)
		if exit != c.exit || done != c.done || !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr) {
			t.Errorf("%v: exit %d, done %v, stdout %q, stderr %q", c.args, exit, done, &stdout, &stderr)
		}
	}
}
