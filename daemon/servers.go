package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/drain"
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/httplimit"
	"github.com/rhubarbsail/rhubarbsail/common/requestlimit"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

// serverSet holds the HTTP servers of one process. err is the first error of
// add; later calls of add then do nothing.
type serverSet struct {
	env     Env
	budget  *requestlimit.Budget
	servers []*boundServer
	err     error
}

// listenerOptions describe a listener of a process.
type listenerOptions struct {
	// name is the name of the listener in metrics and log lines.
	name string
	// maxConnections is the largest number of open connections.
	maxConnections int
	// callers is true for the callers' API, which speaks only HTTP/1.1 and shuts down
	// gracefully.
	callers bool
}

type boundServer struct {
	listener net.Listener
	http     *http.Server
	// callers is the listener of the callers' API, whose server shuts down gracefully;
	// nil for other servers.
	callers *drain.Listener
}

// headerTimeout limits the time for reading a request header, idleTimeout the
// time that a connection stays open between requests.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// bodyTimeout limits the time for reading a body: the largest one of a submission,
	// 256 KiB, takes that long at 70 kbit/s.
	bodyTimeout = 30 * time.Second
	// writeTimeout limits the time for which a response waits for a client that reads
	// nothing. A response fits into the buffers of an ordinary connection.
	writeTimeout = 5 * time.Second
	// streamsPerConnection limits the requests of an HTTP/2 connection in progress, whose
	// headers are not counted before they are complete. A gateway or an agent has less
	// than ten.
	streamsPerConnection = 100
)

// callerKeepAlive detects callers whose connection broke without a FIN or RST.
// Such a caller resubmits its jobs after 1.3 s, so the first probe has to be
// earlier; one second is the shortest interval that the kernel accepts. A caller
// that does not answer probes may be partitioned only for a while: its
// connection is kept for idleTimeout.
var callerKeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: time.Second, Interval: time.Second, Count: int(idleTimeout / time.Second),
}

func (s *serverSet) add(address string, h http.Handler, o listenerOptions) {
	if s.err != nil {
		return
	}
	l, err := s.env.listen(address)
	if err != nil {
		s.err = err
		return
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(!o.callers)
	b := &boundServer{listener: l, http: &http.Server{
		Handler: h, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: httpapi.DefaultServerLimits().HeaderBytes,
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: streamsPerConnection},
	}}
	if o.callers {
		b.callers = drain.NewListener(l, drain.Options{KeepAlive: callerKeepAlive, HeaderTimeout: headerTimeout})
		b.listener, b.http.ConnState = b.callers, drain.TrackIdle
	}
	b.listener = httplimit.Apply(b.http, b.listener, httplimit.Options{
		Group: s.budget.NewGroup(o.name, o.maxConnections), BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout,
	})
	s.servers = append(s.servers, b)
}

// start serves in the background until stop or close. A server that fails for
// another reason is logged.
func (s *serverSet) start(wg *sync.WaitGroup, log zerolog.Logger) {
	for _, b := range s.servers {
		wg.Go(func() {
			if err := b.http.Serve(b.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				events.ListenFailed.Log(log).Str("address", b.listener.Addr().String()).Err(err).Send()
			}
		})
	}
}

// stop waits for readinessNotice, drains the callers' connections and then closes
// the other servers. It takes at most limit; requests still in progress then are
// aborted.
func (s *serverSet) stop(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	wait.For(ctx, readinessNotice)
	var shutdownErr error
	for _, b := range s.servers {
		if b.callers != nil {
			shutdownErr = errors.Join(shutdownErr, b.callers.Drain(ctx), b.http.Shutdown(ctx))
		}
	}
	return errors.Join(shutdownErr, s.close())
}

// close closes all listeners and connections at once.
func (s *serverSet) close() error {
	var closeErr error
	for _, b := range s.servers {
		closeErr = errors.Join(closeErr, b.http.Close())
	}
	return closeErr
}
