// Package operator is the read-only HTTP interface for operators: metrics, status, readiness, and the traces of single
// requests.
//
// # Usage
//
//	handler := operator.NewHandler(operator.Options{...})
//	http.Serve(listener, handler)
//
// Paths: /debug/vars (expvar), /v1/status, /v1/ready, /v1/explain?id=ID, /debug/pprof/.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"strconv"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/internal/trace"
	"github.com/jaywheel/jaywheel/pkg/clock"
)

// Paths of the operators' interface.
const (
	StatusPath  = "/v1/status"
	ReadyPath   = "/v1/ready"
	ExplainPath = "/v1/explain"
	MetricsPath = "/debug/vars"
)

// statusTimeout is how long the control goroutine may take to return the status.
const statusTimeout = 2 * clock.Second

// Status is an instance's state.
type Status struct {
	Ready   bool
	Leaving bool
	// Detail is the whole state, which is encoded as JSON.
	Detail any
}

// Options has the sources of the handler.
type Options struct {
	Status   func(context.Context) (Status, error)
	Registry *metrics.Registry
	Traces   *trace.Ring
}

// NewHandler returns the handler of the operators' interface.
func NewHandler(options Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, options.serveMetrics)
	mux.HandleFunc("GET "+StatusPath, options.serveStatus)
	mux.HandleFunc("GET "+ReadyPath, options.serveReady)
	mux.HandleFunc("GET "+ExplainPath, options.serveExplain)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// serveMetrics writes the same as expvar's own handler, and adds this instance's metrics. They are not published through
// expvar itself because several instances in one process could not share one name.
func (options Options) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	text.WriteString("{\n")
	expvar.Do(func(entry expvar.KeyValue) {
		text.WriteString(strconv.Quote(entry.Key) + ": " + entry.Value.String() + ",\n")
	})
	text.WriteString(`"jaywheel": ` + options.Registry.String() + "\n}\n")
	writer.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = writer.Write(text.Bytes())
}

func (options Options) serveStatus(writer http.ResponseWriter, request *http.Request) {
	status, err := options.readStatus(request.Context())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, status.Detail)
}

func (options Options) readStatus(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	return options.Status(ctx)
}

// serveReady responds with 200 if there are settings and the instance is not leaving, and with 503 otherwise.
func (options Options) serveReady(writer http.ResponseWriter, request *http.Request) {
	status, err := options.readStatus(request.Context())
	if err != nil || !status.Ready || status.Leaving {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

func (options Options) serveExplain(writer http.ResponseWriter, request *http.Request) {
	id := request.URL.Query().Get("id")
	requestTrace, found := options.Traces.Find(trace.RequestID(id))
	if !found {
		http.Error(writer, "no request "+strconv.Quote(id)+" among this instance's most recent requests", http.StatusNotFound)
		return
	}
	writeJSON(writer, requestTrace)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
