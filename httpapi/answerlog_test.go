package httpapi

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
)

func countEvents(b *bytes.Buffer, e events.Event) int {
	return strings.Count(b.String(), fmt.Sprintf(`"event":%d,`, e.ID))
}

// Guards against one alert for each refused request instead of one for each
// overload.
func TestOverloadStartAndEndAreLoggedOnce(t *testing.T) {
	var b bytes.Buffer
	l := newAnswerLog(zerolog.New(&b))
	refused := model.Failed(model.RunNotRun, model.ReasonOverload, "")
	for _, c := range []struct {
		after          time.Duration
		answer         model.Answer
		started, ended int
	}{
		{0, completeAnswer(), 0, 0},
		{time.Second, refused, 1, 0},
		{2 * time.Second, refused, 1, 0},
		{overloadEndDelay, completeAnswer(), 1, 0},
		{2*time.Second + overloadEndDelay, completeAnswer(), 1, 0},
		{3*time.Second + overloadEndDelay, completeAnswer(), 1, 1},
		{4*time.Second + overloadEndDelay, refused, 2, 1},
	} {
		l.record(testNow.Add(c.after), model.JobKey{}, c.answer)
		if s, e := countEvents(&b, events.OverloadStarted), countEvents(&b, events.OverloadEnded); s != c.started || e != c.ended {
			t.Errorf("after %s: %d started, %d ended", c.after, s, e)
		}
	}
}

func completeAnswer() model.Answer { return model.Answer{State: model.RunComplete} }

// Guards against a log that is flooded when many outcomes are lost at once, and
// against omitted lines that are not counted.
func TestLostOutcomeLogLinesAreRateLimited(t *testing.T) {
	var b bytes.Buffer
	l := newAnswerLog(zerolog.New(&b))
	lost := model.Failed(model.RunMayHaveRun, model.ReasonOutcomeLost, "")
	for range 100 {
		l.record(testNow, model.JobKey{Client: "c", Key: "k"}, lost)
	}
	if n := countEvents(&b, events.OutcomeLost); n != maxLostOutcomeLinesPerSecond {
		t.Fatalf("%d lines", n)
	}
	l.record(testNow.Add(time.Second), model.JobKey{}, lost)
	if !strings.Contains(b.String(), `"omitted":90`) {
		t.Fatalf("90 omitted lines are missing in %s", &b)
	}
	l.record(testNow.Add(time.Hour), model.JobKey{}, model.Failed(model.RunMayHaveRun, model.ReasonTaskFailed, ""))
	if n := countEvents(&b, events.OutcomeLost); n != maxLostOutcomeLinesPerSecond+1 {
		t.Fatalf("a failed task was logged as a lost outcome")
	}
}
