package admission

import "time"

const (
	// minSampleWeight is the part of the newest task in a service's estimate.
	minSampleWeight = 1.0 / 256
	// declarationSamples is how many tasks' worth the declaration counts at first.
	declarationSamples = 8
	// Factors beyond these aren't believed.
	minFactor = 0.05
	maxFactor = 20
)

// serviceKey names a service of an institution.
type serviceKey struct{ institution, service string }

// runTimeMeans is the run time observed against the one declared, as running sums.
type runTimeMeans struct {
	observed, declared float64
	count              float64
}

// Estimator corrects declared run times by what the tasks of a service really
// took. Declarations are often off by a factor of two and more, and with them
// every forecast of a wait.
type Estimator struct {
	services map[serviceKey]*runTimeMeans
}

// NewEstimator returns one that believes every declaration.
func NewEstimator() *Estimator {
	return &Estimator{services: make(map[serviceKey]*runTimeMeans)}
}

// Observe takes the run time of a task that ran to its end.
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

// Factor is what a service's tasks take over what they are declared to take.
func (e *Estimator) Factor(institution, service string) float64 {
	r := e.services[serviceKey{institution, service}]
	if r == nil || r.declared <= 0 {
		return 1
	}
	return min(max(r.observed/r.declared, minFactor), maxFactor)
}

// ExpectedRunTime is the run time to expect of a task with a declared one.
func (e *Estimator) ExpectedRunTime(institution, service string, declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * e.Factor(institution, service))
}
