package scheduler

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
)

// TargetCellEngines is the largest average number of engines per cell. It limits the time
// of one placement decision. Single cells may exceed it, since hashing does not spread
// engines evenly.
const TargetCellEngines = 64

// partitionCache caches the cells of the current configuration, which every placement
// reads. It is safe for concurrent use.
type partitionCache struct {
	// mu guards everything below.
	mu     sync.Mutex
	config *figseam.Config
	cells  map[partitionKey]map[figseam.CellID][]figseam.Endpoint
}

// partitionKey names a pool's engines in one data centre.
type partitionKey struct {
	pool string
	dc   figseam.DataCentre
}

// cellsOf returns the cached result of [PartitionPool]. The caller must not modify it.
func (p *partitionCache) cellsOf(config *figseam.Config, pool string, dc figseam.DataCentre) map[figseam.CellID][]figseam.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config != config {
		p.config, p.cells = config, map[partitionKey]map[figseam.CellID][]figseam.Endpoint{}
	}
	key := partitionKey{pool, dc}
	cells, ok := p.cells[key]
	if !ok {
		cells = PartitionPool(config, pool, dc)
		p.cells[key] = cells
	}
	return cells
}

// PartitionPool divides a pool's engines of one data centre into cells. The result
// depends only on the configuration, so all instances compute the same cells.
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

// cellIndex selects a cell by rendezvous hashing, so that an additional cell moves only
// the engines that it receives.
func cellIndex(endpoint figseam.EndpointID, count int) int {
	best, bestHash := 0, uint64(0)
	for i := range count {
		if hash := seededHash(string(endpoint), uint64(i)); i == 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	return best
}

// CellOwner returns the owner of a cell: the member of the cell's data centre with the
// highest rendezvous hash among those that accept work, or among all if none does. It
// returns "" if the data centre has no member.
func CellOwner(cell figseam.CellID, members []figseam.Member) figseam.InstanceID {
	var best figseam.InstanceID
	var bestHash uint64
	bestAccepts := false
	seed := xxhash.Sum64String(cell.Pool+"\x00"+string(cell.DataCentre)) + uint64(cell.Index)
	for _, m := range members {
		if m.DataCentre != cell.DataCentre || (bestAccepts && !m.AcceptsWork()) {
			continue
		}
		hash := seededHash(string(m.ID), seed)
		if best == "" || hash > bestHash || (m.AcceptsWork() && !bestAccepts) {
			best, bestHash, bestAccepts = m.ID, hash, m.AcceptsWork()
		}
	}
	return best
}

// seededHash returns a hash of name that depends on seed.
func seededHash(name string, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// sortedCells returns the keys of cells, ordered by pool, data centre and index.
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
