// Package model defines the identifiers, jobs and answers that gateways and agents
// share. It does no I/O.
package model

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Partition is one of a fixed number of partitions of the key space. A partition
// has at most one owner at a time.
type Partition uint32

// Epoch identifies a period of ownership of a partition: it is the log offset of
// the owner's claim. Zero means that the partition was never claimed.
type Epoch uint64

// Incarnation identifies one process of a daemon across restarts. It is the Unix
// time in nanoseconds at which the process started.
type Incarnation uint64

// JobKey identifies a job. Key is the client's idempotency key, unique within the
// client.
type JobKey struct {
	Client string `json:"client"`
	Key    string `json:"key"`
}

// String returns client/key, for logs.
func (k JobKey) String() string { return k.Client + "/" + k.Key }

// PartitionOf returns the partition of a key in a key space of count partitions.
func PartitionOf(k JobKey, count int) Partition {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.Client)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.Key)
	return Partition(d.Sum64() % uint64(count))
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobKey
	Index int
}

// String returns the job and the task index, for logs.
func (t TaskID) String() string { return fmt.Sprintf("%s#%d", t.Job, t.Index) }

// Task is one unit of work of a job.
type Task struct {
	// Payload is passed to the target unchanged.
	Payload []byte
	// Expected is the run time that the caller declared, or zero.
	Expected time.Duration
}

// Job is a set of tasks that run in parallel and are answered together.
type Job struct {
	Key     JobKey
	Service string
	// SubmittedAt is the caller's wall-clock time of the first submission. A
	// resubmission carries the same value.
	SubmittedAt time.Time
	// Deadline is the wall-clock time at which the caller stops waiting.
	Deadline time.Time
	// Repeatable is false for work that must run at most once even if it is
	// submitted under another key.
	Repeatable bool
	Tasks      []Task
}

// DigestSize is the size of a Digest in bytes.
const DigestSize = 16

// Digest identifies the content of a job. Two submissions under one key are
// the same job only if their digests are equal.
type Digest [DigestSize]byte

// Digest returns the digest of the service, submission time, repeatable flag and
// tasks. The deadline is left out, since a resubmission may change it.
func (j *Job) Digest() Digest {
	h := sha256.New()
	writeField(h, []byte(j.Service))
	var header [9]byte
	binary.LittleEndian.PutUint64(header[:8], uint64(j.SubmittedAt.UnixNano()))
	if j.Repeatable {
		header[8] = 1
	}
	_, _ = h.Write(header[:])
	for i := range j.Tasks {
		writeField(h, j.Tasks[i].Payload)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// writeField hashes the length of b before b, so that field boundaries count.
func writeField(h hash.Hash, b []byte) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
	_, _ = h.Write(n[:])
	_, _ = h.Write(b)
}
