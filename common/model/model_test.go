package model

import (
	"testing"
	"time"
)

// Guards against a digest that ignores task boundaries: a different body under the
// same key would count as a resubmission of the job.
func TestDigestDependsOnTaskBoundaries(t *testing.T) {
	at := time.Unix(1, 0)
	a := Job{Service: "s", SubmittedAt: at, Tasks: []Task{{Payload: []byte("ab")}, {Payload: []byte("c")}}}
	b := Job{Service: "s", SubmittedAt: at, Tasks: []Task{{Payload: []byte("a")}, {Payload: []byte("bc")}}}
	if a.Digest() == b.Digest() {
		t.Fatal("jobs with different tasks have the same digest")
	}
}

// Guards against a resubmission with a new deadline that counts as another job.
func TestDigestIgnoresDeadline(t *testing.T) {
	a := Job{Service: "s", Deadline: time.Unix(5, 0)}
	b := Job{Service: "s", Deadline: time.Unix(9, 0)}
	if a.Digest() != b.Digest() {
		t.Fatal("the deadline changed the digest")
	}
}

// Guards against a hash of client and key without a separator, for which different
// pairs have the same input.
func TestPartitionHashSeparatesClientAndKey(t *testing.T) {
	if PartitionOf(JobKey{"ab", "c"}, 1<<30) == PartitionOf(JobKey{"a", "bc"}, 1<<30) {
		t.Fatal("the pairs ab/c and a/bc have the same partition")
	}
}
