// Command standin-target runs a stand-in target with the settings of a JSON file.
package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/daemon"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

func main() {
	os.Exit(daemon.Main("standin-target", &settings.TargetStandin{}, run))
}

func run(ctx context.Context, s *settings.TargetStandin, env daemon.Env) error {
	log, err := events.NewLogger(env.Logs, s.Telemetry.LogLevel, "standin-target", s.ID)
	if err != nil {
		return err
	}
	t, err := target.New(target.Options{
		Target: s.ID, Service: s.Service, Listen: s.ListenAddress, AgentURL: s.AgentURL,
		HeartbeatInterval: s.HeartbeatInterval.Duration(),
		Slots:             int(s.Slots), Connections: int(s.Connections),
		Run: s.Run.Duration(), Speed: s.Speed, FailRatio: s.FailRatio,
		Log: log,
	})
	if err != nil {
		return err
	}
	events.ProcessStarted.Log(log).Send()
	defer events.ProcessStopped.Log(log).Send()
	if err := t.Run(ctx); err != nil {
		return err
	}
	// Print the record, since it cannot be requested after the process has ended.
	if err := json.NewEncoder(env.Spans).Encode(t.Record(false)); err != nil {
		return errors.Wrap(err, "print record")
	}
	return nil
}
