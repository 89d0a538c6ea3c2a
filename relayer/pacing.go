package relayer

import "sync"

// durationWeight is the weight of one observation in a mean of [durationMeans].
const durationWeight = 0.05

// durationMeans holds the mean duration of work of each service, in milliseconds. It is safe for
// concurrent use.
type durationMeans struct {
	// mu guards byService.
	mu        sync.Mutex
	byService map[string]float64
}

// value returns the mean of a service; 0 if there is none yet.
func (d *durationMeans) value(service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// observe adds a duration to the mean of a service and returns the mean before.
func (d *durationMeans) observe(service string, millis float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byService == nil {
		d.byService = map[string]float64{}
	}
	mean, ok := d.byService[service]
	if !ok {
		d.byService[service] = millis
		return millis
	}
	d.byService[service] = mean + durationWeight*(millis-mean)
	return mean
}
