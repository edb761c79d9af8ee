package ledger

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

func numbered(i int) Attempt {
	return Attempt{
		Task:      model.TaskID{Job: model.JobKey{Client: "bondline", Key: "expiry-alert-" + strconv.Itoa(i)}},
		Partition: model.Partition(i % 64), Epoch: 1, Number: 1,
	}
}

func runOne(l *Ledger, a Attempt, result []byte) {
	l.Admit(0, startAt(0, a))
	l.Begin(0, a)
	l.Finish(0, a, Outcome{State: Succeeded, Result: result})
}

// BenchmarkTask measures the ledger's part of one task, from start to outcome.
func BenchmarkTask(b *testing.B) {
	l := New(Options{Incarnation: incarnation, MaxEntries: 1 << 30, MaxBytes: 1 << 50})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		runOne(l, numbered(i), nil)
	}
}

// BenchmarkFence measures the fence of one partition of 64 in a full ledger,
// during which the ledger's lock is held.
func BenchmarkFence(b *testing.B) {
	l := New(Options{Incarnation: incarnation})
	for i := range DefaultMaxEntries {
		runOne(l, numbered(i), nil)
	}
	for b.Loop() {
		l.Fence(0, []PartitionEpoch{{Partition: 1, Epoch: 1}})
	}
}

// BenchmarkEntryMemory reports the heap of an entry without its result, beside
// the estimate that the size bound uses.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := New(Options{Incarnation: incarnation, MaxEntries: 1 << 30, MaxBytes: 1 << 50})
		for i := range entries {
			runOne(l, numbered(i), nil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
		b.ReportMetric(float64(l.Counts(0).Bytes)/entries, "estimated-B/entry")
		runtime.KeepAlive(l)
	}
}
