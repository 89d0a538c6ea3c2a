// Package benchmarker measures how the cost of each mechanism grows with the size of
// the system, so that docs/CAPACITY.md can be worked out from slopes.
package benchmarker

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Measurement is one measurement at one size.
type Measurement struct {
	Size   int                `json:"size"`
	Values map[string]float64 `json:"values"`
}

// CostCurve is a mechanism's cost at several sizes.
type CostCurve struct {
	Name string `json:"name"`
	// SizeUnit tells what the size counts.
	SizeUnit     string        `json:"per"`
	Measurements []Measurement `json:"points"`
}

// measure is one row of the table of slopes.
type measure struct {
	name  string
	per   string
	sizes []int
	run   func(size int) (map[string]float64, error)
}

var measures = []measure{
	{"membership", "instances", []int{8, 32, 128, 256, 640}, membership},
	{"ledger", "engines in view", []int{12, 120, 1200, 12_000}, ledger},
	{"grants", "live grants of one cell", []int{10, 100, 1000}, grants},
	{"config_spread", "instances", []int{6, 40, 160, 640}, configSpread},
	{"config_objects", "objects", []int{55, 550, 5500, 55_000}, configObjects},
	{"claims", "callers at once", []int{1, 8, 64, 512}, claims},
	{"journal", "changes", []int{42, 420, 4200, 42_000}, journal},
	{"load_reports", "attempts on the engine", []int{1, 5, 20}, loadReports},
}

// Run measures every slope whose name is wanted; none wanted means all.
func Run(wanted map[string]bool) (slopes []CostCurve, err error) {
	for _, m := range measures {
		if len(wanted) > 0 && !wanted[m.name] {
			continue
		}
		s := CostCurve{Name: m.name, SizeUnit: m.per}
		for _, size := range m.sizes {
			values, err := m.run(size)
			if err != nil {
				return nil, eris.Wrapf(err, "measure %s at %d", m.name, size)
			}
			s.Measurements = append(s.Measurements, Measurement{Size: size, Values: values})
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// cpuSeconds returns the processor time of this process so far.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / float64(time.Second)
}

// heapBytes returns the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
