package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/common/wait"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

// serverSet is the HTTP servers of one process.
type serverSet struct {
	env     Env
	servers []*boundServer
	err     error
}

type boundServer struct {
	listener net.Listener
	http     *http.Server
	// callers marks the server of callers: it answers what is in progress when the
	// process stops, and looks for callers that have gone.
	callers bool
}

// headerTimeout and idleTimeout bound connections without a request.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// callerProbes finds callers that have gone without the gateway's notice. They
// send their jobs again 1.3 s after that, and the probe has to come before: one
// second is the least that the kernel takes. A caller that does not answer may
// be cut off for a while; its connection is kept as long as an idle one.
var callerProbes = net.KeepAliveConfig{
	Enable: true, Idle: time.Second, Interval: time.Second, Count: int(idleTimeout / time.Second),
}

// probingListener probes its connections after callerProbes.
type probingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l probingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		// A connection that cannot be probed is served all the same.
		_ = t.SetKeepAliveConfig(callerProbes)
	}
	return c, err
}

func (s *serverSet) add(address string, h http.Handler, callers bool) {
	if s.err != nil {
		return
	}
	l, err := s.env.listen(address)
	if err != nil {
		s.err = err
		return
	}
	if callers {
		l = probingListener{l}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.servers = append(s.servers, &boundServer{listener: l, callers: callers, http: &http.Server{
		Handler: h, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: httpapi.DefaultServerLimits().HeaderBytes,
	}})
}

// start serves until stop or close. An end for another reason is logged.
func (s *serverSet) start(wg *sync.WaitGroup, log zerolog.Logger) {
	for _, b := range s.servers {
		wg.Go(func() {
			if err := b.http.Serve(b.listener); !errors.Is(err, http.ErrServerClosed) {
				events.ListenFailed.Log(log).Str("address", b.listener.Addr().String()).Err(err).Send()
			}
		})
	}
}

// stop ends the callers' server without cutting a request, and then the
// others. The whole takes no longer than the limit.
func (s *serverSet) stop(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	wait.For(ctx, stopNotice)
	var cut error
	for _, b := range s.servers {
		if b.callers {
			cut = errors.Join(cut, b.http.Shutdown(ctx))
		}
	}
	return errors.Join(cut, s.close())
}

// close cuts all connections.
func (s *serverSet) close() error {
	var failed error
	for _, b := range s.servers {
		failed = errors.Join(failed, b.http.Close())
	}
	return failed
}
