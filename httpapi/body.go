package httpapi

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/strictjson"
)

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
	Client      string     `json:"client" strict:"required,min=1"`
	Key         string     `json:"key" strict:"required,min=1"`
	Service     string     `json:"service" strict:"required,min=1"`
	SubmittedAt time.Time  `json:"submitted_at" strict:"required"`
	TimeoutMS   *int64     `json:"timeout_ms"`
	Repeatable  *bool      `json:"repeatable"`
	Tasks       []taskBody `json:"tasks" strict:"required,min=1"`
}

type taskBody struct {
	Payload    []byte `json:"payload" strict:"required"`
	ExpectedMS int64  `json:"expected_ms" strict:"min=0,max=3600000"`
}

// decodeJob decodes and checks a body. With findings the job is not valid, and
// the reason says what all of them have in common.
func decodeJob(data []byte, limits Limits, now time.Time, dir Directory) (model.Job, model.Reason, []Finding) {
	var b jobBody
	check := &jobCheck{limits: limits, now: now, dir: dir}
	doc := strictjson.Decode("", data, &b, strictjson.Options{
		MaxItems: limits.TasksPerJob,
		MaxBytes: limits.PayloadBytes,
		Check:    check.check,
	})
	if len(doc.Faults) > 0 {
		return model.Job{}, check.reason(len(doc.Faults)), findingsOf(doc.Faults)
	}
	timeout := limits.TimeoutDefault
	if b.TimeoutMS != nil {
		timeout = time.Duration(*b.TimeoutMS) * time.Millisecond
	}
	job := model.Job{
		Key:         model.JobKey{Client: b.Client, Key: b.Key},
		Service:     b.Service,
		SubmittedAt: b.SubmittedAt,
		Deadline:    now.Add(timeout),
		Repeatable:  b.Repeatable == nil || *b.Repeatable,
		Tasks:       make([]model.Task, len(b.Tasks)),
	}
	for i, t := range b.Tasks {
		job.Tasks[i] = model.Task{Payload: t.Payload, Expected: time.Duration(t.ExpectedMS) * time.Millisecond}
	}
	return job, "", nil
}

// jobCheck holds the rules that depend on limits, clock and configuration.
type jobCheck struct {
	limits Limits
	now    time.Time
	dir    Directory
	// special holds the reasons of findings that have a reason of their own.
	special []model.Reason
}

// reason returns the reason of a body with the given number of findings.
func (c *jobCheck) reason(findings int) model.Reason {
	if len(c.special) != findings || len(slices.Compact(c.special)) != 1 {
		return model.ReasonInvalid
	}
	return c.special[0]
}

func (c *jobCheck) check(value any, report func(member, message string)) {
	b, ok := value.(*jobBody)
	if !ok {
		return
	}
	c.name("client", b.Client, report)
	c.name("key", b.Key, report)
	c.name("service", b.Service, report)
	if t := b.TimeoutMS; t != nil {
		lo, hi := c.limits.TimeoutMin.Milliseconds(), c.limits.TimeoutMax.Milliseconds()
		if *t < lo || *t > hi {
			report("timeout_ms", fmt.Sprintf("%d is out of bounds; want %d to %d", *t, lo, hi))
		}
	}
	if ahead := b.SubmittedAt.Sub(c.now); ahead > c.limits.SubmittedAhead {
		c.special = append(c.special, model.ReasonClock)
		report("submitted_at", fmt.Sprintf("%s ahead of the gateway's clock; at most %s is allowed",
			ahead.Round(time.Millisecond), c.limits.SubmittedAhead))
	}
	if c.dir == nil {
		return
	}
	if b.Client != "" && !c.dir.KnowsClient(b.Client) {
		c.special = append(c.special, model.ReasonUnknownClient)
		report("client", "unknown client")
	}
	if b.Service != "" && !c.dir.KnowsService(b.Service) {
		c.special = append(c.special, model.ReasonUnknownService)
		report("service", "unknown service")
	}
}

// name refuses names that are too long for the tables and logs they go into,
// and characters that could make two names look alike.
func (c *jobCheck) name(member, s string, report func(member, message string)) {
	if len(s) > c.limits.NameBytes {
		report(member, fmt.Sprintf("%d bytes long; at most %d are allowed", len(s), c.limits.NameBytes))
	}
	if i := strings.IndexFunc(s, notInName); i >= 0 {
		report(member, fmt.Sprintf("character %q at byte %d is not allowed in a name", firstRune(s[i:]), i))
	}
}

// notInName also refuses U+FFFD, which encoding/json puts in place of an
// unpaired surrogate, so that two different keys could become equal.
func notInName(r rune) bool {
	return r == unicode.ReplacementChar || !unicode.IsPrint(r)
}

func firstRune(s string) rune {
	for _, r := range s {
		return r
	}
	return 0
}
