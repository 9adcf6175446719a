package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// maxHeaderBytes bounds a caller's headers.
	maxHeaderBytes = 16 << 10
	// idleTimeout is how long a caller's connection may be idle.
	idleTimeout = 2 * time.Minute
)

// Paths of the callers' side.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathServices = "/v1/services/"
	pathTickets  = "/v1/tickets"
)

// Handler returns the HTTP handler of the callers' side.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathChat, e.chat)
	mux.HandleFunc("GET "+pathModels, e.listModels)
	mux.HandleFunc(pathModels, e.methodNotAllowed(http.MethodGet))
	mux.HandleFunc("POST "+pathTickets, e.issueTicket)
	mux.HandleFunc(pathServices+"{service}/{path...}", e.plain)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, usher.NewRefusal(usher.RefusalUnknownService, "nothing is served at "+r.URL.Path))
	})
	return mux
}

func (e *Entry) methodNotAllowed(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", allowed)
		e.refuse(w, usher.NewRefusal(usher.RefusalMethodNotAllowed, "use "+allowed))
	}
}

// Serve answers callers on listener until ctx ends, then finishes the requests
// in flight for at most grace.
func (e *Entry) Serve(ctx context.Context, listener net.Listener, grace time.Duration) error {
	server := &http.Server{
		Handler:           markHandling(e.Handler()),
		ConnContext:       withConn,
		ReadHeaderTimeout: e.options.BodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		limit, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		err := server.Shutdown(limit)
		if err != nil {
			e.reportCut()
		}
		stopped <- err
	})
	defer stop()
	err := server.Serve(callerListener{listener})
	if ctx.Err() != nil {
		return <-stopped
	}
	return err
}
