package admission

import "time"

const (
	// minSampleWeight is the least weight of a new sample in a service's running means.
	minSampleWeight = 1.0 / 256
	// declarationSamples is the number of samples for which the first declaration counts
	// initially.
	declarationSamples = 8
	// minFactor and maxFactor limit the correction factor.
	minFactor = 0.05
	maxFactor = 20
)

// serviceKey identifies a service of an institution.
type serviceKey struct{ institution, service string }

// runTimeMeans holds the running means, in seconds, of the observed and the declared run times.
type runTimeMeans struct {
	observed, declared float64
	count              float64
}

// Estimator corrects declared run times by observed ones. Declarations are often wrong by a factor
// of two and more, and so would be every expected wait computed from them.
type Estimator struct {
	services map[serviceKey]*runTimeMeans
}

// NewEstimator returns an estimator without observations, whose factors are 1.
func NewEstimator() *Estimator {
	return &Estimator{services: make(map[serviceKey]*runTimeMeans)}
}

// Observe records the run time of a task that ran to its end.
func (e *Estimator) Observe(institution, service string, declared, took time.Duration) {
	k := serviceKey{institution, service}
	r := e.services[k]
	if r == nil {
		r = &runTimeMeans{observed: declared.Seconds(), declared: declared.Seconds(), count: declarationSamples}
		e.services[k] = r
	}
	r.count++
	w := max(1/r.count, minSampleWeight)
	r.observed += w * (took.Seconds() - r.observed)
	r.declared += w * (declared.Seconds() - r.declared)
}

// Factor returns the ratio of observed to declared run times of a service's tasks.
func (e *Estimator) Factor(institution, service string) float64 {
	r := e.services[serviceKey{institution, service}]
	if r == nil || r.declared <= 0 {
		return 1
	}
	return min(max(r.observed/r.declared, minFactor), maxFactor)
}

// ExpectedRunTime returns the declared run time of a task multiplied by its service's factor.
func (e *Estimator) ExpectedRunTime(institution, service string, declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * e.Factor(institution, service))
}
