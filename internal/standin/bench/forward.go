package bench

import (
	"io"
	"net/http"
)

// forwardBuffer is the size of a forwarder's copy buffer, in bytes.
const forwardBuffer = 32 << 10

// Forwarder returns the plain HTTP forwarder that the product is compared with.
// It forwards each request to the address to and copies the response, flushing
// after every read.
func Forwarder(to string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.URL.RequestURI(), r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		request.Header = r.Header
		request.ContentLength = r.ContentLength
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		copyFlushing(w, response.Body)
	})
}

func copyFlushing(w http.ResponseWriter, body io.Reader) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, forwardBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
			_ = controller.Flush()
		}
		if err != nil {
			return
		}
	}
}
