package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"filbertusher/internal/drain"
	"filbertusher/pkg/usher"
)

const (
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 16 << 10
	// idleTimeout is how long an idle keep-alive connection stays open.
	idleTimeout = 2 * time.Minute
	// toldIdleTime is how long callers are told that they may use an idle connection. It
	// makes a stop longer, as a request may be on its way on any of them.
	toldIdleTime = 2 * time.Second
)

// Paths of the HTTP API for callers.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathServices = "/v1/services/"
	pathTickets  = "/v1/tickets"
)

// Handler returns the HTTP handler of the API for callers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathChat, e.serveChat)
	mux.HandleFunc("GET "+pathModels, e.listModels)
	mux.HandleFunc(pathModels, e.methodNotAllowed(http.MethodGet))
	mux.HandleFunc("POST "+pathTickets, e.issueTicket)
	mux.HandleFunc(pathServices+"{service}/{path...}", e.servePlain)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, usher.NewRefusal(usher.RefusalUnknownService, "nothing is served at "+r.URL.Path))
	})
	return mux
}

// isTooLate reports whether too little time may be left to run a request that was just
// read. Its caller does not know that the instance stops if the connection was busy.
func (e *Entry) isTooLate(deadline time.Time) bool {
	server := e.server.Load()
	return server != nil && !server.Takes(deadline)
}

func (e *Entry) methodNotAllowed(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", allowed)
		e.refuse(w, usher.NewRefusal(usher.RefusalMethodNotAllowed, "use "+allowed))
	}
}

// connectionLimits returns the limits on callers' connections.
func (e *Entry) connectionLimits() drain.Limits {
	limits := e.options.Connections
	if e.options.Memory != nil {
		limits.IsScarce = e.options.Memory.IsScarce
	}
	return limits
}

// Serve serves callers on listener until ctx is done or the listener fails. Then it stops
// gracefully.
func (e *Entry) Serve(ctx context.Context, listener net.Listener, times StopTimes) error {
	server := drain.New(&http.Server{
		Handler:           trackHandling(e.Handler()),
		BaseContext:       func(net.Listener) context.Context { return e.stop.requests },
		ConnContext:       withConn,
		ReadHeaderTimeout: e.options.BodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         trackCallerConn,
	}, e.newCallerConn, e.connectionLimits())
	server.SetIdleTime(toldIdleTime)
	e.server.Store(server)
	// Shutdown makes Serve return at once; it has to be waited for.
	shutdown := sync.OnceValue(func() error { return e.shutdown(server, times) })
	stop := context.AfterFunc(ctx, func() { _ = shutdown() })
	defer stop()
	err := server.Serve(listener)
	return errors.Join(err, shutdown())
}
