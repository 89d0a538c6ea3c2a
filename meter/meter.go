// Package meter counts what an instance does and shows it to Prometheus.
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
	registry *prometheus.Registry
	placed   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	answered prometheus.Counter
	prefill  prometheus.Counter
	wasted   prometheus.Counter
	first    prometheus.Histogram
	between  prometheus.Histogram
}

// New returns a meter with all counters at zero.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		placed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figseam_placements_total", Help: "Placement decisions by reason code.",
		}, []string{"code"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figseam_refusals_total", Help: "Refused requests by reason code and outcome.",
		}, []string{"code", "outcome"}),
		answered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "figseam_answers_total", Help: "Requests answered in full.",
		}),
		prefill: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "figseam_prefill_tokens_total", Help: "Prompt tokens computed by prefill engines, without cached ones.",
		}),
		wasted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "figseam_prefill_wasted_tokens_total", Help: "Prompt tokens computed for attempts whose result no caller received.",
		}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "figseam_first_token_seconds", Help: "Time from a request's arrival to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 14),
		}),
		between: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "figseam_between_tokens_seconds", Help: "Time between two tokens of one answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 1.5, 14),
		}),
	}
	m.registry.MustRegister(m.placed, m.refused, m.answered, m.prefill, m.wasted, m.first, m.between,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RegisterGauge shows a value that is read when the metrics are.
func (m *Meter) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// RegisterCollector registers a collector of several values.
func (m *Meter) RegisterCollector(c prometheus.Collector) { m.registry.MustRegister(c) }

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountPlacement counts a placement decision.
func (m *Meter) CountPlacement(code figseam.Code) { m.placed.WithLabelValues(string(code)).Inc() }

// CountRefusal counts a refusal.
func (m *Meter) CountRefusal(r *figseam.Refusal) {
	m.refused.WithLabelValues(string(r.Code), string(r.Outcome)).Inc()
}

// CountResponse counts a request answered in full.
func (m *Meter) CountResponse() { m.answered.Inc() }

// CountPrefillTokens counts computed prompt tokens.
func (m *Meter) CountPrefillTokens(tokens int) { m.prefill.Add(float64(tokens)) }

// CountWastedPrefillTokens counts computed prompt tokens that nobody received.
func (m *Meter) CountWastedPrefillTokens(tokens int) { m.wasted.Add(float64(tokens)) }

// ObserveFirstToken notes the time to a first token.
func (m *Meter) ObserveFirstToken(after time.Duration) { m.first.Observe(after.Seconds()) }

// ObserveInterTokenLatency notes the time between two tokens.
func (m *Meter) ObserveInterTokenLatency(after time.Duration) { m.between.Observe(after.Seconds()) }
