package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const namespace = "sapphirepoint"

// metrics are the Prometheus metrics of a node.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	response *prometheus.HistogramVec
	ratio    prometheus.Histogram
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total", Help: "Answers given to callers.",
		}, []string{"outcome", "reason"}),
		response: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "response_seconds", Help: "Time from a caller's request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"outcome"}),
		ratio: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "response_over_ideal_ratio", Help: "Response time of complete jobs over the run time of their slowest task.",
			Buckets: []float64{1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10},
		}),
	}
	m.registry.MustRegister(m.answers, m.response, m.ratio, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &coreCollector{n})
	return m
}

func (m *metrics) answered(a *pb.Answer, took time.Duration) {
	m.answers.WithLabelValues(a.GetOutcome().String(), a.GetReason().String()).Inc()
	m.response.WithLabelValues(a.GetOutcome().String()).Observe(took.Seconds())
}

func (m *metrics) ended(e dispatch.Ended) {
	if e.Outcome == pb.Outcome_OUTCOME_COMPLETE && e.Ideal > 0 {
		m.ratio.Observe(float64(e.Response) / float64(e.Ideal))
	}
}

// coreCollector reads the core's counters when metrics are scraped.
type coreCollector struct{ node *Node }

var (
	eventsDesc = prometheus.NewDesc(namespace+"_events_total", "Events counted by the dispatch core.", []string{"kind"}, nil)
	stateDesc  = prometheus.NewDesc(namespace+"_state", "Present sizes in the dispatch core.", []string{"of"}, nil)
)

// Describe implements prometheus.Collector.
func (cc *coreCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- eventsDesc
	ch <- stateDesc
}

// Collect implements prometheus.Collector.
func (cc *coreCollector) Collect(ch chan<- prometheus.Metric) {
	d := cc.node.dump()
	counters := map[string]uint64{
		"start": d.Stats.Starts, "not_started": d.Stats.NotStarted, "settle": d.Stats.Settles,
		"stop": d.Stats.Stops, "late_result": d.Stats.LateResults, "resubmission": d.Stats.Resubmissions,
		"conflict": d.Stats.Conflicts, "cancel": d.Stats.Cancels, "forward": d.Stats.Forwards,
		"foreign_answer": d.Stats.ForeignAnswers, "peer_message": d.Stats.PeerMessages, "claim_write": d.Stats.ClaimWrites,
	}
	for kind, v := range counters {
		ch <- prometheus.MustNewConstMetric(eventsDesc, prometheus.CounterValue, float64(v), kind)
	}
	gauges := map[string]int{
		"owned_slots": d.OwnedSlots, "submissions": len(d.Submissions), "running_starts": len(d.Starts),
		"kept_answers": d.KeptAnswers, "kept_bytes": d.KeptBytes, "peers": len(d.Peers),
	}
	for of, v := range gauges {
		ch <- prometheus.MustNewConstMetric(stateDesc, prometheus.GaugeValue, float64(v), of)
	}
}
