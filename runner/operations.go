package runner

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/gateway"
)

// Status implements gateway.InstanceAdmin.
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

// Members implements gateway.InstanceAdmin.
func (i *Instance) Members() []figseam.Member { return i.members.Members() }

// Endpoints implements gateway.InstanceAdmin.
func (i *Instance) Endpoints() []gateway.EndpointStatus {
	config := i.store.Config()
	statuses := []gateway.EndpointStatus{}
	if config == nil {
		return statuses
	}
	add := func(endpoints []figseam.Endpoint) {
		for _, e := range endpoints {
			state := [...]string{"live", "leaving", "down"}[i.endpoints.State(e.Name)]
			statuses = append(statuses, gateway.EndpointStatus{Endpoint: e, State: state})
		}
	}
	for pool := range config.Pools {
		add(config.PoolEndpoints(pool))
	}
	for service := range config.Services {
		add(config.ServiceEndpoints(service))
	}
	return statuses
}

// RolloutStatus implements gateway.InstanceAdmin.
func (i *Instance) RolloutStatus(ctx context.Context) gateway.RolloutStatus {
	collected := collectVersions(ctx, i.peers, i.members)
	s := gateway.RolloutStatus{Unreachable: collected.Unreachable, Versions: collected.Versions}
	for n, v := range collected.Versions {
		if n == 0 || v.Version < s.LowestVersion {
			s.LowestVersion = v.Version
		}
	}
	return s
}

var (
	heldPiecesDesc   = prometheus.NewDesc("figseam_held_pieces", "Pieces of engine memory granted by the cells of this instance.", nil, nil)
	waitingJobsDesc  = prometheus.NewDesc("figseam_waiting_jobs", "Jobs that wait in the cells of this instance.", nil, nil)
	grantsDesc       = prometheus.NewDesc("figseam_grants", "Grants given by the cells of this instance.", nil, nil)
	peerBytesDesc    = prometheus.NewDesc("figseam_peer_sent_bytes_total", "Bytes sent to other instances, by kind of message.", []string{"kind"}, nil)
	peerMessagesDesc = prometheus.NewDesc("figseam_peer_sent_messages_total", "Messages sent to other instances, by kind.", []string{"kind"}, nil)
)

// instanceCollector collects the metrics of the cells' load and of the messages to
// other instances.
type instanceCollector struct{ instance *Instance }

func (c instanceCollector) Describe(d chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{heldPiecesDesc, waitingJobsDesc, grantsDesc, peerBytesDesc, peerMessagesDesc} {
		d <- desc
	}
}

func (c instanceCollector) Collect(out chan<- prometheus.Metric) {
	heldPieces, queuedJobs, grants := 0, 0, 0
	for _, l := range c.instance.cellHost.CellLoads() {
		heldPieces += l.TotalPieces - l.FreePieces
		queuedJobs += l.QueuedJobs
		grants += l.Grants
	}
	out <- prometheus.MustNewConstMetric(heldPiecesDesc, prometheus.GaugeValue, float64(heldPieces))
	out <- prometheus.MustNewConstMetric(waitingJobsDesc, prometheus.GaugeValue, float64(queuedJobs))
	out <- prometheus.MustNewConstMetric(grantsDesc, prometheus.GaugeValue, float64(grants))
	for kind, t := range c.instance.messenger.SentTraffic() {
		out <- prometheus.MustNewConstMetric(peerBytesDesc, prometheus.CounterValue, float64(t.Bytes), kind)
		out <- prometheus.MustNewConstMetric(peerMessagesDesc, prometheus.CounterValue, float64(t.Messages), kind)
	}
}

func (i *Instance) registerMetrics() {
	i.meter.RegisterCollector(instanceCollector{i})
	i.meter.RegisterGauge("figseam_config_version", "Configuration version in force.", func() float64 { return float64(i.store.Version()) })
	i.meter.RegisterGauge("figseam_pending_cancels", "Cancels that engines have not confirmed.", func() float64 { return float64(i.canceller.Pending()) })
	i.meter.RegisterGauge("figseam_active_requests", "Requests under way.", func() float64 { return float64(i.callers.ActiveRequests()) })
}
