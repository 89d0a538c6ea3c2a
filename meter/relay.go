package meter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/figseam/figseam"
)

// RelayMeter holds the metrics of an instance that relays opaque requests or replicates
// their configuration.
type RelayMeter struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	firstEventSeconds prometheus.Histogram
}

// NewRelayMeter returns a meter whose metrics are at zero. It also exports the metrics of
// the Go runtime.
func NewRelayMeter() *RelayMeter {
	m := &RelayMeter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figseam_requests_total", Help: "Ended requests by semantics, reason code and status.",
		}, []string{"semantics", "code", "status"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "figseam_request_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"semantics"}),
		firstEventSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "figseam_first_event_seconds", Help: "Time from a request's arrival to the first event of its stream.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 12),
		}),
	}
	m.registry.MustRegister(m.requests, m.requestSeconds, m.firstEventSeconds, collectors.NewGoCollector())
	return m
}

// ObserveRequest counts an ended request and records its duration.
func (m *RelayMeter) ObserveRequest(semantics figseam.Semantics, code figseam.Code, status int, duration time.Duration) {
	m.requests.WithLabelValues(semantics.String(), string(code), strconv.Itoa(status)).Inc()
	m.requestSeconds.WithLabelValues(semantics.String()).Observe(duration.Seconds())
}

// ObserveFirstEventLatency records the time from a request's arrival to the first event
// of its stream.
func (m *RelayMeter) ObserveFirstEventLatency(latency time.Duration) {
	m.firstEventSeconds.Observe(latency.Seconds())
}

// RegisterGauge registers a gauge whose value is read at each scrape. It panics if the
// name is already registered.
func (m *RelayMeter) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler returns the HTTP handler that serves the metrics.
func (m *RelayMeter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
