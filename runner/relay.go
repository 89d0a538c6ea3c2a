package runner

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/distributor"
	"github.com/figseam/figseam/limiter"
	"github.com/figseam/figseam/lister"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/meter"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/recorder"
	"github.com/figseam/figseam/recoverer"
)

const (
	// Kinds of messages between entries and voters.
	kindPoll         = "document.follow"
	kindExchangeLoad = "use.share"
	kindPeerLoad     = "use.sum"
	// kindPeerLoadChanges is not known to voters of versions before 0.5, which ignore it.
	kindPeerLoadChanges = "use.sum.changes"
	// kindPeerEvidence is not known to voters of versions before 0.5, which ignore it.
	kindPeerEvidence = "quarantine.evidence"
	// memoryLimitRatio is the soft memory limit of the garbage collector, as a fraction of
	// the memory limit of the process. gcPercent is the growth of the heap over the live
	// heap, in percent, that starts a collection.
	memoryLimitRatio = 0.6
	gcPercent        = 50
	// maxHeaderBytes bounds the head of a caller's request, maxControlHeaderBytes that of any
	// other request.
	maxHeaderBytes        = 128 << 10
	maxControlHeaderBytes = 16 << 10
)

// base holds the components that entries and voters share.
type base struct {
	settings  loader.RelaySettings
	log       zerolog.Logger
	recorder  *recorder.Recorder
	meter     *meter.RelayMeter
	messenger *messenger.Messenger
	list      *lister.EndpointList
	servers   []*http.Server
}

// newBase returns the shared components. It sets the limits of the garbage collector,
// which apply to the whole process. Log lines go to out.
func newBase(settings loader.RelaySettings, role string, out io.Writer) *base {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(settings.MemoryLimitMegabytes * memoryLimitRatio * (1 << 20)))
	b := &base{settings: settings, recorder: recorder.New(out), meter: meter.NewRelayMeter()}
	b.log = zerolog.New(b.recorder).Level(level).With().Timestamp().Str("instance", settings.Instance).Str("role", role).Logger()
	b.messenger = messenger.New(settings.PeerID(), nil, b.log)
	b.meter.RegisterGauge("figseam_panics", "Panics that were recovered since the start.", func() float64 { return float64(recoverer.Count()) })
	return b
}

// LogTimeFormat is the time format of log lines. It includes milliseconds, without which
// the lines of several instances cannot be ordered.
const LogTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// openEndpointList creates the endpoint list, which the instance reads from the platform
// when its copy is older than maxAge.
func (b *base) openEndpointList(maxAge func() time.Duration) {
	b.list = lister.New(platform.NewEndpointSource(newListClient(), b.settings.ListAddress, b.log), maxAge, b.log)
}

// fractionOfEndpointDrain returns a fraction of EndpointDrainMillis, the time for which
// a draining endpoint may still receive requests.
func (b *base) fractionOfEndpointDrain(fraction float64) time.Duration {
	return time.Duration(fraction * b.settings.EndpointDrainMillis * float64(time.Millisecond))
}

// poll sends a request for the configuration and the endpoint list to a voter.
func (b *base) poll(ctx context.Context, to figseam.InstanceID, r distributor.PollRequest) (distributor.PollReply, error) {
	return messenger.Call[distributor.PollRequest, distributor.PollReply](ctx, b.messenger, string(to), kindPoll, r)
}

// servePeers serves messages from other instances, whose connections may use a share of the
// descriptors, and metrics.
func (b *base) servePeers(listeners map[string]net.Listener, descriptorShare float64) {
	peers := http.NewServeMux()
	peers.Handle(messenger.Path, b.messenger.Handler())
	b.serve("peers", descriptorShare, listeners[b.settings.PeerListenAddress()], peers)
	b.serve("metrics", probeDescriptorShare, listeners[b.settings.MetricsAddress], b.meter.Handler())
}

// serve serves HTTP on a listener until close is called. The connections may use a share of the
// descriptors.
func (b *base) serve(name string, descriptorShare float64, l net.Listener, h http.Handler) {
	s := b.newServer(b.newConnections(name, descriptorShare), h, nil)
	s.MaxHeaderBytes = maxControlHeaderBytes
	b.start(s, l)
}

// newServer returns a server for bounded connections. observe, if set, is called with each change
// of a connection's state.
func (b *base) newServer(connections *limiter.Connections, h http.Handler, observe func(net.Conn, http.ConnState)) *boundedServer {
	s := &http.Server{
		ConnState:         observe,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeoutMillis * time.Millisecond,
		IdleTimeout:       idleTimeoutMillis * time.Millisecond,
	}
	connections.Configure(s, recoverer.Handler(b.log, h))
	return &boundedServer{connections: connections, Server: s}
}

// boundedServer is a server with the connections that it accepts.
type boundedServer struct {
	*http.Server
	connections *limiter.Connections
}

// start serves on a listener until close is called.
func (b *base) start(s *boundedServer, l net.Listener) {
	b.servers = append(b.servers, s.Server)
	go func() { _ = s.Serve(s.connections.Listener(l)) }()
}

func (b *base) close() {
	for _, s := range b.servers {
		_ = s.Close()
	}
	b.messenger.Close()
}

// listenByAddress opens TCP listeners and returns them by address. If one fails, it closes
// the others and returns the error.
func listenByAddress(addresses ...string) (map[string]net.Listener, error) {
	listeners, err := listen(addresses...)
	if err != nil {
		return nil, err
	}
	byAddress := map[string]net.Listener{}
	for i, a := range addresses {
		byAddress[a] = listeners[i]
	}
	return byAddress, nil
}

// jsonString returns text as a JSON string literal.
func jsonString(text string) string {
	data, err := json.Marshal(text)
	if err != nil {
		return `""`
	}
	return string(data)
}

// runPeriodically calls task at intervals until ctx is done. A call that panics is logged
// under the task's name. It returns a channel that is closed when the last call has
// returned.
func runPeriodically(ctx context.Context, log zerolog.Logger, name string, intervalMillis int64, task func(ctx context.Context)) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(time.Duration(intervalMillis) * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = recoverer.Call(log, name, func() error {
					task(ctx)
					return nil
				})
			}
		}
	}()
	return stopped
}
