package httpapi

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/model"
)

const (
	// overloadQuiet is the time without a refusal after which an overload counts
	// as ended; a shorter one would log each burst.
	overloadQuiet = 10 * time.Second
	// lostPerSecond bounds the log lines about lost outcomes, of which the loss
	// of an availability zone makes thousands at once.
	lostPerSecond = 10
)

// answerLog logs answers that operators look for. Its methods may be called
// from several goroutines.
type answerLog struct {
	log zerolog.Logger

	mu sync.Mutex // owns the fields below
	// refused is the time of the last refusal for overload, or zero.
	refused time.Time
	lost    *rate.Limiter
	// omitted counts lost outcomes since the last log line about one.
	omitted int
}

func newAnswerLog(log zerolog.Logger) *answerLog {
	return &answerLog{log: log, lost: rate.NewLimiter(lostPerSecond, lostPerSecond)}
}

func (l *answerLog) answered(now time.Time, key model.JobKey, a model.Answer) {
	l.overload(now, a.Reason == model.ReasonOverload)
	if a.State == model.RunComplete {
		return
	}
	events.JobFailed.Log(l.log).Str("client", key.Client).Str("key", key.Key).
		Str("run_state", a.State.String()).Str("reason", string(a.Reason)).Send()
	if a.State == model.RunMayHaveRun && (a.Reason == model.ReasonOutcomeLost || a.Reason == model.ReasonOwnerChanged) {
		l.outcomeLost(now, key, a)
	}
}

func (l *answerLog) overload(now time.Time, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case refused && l.refused.IsZero():
		events.OverloadStarted.Log(l.log).Send()
	case !refused && !l.refused.IsZero() && now.Sub(l.refused) > overloadQuiet:
		events.OverloadEnded.Log(l.log).Send()
		l.refused = time.Time{}
	}
	if refused {
		l.refused = now
	}
}

func (l *answerLog) outcomeLost(now time.Time, key model.JobKey, a model.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost.AllowN(now, 1) {
		l.omitted++
		return
	}
	events.OutcomeLost.Log(l.log).Str("client", key.Client).Str("key", key.Key).
		Str("reason", string(a.Reason)).Int("omitted", l.omitted).Send()
	l.omitted = 0
}
