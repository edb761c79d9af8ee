package httpapi

import (
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/rhubarbsail/rhubarbsail/common/findings"
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

// decoded is a job with the places that a later refusal names.
type decoded struct {
	job model.Job
	// reason and findings are set if the body is not valid.
	reason   model.Reason
	findings []Finding
	// client and service are the places of these keys in the body.
	client, service findings.Place
}

// decodeJob decodes and checks a body.
func decodeJob(data []byte, limits Limits, now time.Time) decoded {
	var b jobBody
	check := &jobCheck{limits: limits, now: now}
	doc := strictjson.Decode("", data, &b, strictjson.Options{
		MaxItems: limits.TasksPerJob,
		MaxBytes: limits.PayloadBytes,
		Check:    check.check,
	})
	if len(doc.Faults) > 0 {
		return decoded{reason: check.reason(len(doc.Faults)), findings: findingsOf(doc.Faults)}
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
	return decoded{job: job, client: check.client, service: check.service}
}

// refusalFindings returns the place in the body of what the request path
// refused.
func (d decoded) refusalFindings(a model.Answer) []Finding {
	switch a.Reason {
	case model.ReasonUnknownClient:
		return findingsOf(findings.List{{Place: d.client, Message: a.Message}})
	case model.ReasonUnknownService:
		return findingsOf(findings.List{{Place: d.service, Message: a.Message}})
	}
	return nil
}

// jobCheck holds the rules that depend on limits and clock.
type jobCheck struct {
	limits Limits
	now    time.Time
	// future is true if submitted_at is too far ahead.
	future          bool
	client, service findings.Place
}

// reason returns the reason of a body with the given number of findings.
func (c *jobCheck) reason(findings int) model.Reason {
	if c.future && findings == 1 {
		return model.ReasonClock
	}
	return model.ReasonInvalid
}

func (c *jobCheck) check(value any, at strictjson.Located) {
	b, ok := value.(*jobBody)
	if !ok {
		return
	}
	c.client, c.service = at.Place("client"), at.Place("service")
	c.name("client", b.Client, at)
	c.name("key", b.Key, at)
	c.name("service", b.Service, at)
	if t := b.TimeoutMS; t != nil {
		lo, hi := c.limits.TimeoutMin.Milliseconds(), c.limits.TimeoutMax.Milliseconds()
		if *t < lo || *t > hi {
			at.Report("timeout_ms", fmt.Sprintf("%d is out of bounds; want %d to %d", *t, lo, hi))
		}
	}
	if ahead := b.SubmittedAt.Sub(c.now); ahead > c.limits.MaxClockSkew {
		c.future = true
		at.Report("submitted_at", fmt.Sprintf("%s ahead of the gateway's clock; at most %s is allowed",
			ahead.Round(time.Millisecond), c.limits.MaxClockSkew))
	}
}

// name refuses names that are too long for the tables and logs they go into,
// and characters that could make two names look alike.
func (c *jobCheck) name(member, s string, at strictjson.Located) {
	if len(s) > c.limits.NameBytes {
		at.Report(member, fmt.Sprintf("%d bytes long; at most %d are allowed", len(s), c.limits.NameBytes))
	}
	if i := strings.IndexFunc(s, notInName); i >= 0 {
		at.Report(member, fmt.Sprintf("character %q at byte %d is not allowed in a name", firstRune(s[i:]), i))
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
