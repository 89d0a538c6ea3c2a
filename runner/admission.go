package runner

import (
	"syscall"

	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/limiter"
)

const (
	// defaultDescriptors is the assumed limit on descriptors if the operating system states
	// none.
	defaultDescriptors = 1024
	// minConnections is the least number of connections that a server accepts.
	minConnections = 16
	// headMemoryShare, bodyMemoryShare and operatorMemoryShare are the shares of the memory
	// of a process that heads of unfinished requests, callers' bodies and operators' bodies
	// may occupy together.
	headMemoryShare     = 0.1
	bodyMemoryShare     = 0.1
	operatorMemoryShare = 0.125
	// connectionsPerMegabyte is the number of connections for each megabyte of the process's
	// memory: each takes about 24 KB for its buffers and goroutine, together a fifth.
	connectionsPerMegabyte = 8
)

// Shares of the descriptors of a process that are for the connections to its servers, and of an
// entry for those to endpoints. The rest is for connections to other instances, and for files.
// A streamed request of a caller holds up to three connections to engines at a time.
const (
	callerDescriptorShare   = 1.0 / 4
	endpointDescriptorShare = 1.0 / 2
	operatorDescriptorShare = 1.0 / 8
	entryPeerShare          = 1.0 / 8
	voterPeerShare          = 1.0 / 2
	probeDescriptorShare    = 1.0 / 32
)

// descriptorLimit returns the limit on the descriptors of the process.
func (b *base) descriptorLimit() int {
	if b.settings.MaxDescriptors > 0 {
		return b.settings.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 || limit.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}

// memoryShare returns a share of the memory of the process, in bytes.
func (b *base) memoryShare(share float64) int64 {
	return int64(share * b.settings.MemoryLimitMegabytes * (1 << 20))
}

// newConnections returns the connections of a server that may use a share of the descriptors.
func (b *base) newConnections(name string, descriptorShare float64) *limiter.Connections {
	count := min(descriptorShare*float64(b.descriptorLimit()), connectionsPerMegabyte*b.settings.MemoryLimitMegabytes)
	c := limiter.NewConnections(name, max(minConnections, int(count)), b.memoryShare(headMemoryShare), b.log)
	b.meter.RegisterGauge("figseam_"+name+"_connections", "Connections to the server for "+name+".", func() float64 { return float64(c.Len()) })
	b.meter.RegisterGauge("figseam_"+name+"_connections_evicted", "Connections to the server for "+name+" that were closed to free places or memory.", func() float64 { return float64(c.Evicted()) })
	return c
}

// newConnector returns the connector for endpoints.
func (b *base) newConnector() *connector.Connector {
	return connector.NewBounded(nil, max(minConnections, int(endpointDescriptorShare*float64(b.descriptorLimit()))))
}
