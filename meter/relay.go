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

// RelayMeter holds the metrics of an instance that relays opaque requests or keeps
// their configuration.
type RelayMeter struct {
	registry *prometheus.Registry
	ended    *prometheus.CounterVec
	took     *prometheus.HistogramVec
	first    prometheus.Histogram
}

// NewRelayMeter returns a meter with all counters at zero.
func NewRelayMeter() *RelayMeter {
	m := &RelayMeter{
		registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figseam_requests_total", Help: "Ended requests by semantics, reason code and status.",
		}, []string{"semantics", "code", "status"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "figseam_request_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"semantics"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "figseam_first_event_seconds", Help: "Time from a request's arrival to the first event of its stream.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 12),
		}),
	}
	m.registry.MustRegister(m.ended, m.took, m.first, collectors.NewGoCollector())
	return m
}

// ObserveRequest counts an ended request and notes how long it took.
func (m *RelayMeter) ObserveRequest(semantics figseam.Semantics, code figseam.Code, status int, took time.Duration) {
	m.ended.WithLabelValues(semantics.String(), string(code), strconv.Itoa(status)).Inc()
	m.took.WithLabelValues(semantics.String()).Observe(took.Seconds())
}

// ObserveFirstEvent notes the time to the first event of a stream.
func (m *RelayMeter) ObserveFirstEvent(took time.Duration) { m.first.Observe(took.Seconds()) }

// RegisterGauge shows a value that is read when the metrics are.
func (m *RelayMeter) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler serves the metrics.
func (m *RelayMeter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
