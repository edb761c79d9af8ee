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

func count(b *bytes.Buffer, e events.Event) int {
	return strings.Count(b.String(), fmt.Sprintf(`"event":%d,`, e.ID))
}

// An overload is one alert, not one for each refused request.
func TestOverloadIsLoggedOnce(t *testing.T) {
	var b bytes.Buffer
	l := newAnswerLog(zerolog.New(&b))
	refused := model.Failed(model.RunNotRun, model.ReasonOverload, "")
	for _, c := range []struct {
		after          time.Duration
		answer         model.Answer
		started, ended int
	}{
		{0, complete(), 0, 0},
		{time.Second, refused, 1, 0},
		{2 * time.Second, refused, 1, 0},
		{overloadQuiet, complete(), 1, 0},
		{2*time.Second + overloadQuiet, complete(), 1, 0},
		{3*time.Second + overloadQuiet, complete(), 1, 1},
		{4*time.Second + overloadQuiet, refused, 2, 1},
	} {
		l.answered(testNow.Add(c.after), model.JobKey{}, c.answer)
		if s, e := count(&b, events.OverloadStarted), count(&b, events.OverloadEnded); s != c.started || e != c.ended {
			t.Errorf("after %s: %d started, %d ended", c.after, s, e)
		}
	}
}

func complete() model.Answer { return model.Answer{State: model.RunComplete} }

// The loss of many outcomes at once must not flood the log, and each omitted
// line must be accounted for.
func TestLostOutcomesAreLimited(t *testing.T) {
	var b bytes.Buffer
	l := newAnswerLog(zerolog.New(&b))
	lost := model.Failed(model.RunMayHaveRun, model.ReasonOutcomeLost, "")
	for range 100 {
		l.answered(testNow, model.JobKey{Client: "c", Key: "k"}, lost)
	}
	if n := count(&b, events.OutcomeLost); n != lostPerSecond {
		t.Fatalf("%d lines", n)
	}
	l.answered(testNow.Add(time.Second), model.JobKey{}, lost)
	if !strings.Contains(b.String(), `"omitted":90`) {
		t.Fatalf("90 omitted lines are missing in %s", &b)
	}
	l.answered(testNow.Add(time.Hour), model.JobKey{}, model.Failed(model.RunMayHaveRun, model.ReasonTaskFailed, ""))
	if n := count(&b, events.OutcomeLost); n != lostPerSecond+1 {
		t.Fatalf("a failed task was logged as a lost outcome")
	}
}
