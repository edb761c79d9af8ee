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
	// overloadEndDelay is the time without a refusal after which an overload counts
	// as ended. A shorter delay would log each burst as an overload.
	overloadEndDelay = 10 * time.Second
	// maxLostOutcomeLinesPerSecond limits the log lines about lost outcomes. The
	// loss of an availability zone causes thousands of them at once.
	maxLostOutcomeLinesPerSecond = 10
)

// answerLog logs failed jobs, lost outcomes, and the start and end of an
// overload. It is safe for concurrent use.
type answerLog struct {
	log zerolog.Logger

	mu sync.Mutex // guards the fields below
	// lastOverload is the time of the last refusal for overload, or zero if there
	// is no overload.
	lastOverload       time.Time
	lostOutcomeLimiter *rate.Limiter
	// omittedLines counts the lost outcomes that were not logged since the last log
	// line about one.
	omittedLines int
}

func newAnswerLog(log zerolog.Logger) *answerLog {
	return &answerLog{log: log, lostOutcomeLimiter: rate.NewLimiter(maxLostOutcomeLinesPerSecond, maxLostOutcomeLinesPerSecond)}
}

// record logs what an answer shows.
func (l *answerLog) record(now time.Time, key model.JobKey, a model.Answer) {
	l.trackOverload(now, a.Reason == model.ReasonOverload)
	if a.State == model.RunComplete {
		return
	}
	events.JobFailed.Log(l.log).Str("client", key.Client).Str("key", key.Key).
		Str("run_state", a.State.String()).Str("reason", string(a.Reason)).Send()
	if a.State == model.RunMayHaveRun && (a.Reason == model.ReasonOutcomeLost || a.Reason == model.ReasonOwnerChanged) {
		l.logLostOutcome(now, key, a)
	}
}

// trackOverload logs the start of an overload at its first refusal, and its end at
// the first answer that comes more than overloadEndDelay after the last refusal.
func (l *answerLog) trackOverload(now time.Time, overloaded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case overloaded && l.lastOverload.IsZero():
		events.OverloadStarted.Log(l.log).Send()
	case !overloaded && !l.lastOverload.IsZero() && now.Sub(l.lastOverload) > overloadEndDelay:
		events.OverloadEnded.Log(l.log).Send()
		l.lastOverload = time.Time{}
	}
	if overloaded {
		l.lastOverload = now
	}
}

// logLostOutcome logs a lost outcome unless the rate limit is exceeded.
func (l *answerLog) logLostOutcome(now time.Time, key model.JobKey, a model.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lostOutcomeLimiter.AllowN(now, 1) {
		l.omittedLines++
		return
	}
	events.OutcomeLost.Log(l.log).Str("client", key.Client).Str("key", key.Key).
		Str("reason", string(a.Reason)).Int("omitted", l.omittedLines).Send()
	l.omittedLines = 0
}
