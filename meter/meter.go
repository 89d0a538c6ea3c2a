// Package meter records the metrics of an instance and exports them to Prometheus.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/figseam/figseam"
)

// Meter holds the metrics of one instance.
type Meter struct {
	registry            *prometheus.Registry
	placements          *prometheus.CounterVec
	refusals            *prometheus.CounterVec
	responses           prometheus.Counter
	prefillTokens       prometheus.Counter
	wastedPrefillTokens prometheus.Counter
	firstTokenSeconds   prometheus.Histogram
	interTokenSeconds   prometheus.Histogram
}

// New returns a meter whose metrics are at zero. It also exports the metrics of the Go
// runtime and the process.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figseam_placements_total", Help: "Placement decisions by reason code.",
		}, []string{"code"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figseam_refusals_total", Help: "Refused requests by reason code and outcome.",
		}, []string{"code", "outcome"}),
		responses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "figseam_answers_total", Help: "Requests answered in full.",
		}),
		prefillTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "figseam_prefill_tokens_total", Help: "Prompt tokens computed by prefill engines, without cached ones.",
		}),
		wastedPrefillTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "figseam_prefill_wasted_tokens_total", Help: "Prompt tokens computed for attempts whose result no caller received.",
		}),
		firstTokenSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "figseam_first_token_seconds", Help: "Time from a request's arrival to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 14),
		}),
		interTokenSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "figseam_between_tokens_seconds", Help: "Time between two tokens of one answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 1.5, 14),
		}),
	}
	m.registry.MustRegister(m.placements, m.refusals, m.responses, m.prefillTokens, m.wastedPrefillTokens, m.firstTokenSeconds, m.interTokenSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RegisterGauge registers a gauge whose value is read at each scrape. It panics if the
// name is already registered.
func (m *Meter) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// RegisterCollector registers a collector of further metrics. It panics if one of their
// names is already registered.
func (m *Meter) RegisterCollector(c prometheus.Collector) { m.registry.MustRegister(c) }

// Handler returns the HTTP handler that serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountPlacement counts a placement decision.
func (m *Meter) CountPlacement(code figseam.Code) { m.placements.WithLabelValues(string(code)).Inc() }

// CountRefusal counts a refused request.
func (m *Meter) CountRefusal(r *figseam.Refusal) {
	m.refusals.WithLabelValues(string(r.Code), string(r.Outcome)).Inc()
}

// CountResponse counts a request with a complete response.
func (m *Meter) CountResponse() { m.responses.Inc() }

// CountPrefillTokens counts prompt tokens that prefill engines computed.
func (m *Meter) CountPrefillTokens(tokens int) { m.prefillTokens.Add(float64(tokens)) }

// CountWastedPrefillTokens counts prompt tokens computed for attempts whose result no
// caller received.
func (m *Meter) CountWastedPrefillTokens(tokens int) { m.wastedPrefillTokens.Add(float64(tokens)) }

// ObserveFirstTokenLatency records the time from a request's arrival to its first token.
func (m *Meter) ObserveFirstTokenLatency(latency time.Duration) {
	m.firstTokenSeconds.Observe(latency.Seconds())
}

// ObserveInterTokenLatency records the time between two tokens of an answer.
func (m *Meter) ObserveInterTokenLatency(latency time.Duration) {
	m.interTokenSeconds.Observe(latency.Seconds())
}
