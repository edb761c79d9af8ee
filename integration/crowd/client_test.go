package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
)

const (
	// pieceBytes is the size of the parts in which a client sends a body piece by piece,
	// piecePause the time between two of them.
	pieceBytes = 16 << 10
	piecePause = time.Millisecond
	// largeChunkBytes and smallChunkBytes are the sizes of the chunks of chunked bodies.
	largeChunkBytes = 64 << 10
	smallChunkBytes = 16
	// dialTimeout and sendTimeout are much longer than a client needs. A client whose
	// server does not read any more stops sending after sendTimeout and stays open.
	dialTimeout = 20 * time.Second
	sendTimeout = 20 * time.Second
)

// request is what a client sends before it stops, in parts with a pause between them.
type request struct {
	parts [][]byte
	pause time.Duration
}

// shortHeaderLines returns the start of a request whose header has as many lines as fit,
// each with another name, and does not end.
func shortHeaderLines(target string) request {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h\r\n", target)
	for i := 0; b.Len() < headerBytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return request{parts: [][]byte{b.Bytes()}}
}

// oddHeaderLines returns a request whose header repeats names, has names that are not in
// canonical form, continued and empty values, and whose body does not end.
func oddHeaderLines(target string) request {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", target, bodyBytes)
	for i := 0; b.Len() < headerBytes; i++ {
		fmt.Fprintf(&b, "x-%x: \r\n !\r\nq:;\r\nA-%X:\t\r\n", i, i)
	}
	b.WriteString("\r\n{")
	return request{parts: [][]byte{b.Bytes()}}
}

// body returns the first size bytes of a body.
func body(size int) []byte {
	b := bytes.Repeat([]byte(" "), size)
	copy(b, `{"spec":"`)
	return b
}

// wholeBody returns a request of which only the last byte is missing.
func wholeBody(target string, size int) request {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", target, size)
	return request{parts: [][]byte{append([]byte(head), body(size-1)...)}}
}

// manySteps returns a complete request whose body has as many steps as fit, far more than
// a job may have.
func manySteps(target string) request {
	steps := standin.BodyOfEmptySteps((bodyBytes-100)/3 + 1)
	return request{parts: [][]byte{fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", target, len(steps), steps)}}
}

// bodyInPieces returns the same request in many parts.
func bodyInPieces(target string, size int) request {
	whole := wholeBody(target, size).parts[0]
	r := request{pause: piecePause}
	for len(whole) > pieceBytes {
		r.parts, whole = append(r.parts, whole[:pieceBytes]), whole[pieceBytes:]
	}
	r.parts = append(r.parts, whole)
	return r
}

// chunkedBody returns a request with a body in chunks, without the last chunk.
func chunkedBody(target string, size, chunkBytes int) request {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", target)
	for rest := body(size); len(rest) > 0; {
		n := min(chunkBytes, len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return request{parts: [][]byte{b.Bytes()}}
}

// secondHeader returns a request that is answered at once, and with it the start of a
// header that does not end.
func secondHeader(target string) request {
	first := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target)
	return request{parts: [][]byte{append([]byte(first), shortHeaderLines(target).parts[0]...)}}
}

// crowd is a number of clients that have sent a part of a request and stay open.
type crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// startCrowd opens connections to an address, sends the same request on each and returns
// when all clients have stopped sending, or their connections have ended.
func startCrowd(t *testing.T, address string, clients int, r request) *crowd {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &crowd{cancel: cancel}
	t.Cleanup(c.leave)
	var sent sync.WaitGroup
	for range clients {
		sent.Add(1)
		c.wg.Go(func() {
			conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
			if err != nil {
				sent.Done()
				return
			}
			defer func() { _ = conn.Close() }()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			r.send(conn)
			sent.Done()
			// Ends when the server or leave closes the connection.
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	sent.Wait()
	return c
}

// send sends all parts unless the connection ends.
func (r request) send(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	for i, p := range r.parts {
		if i > 0 {
			time.Sleep(r.pause)
		}
		if _, err := conn.Write(p); err != nil {
			return
		}
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	c.cancel()
	c.wg.Wait()
}
