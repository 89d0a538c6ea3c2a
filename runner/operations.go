package runner

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/gateway"
)

// Status implements gateway.Operations.
func (i *Instance) Status() gateway.InstanceStatus {
	s := gateway.InstanceStatus{
		Instance: i.settings.Instance, DataCentre: i.settings.DataCentre, ConfigVersion: i.store.Version(),
		Draining: i.isDraining(), ActiveRequests: i.callers.ActiveRequests(),
	}
	if i.node != nil {
		r := i.node.Status()
		s.Replica = &r
	}
	return s
}

// Members implements gateway.Operations.
func (i *Instance) Members() []figseam.Member { return i.members.Members() }

// Endpoints implements gateway.Operations.
func (i *Instance) Endpoints() []gateway.EndpointStatus {
	config := i.store.Config()
	found := []gateway.EndpointStatus{}
	if config == nil {
		return found
	}
	add := func(endpoints []figseam.Endpoint) {
		for _, e := range endpoints {
			state := [...]string{"live", "leaving", "down"}[i.endpoints.State(e.Name)]
			found = append(found, gateway.EndpointStatus{Endpoint: e, State: state})
		}
	}
	for pool := range config.Pools {
		add(config.PoolEndpoints(pool))
	}
	for service := range config.Services {
		add(config.ServiceEndpoints(service))
	}
	return found
}

// RolloutStatus implements gateway.Operations.
func (i *Instance) RolloutStatus(ctx context.Context) gateway.RolloutStatus {
	r := spread(ctx, i.peers, i.members)
	s := gateway.RolloutStatus{Unreachable: r.Silent, Versions: r.Versions}
	for n, v := range r.Versions {
		if n == 0 || v.Version < s.LowestVersion {
			s.LowestVersion = v.Version
		}
	}
	return s
}

var (
	heldPieces = prometheus.NewDesc("figseam_held_pieces", "Pieces of engine memory granted by the cells of this instance.", nil, nil)
	waiting    = prometheus.NewDesc("figseam_waiting_jobs", "Jobs that wait in the cells of this instance.", nil, nil)
	grants     = prometheus.NewDesc("figseam_grants", "Grants given by the cells of this instance.", nil, nil)
	peerBytes  = prometheus.NewDesc("figseam_peer_sent_bytes_total", "Bytes sent to other instances, by kind of message.", []string{"kind"}, nil)
	peerCount  = prometheus.NewDesc("figseam_peer_sent_messages_total", "Messages sent to other instances, by kind.", []string{"kind"}, nil)
)

// collector shows the cells' load and the peers' traffic.
type collector struct{ i *Instance }

func (c collector) Describe(d chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{heldPieces, waiting, grants, peerBytes, peerCount} {
		d <- desc
	}
}

func (c collector) Collect(out chan<- prometheus.Metric) {
	held, queued, given := 0, 0, 0
	for _, l := range c.i.host.CellLoads() {
		held += l.TotalPieces - l.FreePieces
		queued += l.QueuedJobs
		given += l.Grants
	}
	out <- prometheus.MustNewConstMetric(heldPieces, prometheus.GaugeValue, float64(held))
	out <- prometheus.MustNewConstMetric(waiting, prometheus.GaugeValue, float64(queued))
	out <- prometheus.MustNewConstMetric(grants, prometheus.GaugeValue, float64(given))
	for kind, t := range c.i.messenger.SentTraffic() {
		out <- prometheus.MustNewConstMetric(peerBytes, prometheus.CounterValue, float64(t.Bytes), kind)
		out <- prometheus.MustNewConstMetric(peerCount, prometheus.CounterValue, float64(t.Messages), kind)
	}
}

func (i *Instance) addGauges() {
	i.meter.RegisterCollector(collector{i})
	i.meter.RegisterGauge("figseam_config_version", "Configuration version in force.", func() float64 { return float64(i.store.Version()) })
	i.meter.RegisterGauge("figseam_pending_cancels", "Cancels that engines have not confirmed.", func() float64 { return float64(i.canceller.Pending()) })
	i.meter.RegisterGauge("figseam_active_requests", "Requests under way.", func() float64 { return float64(i.callers.ActiveRequests()) })
}
