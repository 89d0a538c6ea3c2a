package scheduler

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
)

// TargetCellEngines is the size that cells are kept below, in engines. It bounds the
// time of one decision.
const TargetCellEngines = 64

// plan remembers the cells of the present configuration, which are asked for with
// every job. It is safe for concurrent use.
type plan struct {
	// mu guards everything below.
	mu     sync.Mutex
	config *figseam.Config
	cells  map[placeOfPool]map[figseam.CellID][]figseam.Endpoint
}

type placeOfPool struct {
	pool string
	dc   figseam.DataCentre
}

// of returns [CellsOf] of a configuration. The caller must not change it.
func (p *plan) of(config *figseam.Config, pool string, dc figseam.DataCentre) map[figseam.CellID][]figseam.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config != config {
		p.config, p.cells = config, map[placeOfPool]map[figseam.CellID][]figseam.Endpoint{}
	}
	key := placeOfPool{pool, dc}
	cells, ok := p.cells[key]
	if !ok {
		cells = PartitionPool(config, pool, dc)
		p.cells[key] = cells
	}
	return cells
}

// PartitionPool divides a pool's engines of one data centre into cells. The result
// depends only on the configuration, so all instances come to the same one.
func PartitionPool(config *figseam.Config, pool string, dc figseam.DataCentre) map[figseam.CellID][]figseam.Endpoint {
	var engines []figseam.Endpoint
	for _, e := range config.PoolEndpoints(pool) {
		if e.DataCentre == dc {
			engines = append(engines, e)
		}
	}
	cells := map[figseam.CellID][]figseam.Endpoint{}
	count := (len(engines) + TargetCellEngines - 1) / TargetCellEngines
	for _, e := range engines {
		id := figseam.CellID{Pool: pool, DataCentre: dc, Index: cellIndex(e.Name, count)}
		cells[id] = append(cells[id], e)
	}
	return cells
}

// cellIndex picks a cell by rendezvous hashing, so that one more cell moves only
// the engines that it takes over.
func cellIndex(endpoint figseam.EndpointID, count int) int {
	best, bestSum := 0, uint64(0)
	for i := range count {
		if sum := mix(string(endpoint), uint64(i)); i == 0 || sum > bestSum {
			best, bestSum = i, sum
		}
	}
	return best
}

// CellOwner returns the instance that owns a cell: the usable member of the cell's
// data centre with the highest rendezvous hash. Where all are leaving, one of
// them still serves. It is empty when there is none.
func CellOwner(cell figseam.CellID, members []figseam.Member) figseam.InstanceID {
	var best figseam.InstanceID
	var bestSum uint64
	bestUsable := false
	key := xxhash.Sum64String(cell.Pool+"\x00"+string(cell.DataCentre)) + uint64(cell.Index)
	for _, m := range members {
		if m.DataCentre != cell.DataCentre || (bestUsable && !m.AcceptsWork()) {
			continue
		}
		sum := mix(string(m.ID), key)
		if best == "" || sum > bestSum || (m.AcceptsWork() && !bestUsable) {
			best, bestSum, bestUsable = m.ID, sum, m.AcceptsWork()
		}
	}
	return best
}

func mix(name string, key uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

func sortedCells[V any](cells map[figseam.CellID]V) []figseam.CellID {
	ids := make([]figseam.CellID, 0, len(cells))
	for id := range cells {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b figseam.CellID) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Index, b.Index))
	})
	return ids
}
