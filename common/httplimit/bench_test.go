package httplimit_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/common/boottime"
	"github.com/rhubarbsail/rhubarbsail/common/httplimit"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
)

// BenchmarkConnection reports the live memory of a connection by what was sent on it,
// beside what the budget counts for it. The memory includes the client's end, which has
// neither buffers nor a goroutine.
func BenchmarkConnection(b *testing.B) {
	const conns = 500
	for _, k := range []struct{ name, text string }{
		{"nothing", ""},
		{"ordinary header", "POST /p/1 HTTP/1.1\r\nHost: h\r\nUser-Agent: x\r\nContent-Type: application/json\r\nAccept-Encoding: gzip\r\nDeadline-Ms: 1800\r\nContent-Length: 3000\r\n\r\n{"},
		{"idle after a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"short header lines", "GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(2600)},
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n" + string(make([]byte, 262_143))},
	} {
		b.Run(k.name, func(b *testing.B) {
			for b.Loop() {
				measureConnections(b, conns, k.text)
			}
		})
	}
}

func measureConnections(b *testing.B, conns int, text string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	budget := requestlimit.New(requestlimit.Options{Bytes: 1 << 40, Now: boottime.Now})
	s := &http.Server{Handler: readBody, MaxHeaderBytes: 16 << 10}
	limited := httplimit.Apply(s, l, httplimit.Options{Group: budget.NewGroup("test", 2*conns)})
	go func() { _ = s.Serve(limited) }()
	before := memoryInUse()
	for range conns {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
	}
	// The last bytes are read and counted within far less.
	time.Sleep(time.Second)
	b.ReportMetric(float64(memoryInUse()-before)/float64(conns), "B/conn")
	b.ReportMetric(float64(budget.Held())/float64(conns), "counted-B/conn")
	_ = s.Close()
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
