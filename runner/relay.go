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
	"github.com/figseam/figseam/lister"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/meter"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/recorder"
)

const (
	kindFollow = "document.follow"
	kindShare  = "use.share"
	kindSum    = "use.sum"
	// memoryShare is the part of the process's memory at which the collector works
	// harder, garbageTarget how much garbage there may be beside what lives.
	memoryShare   = 0.6
	garbageTarget = 50
	// listConnectMillis bounds the opening of a connection to the platform.
	listConnectMillis = 500
)

// base is what entries and voters have in common.
type base struct {
	settings  loader.RelaySettings
	log       zerolog.Logger
	recorder  *recorder.Recorder
	meter     *meter.RelayMeter
	messenger *messenger.Messenger
	list      *lister.EndpointList
	servers   []*http.Server
}

func newBase(settings loader.RelaySettings, role string, out io.Writer) *base {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	debug.SetGCPercent(garbageTarget)
	debug.SetMemoryLimit(int64(settings.MemoryLimitMegabytes * memoryShare * (1 << 20)))
	b := &base{settings: settings, recorder: recorder.New(out), meter: meter.NewRelayMeter()}
	b.log = zerolog.New(b.recorder).Level(level).With().Timestamp().Str("instance", settings.Instance).Str("role", role).Logger()
	b.messenger = messenger.New(settings.PeerID(), nil, b.log)
	return b
}

// LogTimeFormat is the form of times in log lines: of several instances, they are only
// put in order by milliseconds.
const LogTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// readList makes the instance's list, which it reads itself once the reading is
// older than wanted.
func (b *base) readList(wanted func() time.Duration) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: listConnectMillis * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}}
	b.list = lister.New(platform.NewEndpointSource(client, b.settings.ListAddress, b.log), wanted, b.log)
}

// ageOfDrain returns a part of the time in which an endpoint that leaves must get
// no more work.
func (b *base) ageOfDrain(part float64) time.Duration {
	return time.Duration(part * b.settings.EndpointDrainMillis * float64(time.Millisecond))
}

func (b *base) follow(ctx context.Context, to figseam.InstanceID, r distributor.PollRequest) (distributor.PollReply, error) {
	return messenger.Call[distributor.PollRequest, distributor.PollReply](ctx, b.messenger, string(to), kindFollow, r)
}

// servePeers serves messages and metrics.
func (b *base) servePeers(listeners map[string]net.Listener) {
	peers := http.NewServeMux()
	peers.Handle(messenger.Path, b.messenger.Handler())
	b.serve(listeners[b.settings.PeerListenAddress()], peers)
	b.serve(listeners[b.settings.MetricsAddress], b.meter.Handler())
}

func (b *base) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerMillis * time.Millisecond, IdleTimeout: idleMillis * time.Millisecond}
	b.servers = append(b.servers, s)
	go func() { _ = s.Serve(l) }()
	return s
}

func (b *base) close() {
	for _, s := range b.servers {
		_ = s.Close()
	}
	b.messenger.Close()
}

// listenAll opens the addresses.
func listenAll(addresses ...string) (map[string]net.Listener, error) {
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

// quoted returns a text as a JSON string.
func quoted(text string) string {
	data, err := json.Marshal(text)
	if err != nil {
		return `""`
	}
	return string(data)
}

// every calls do at intervals until ctx ends. It returns a channel that is closed at
// its end.
func every(ctx context.Context, millis int64, do func(ctx context.Context)) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Duration(millis) * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				do(ctx)
			}
		}
	}()
	return ended
}
