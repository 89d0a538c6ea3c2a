// Package benchmarker measures the cost of each mechanism at several sizes. The
// capacity estimates in docs/CAPACITY.md extrapolate from the resulting slopes.
package benchmarker

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Measurement holds the values measured at one size.
type Measurement struct {
	Size int `json:"size"`
	// Values maps the name of a quantity, which includes its unit, to its value.
	Values map[string]float64 `json:"values"`
}

// CostCurve is the cost of one mechanism at several sizes.
type CostCurve struct {
	Name string `json:"name"`
	// SizeUnit names the items that the sizes count.
	SizeUnit     string        `json:"per"`
	Measurements []Measurement `json:"points"`
}

// benchmark measures one mechanism at each of its sizes.
type benchmark struct {
	name     string
	sizeUnit string
	sizes    []int
	run      func(size int) (map[string]float64, error)
}

var benchmarks = []benchmark{
	{"membership", "instances", []int{8, 32, 128, 256, 640}, measureMembership},
	{"ledger", "engines in view", []int{12, 120, 1200, 12_000}, measurePlacement},
	{"grants", "live grants of one cell", []int{10, 100, 1000}, measureGrants},
	{"config_spread", "instances", []int{6, 40, 160, 640}, measureConfigPropagation},
	{"config_objects", "objects", []int{55, 550, 5500, 55_000}, measureConfigObjects},
	{"claims", "callers at once", []int{1, 8, 64, 512}, measureClaims},
	{"journal", "changes", []int{42, 420, 4200, 42_000}, measureJournal},
	{"load_reports", "attempts on the engine", []int{1, 5, 20}, measureLoadReport},
}

// Run runs the benchmarks named in selected, or all of them if it is empty, and
// returns their cost curves. It stops at the first error.
func Run(selected map[string]bool) (curves []CostCurve, err error) {
	for _, b := range benchmarks {
		if len(selected) > 0 && !selected[b.name] {
			continue
		}
		c := CostCurve{Name: b.name, SizeUnit: b.sizeUnit}
		for _, size := range b.sizes {
			values, err := b.run(size)
			if err != nil {
				return nil, eris.Wrapf(err, "measure %s at %d", b.name, size)
			}
			c.Measurements = append(c.Measurements, Measurement{Size: size, Values: values})
		}
		curves = append(curves, c)
	}
	return curves, nil
}

// cpuSeconds returns the user and system CPU time of this process, or 0 if it cannot
// be read.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second)
}

// heapBytes returns the size of the live heap after two garbage collections.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
