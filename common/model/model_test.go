package model

import (
	"testing"
	"time"
)

// A digest that ignored task boundaries would let a different body join a job.
func TestDigestSeparatesTaskBoundaries(t *testing.T) {
	at := time.Unix(1, 0)
	a := Job{Service: "s", SubmittedAt: at, Tasks: []Task{{Payload: []byte("ab")}, {Payload: []byte("c")}}}
	b := Job{Service: "s", SubmittedAt: at, Tasks: []Task{{Payload: []byte("a")}, {Payload: []byte("bc")}}}
	if a.Digest() == b.Digest() {
		t.Fatal("jobs with different tasks have the same digest")
	}
}

// A resubmission may move the deadline and must still be the same job.
func TestDigestIgnoresDeadline(t *testing.T) {
	a := Job{Service: "s", Deadline: time.Unix(5, 0)}
	b := Job{Service: "s", Deadline: time.Unix(9, 0)}
	if a.Digest() != b.Digest() {
		t.Fatal("the deadline changed the digest")
	}
}

// Without a separator, two keys of different clients would share a partition
// input and could collide by construction.
func TestPartitionSeparatesClientAndKey(t *testing.T) {
	if PartitionOf(JobKey{"ab", "c"}, 1<<30) == PartitionOf(JobKey{"a", "bc"}, 1<<30) {
		t.Fatal("client and key are not separated")
	}
}
