package ledger

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

func newAttempt(i int) Attempt {
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

// BenchmarkTask measures the ledger's work for one task, from Admit to Finish.
func BenchmarkTask(b *testing.B) {
	l := New(Options{Incarnation: incarnation, MaxEntries: 1 << 30, MaxBytes: 1 << 50})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		runOne(l, newAttempt(i), nil)
	}
}

// BenchmarkFence measures the fence of one of 64 partitions in a full ledger. The
// ledger's lock is held for this time.
func BenchmarkFence(b *testing.B) {
	l := New(Options{Incarnation: incarnation})
	for i := range DefaultMaxEntries {
		runOne(l, newAttempt(i), nil)
	}
	for b.Loop() {
		l.Fence(0, []PartitionEpoch{{Partition: 1, Epoch: 1}})
	}
}

// BenchmarkEntryMemory reports the heap memory of an entry without a result, and
// the estimate that the ledger uses for Options.MaxBytes.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := New(Options{Incarnation: incarnation, MaxEntries: 1 << 30, MaxBytes: 1 << 50})
		for i := range entries {
			runOne(l, newAttempt(i), nil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
		b.ReportMetric(float64(l.Counts(0).Bytes)/entries, "estimated-B/entry")
		runtime.KeepAlive(l)
	}
}
