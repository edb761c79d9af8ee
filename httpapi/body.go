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

// jobBody is the request body of POST /v1/jobs.
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

// decodedJob is the result of decoding a request body: a job, or the findings of
// an invalid body.
type decodedJob struct {
	job model.Job
	// reason and findings are set if the body is not valid.
	reason   model.Reason
	findings []Finding
	// client and service are the positions of these fields in the body, for a later
	// refusal of their values.
	client, service findings.Place
}

// decodeJob decodes and validates a request body.
func decodeJob(data []byte, limits Limits, now time.Time) decodedJob {
	var b jobBody
	validator := &jobValidator{limits: limits, now: now}
	doc := strictjson.Decode("", data, &b, strictjson.Options{
		MaxItems: limits.TasksPerJob,
		MaxBytes: limits.PayloadBytes,
		Check:    validator.validate,
	})
	if len(doc.Faults) > 0 {
		return decodedJob{reason: validator.reason(len(doc.Faults)), findings: findingsFromList(doc.Faults)}
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
	return decodedJob{job: job, client: validator.client, service: validator.service}
}

// refusalFindings returns the position in the body of the client or service that
// an answer refused as unknown, or nil for other answers.
func (d decodedJob) refusalFindings(a model.Answer) []Finding {
	switch a.Reason {
	case model.ReasonUnknownClient:
		return findingsFromList(findings.List{{Place: d.client, Message: a.Message}})
	case model.ReasonUnknownService:
		return findingsFromList(findings.List{{Place: d.service, Message: a.Message}})
	}
	return nil
}

// jobValidator checks the rules that depend on the limits and the clock.
type jobValidator struct {
	limits Limits
	now    time.Time
	// submittedInFuture is true if submitted_at is too far ahead of the clock.
	submittedInFuture bool
	client, service   findings.Place
}

// reason returns the reason for refusing a body with the given number of
// findings. It blames the clock only if submitted_at is the only finding.
func (c *jobValidator) reason(findingCount int) model.Reason {
	if c.submittedInFuture && findingCount == 1 {
		return model.ReasonClock
	}
	return model.ReasonInvalid
}

// validate reports what is wrong with a decoded job body, and notes the positions
// of the client and the service.
func (c *jobValidator) validate(value any, at strictjson.Located) {
	b, ok := value.(*jobBody)
	if !ok {
		return
	}
	c.client, c.service = at.Place("client"), at.Place("service")
	c.validateName("client", b.Client, at)
	c.validateName("key", b.Key, at)
	c.validateName("service", b.Service, at)
	if t := b.TimeoutMS; t != nil {
		lo, hi := c.limits.TimeoutMin.Milliseconds(), c.limits.TimeoutMax.Milliseconds()
		if *t < lo || *t > hi {
			at.Report("timeout_ms", fmt.Sprintf("%d is out of bounds; want %d to %d", *t, lo, hi))
		}
	}
	if ahead := b.SubmittedAt.Sub(c.now); ahead > c.limits.CallerSkew {
		c.submittedInFuture = true
		at.Report("submitted_at", fmt.Sprintf("%s ahead of the gateway's clock; at most %s is allowed",
			ahead.Round(time.Millisecond), c.limits.CallerSkew))
	}
}

// validateName refuses names that are too long for tables and logs, and
// characters that could make two different names look the same.
func (c *jobValidator) validateName(field, s string, at strictjson.Located) {
	if len(s) > c.limits.NameBytes {
		at.Report(field, fmt.Sprintf("%d bytes long; at most %d are allowed", len(s), c.limits.NameBytes))
	}
	if i := strings.IndexFunc(s, notAllowedInName); i >= 0 {
		at.Report(field, fmt.Sprintf("character %q at byte %d is not allowed in a name", firstRune(s[i:]), i))
	}
}

// notAllowedInName reports whether a character may not be part of a name. It also
// refuses U+FFFD, with which encoding/json replaces an unpaired surrogate, so that
// two different keys could become equal.
func notAllowedInName(r rune) bool {
	return r == unicode.ReplacementChar || !unicode.IsPrint(r)
}

func firstRune(s string) rune {
	for _, r := range s {
		return r
	}
	return 0
}
