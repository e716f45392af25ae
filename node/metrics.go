package node

import (
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/intake"
)

const (
	namespace = "sapphirepoint"
	// messagesPerExchange counts a request and its answer.
	messagesPerExchange = 2
)

// metrics are the Prometheus metrics of a node.
type metrics struct {
	registry          *prometheus.Registry
	answers           *prometheus.CounterVec
	response          *prometheus.HistogramVec
	responseOverIdeal prometheus.Histogram
	platform          *prometheus.CounterVec
	idBlocks          prometheus.Counter
	shed              prometheus.Counter
	intake            *intake.Metrics
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
		responseOverIdeal: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "response_over_ideal_ratio", Help: "Response time of complete jobs over the run time of their slowest task.",
			Buckets: []float64{1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10},
		}),
		platform: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "platform_calls_total", Help: "Calls of the platform's services.",
		}, []string{"call"}),
		idBlocks: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "id_block_calls_total", Help: "Calls of callers for blocks of ids.",
		}),
		shed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_shed_total", Help: "Requests not served since too little memory was free.",
		}),
		intake: intake.NewMetrics(),
	}
	m.registry.MustRegister(m.shed)
	m.registry.MustRegister(m.intake.Collectors()...)
	m.registry.MustRegister(m.answers, m.response, m.responseOverIdeal, m.platform, m.idBlocks, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &coreCollector{n})
	return m
}

// observeAnswer counts an answer to a caller and records its response time.
func (m *metrics) observeAnswer(a *pb.Answer, took time.Duration) {
	outcome := labelValue(a.GetOutcome().String(), "OUTCOME_")
	m.answers.WithLabelValues(outcome, labelValue(a.GetReason().String(), "REASON_")).Inc()
	m.response.WithLabelValues(outcome).Observe(took.Seconds())
}

// labelValue converts an enum value's name to a label value.
func labelValue(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}

// observeJob records the response time of a complete job over the ideal one.
func (m *metrics) observeJob(e dispatch.JobEnded) {
	if e.Outcome == pb.Outcome_OUTCOME_COMPLETE && e.Ideal > 0 {
		m.responseOverIdeal.Observe(float64(e.Response) / float64(e.Ideal))
	}
}

// countCalls counts the calls made through a transport, by the last element of the
// path, which is the call's name.
func (m *metrics) countCalls(next http.RoundTripper) http.RoundTripper {
	return countingTransport{next, m.platform}
}

type countingTransport struct {
	next  http.RoundTripper
	calls *prometheus.CounterVec
}

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.calls.WithLabelValues(strings.ToLower(path.Base(r.URL.Path))).Inc()
	return t.next.RoundTrip(r)
}

// coreCollector reads the core's counters when metrics are scraped.
type coreCollector struct{ node *Node }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+"_"+name, help, labels, nil)
}

var (
	startsDesc           = newDesc("task_starts_total", "Tasks sent to upstreams to be started.")
	wastedDesc           = newDesc("wasted_messages_total", "Messages beyond one request and one answer for each task and job.", "cause")
	peerDesc             = newDesc("peer_messages_total", "Messages sent to peers.", "kind")
	eventsDesc           = newDesc("events_total", "Events counted by the dispatch core.", "kind")
	queuedDesc           = newDesc("queued_tasks", "Tasks that wait for a slot.", "institution")
	jobsDesc             = newDesc("jobs", "Jobs in progress under this process's claims.")
	runningDesc          = newDesc("running_tasks", "Task starts that aren't settled.")
	slotsDesc            = newDesc("slots", "Upstream slots of this process by use; borrowed ones aren't its own.", "use")
	refusedDesc          = newDesc("refused_jobs_total", "Jobs not taken on, by reason.", "reason")
	limitedUpstreamsDesc = newDesc("upstreams_not_in_full_use", "Upstreams that get less work or none because of their health.")
	claimsDesc           = newDesc("waiting_claims", "Claims that wait for the table service.")
	forwardsDesc         = newDesc("waiting_forwards", "Requests passed on to their holder and not answered.")
	retainedAnswersDesc  = newDesc("kept_answers", "Final answers kept for resubmissions.")
	retainedBytesDesc    = newDesc("kept_answer_bytes", "Size of the answers kept for resubmissions.")
	blocksDesc           = newDesc("id_blocks", "Blocks of issued ids that are still valid.")
	peersDesc            = newDesc("peers", "Connected peers.")
	versionDesc          = newDesc("settings_version", "Version of the settings in force.")
	readyDesc            = newDesc("ready", "1 if the process takes new work.")
)

// Describe implements prometheus.Collector.
func (cc *coreCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{startsDesc, wastedDesc, peerDesc, eventsDesc, queuedDesc, jobsDesc, runningDesc, slotsDesc, refusedDesc, limitedUpstreamsDesc,
		claimsDesc, forwardsDesc, retainedAnswersDesc, retainedBytesDesc, blocksDesc, peersDesc, versionDesc, readyDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (cc *coreCollector) Collect(ch chan<- prometheus.Metric) {
	var c dispatch.Counters
	if !cc.node.call(func(core *dispatch.Core) { c = core.Counters() }) {
		return
	}
	count := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	summary := c.Summary
	count(startsDesc, summary.Stats.Starts)
	for cause, n := range cc.node.metrics.wastedMessages(c) {
		count(wastedDesc, n, cause)
	}
	for kind, n := range c.PeerMessages {
		count(peerDesc, n, kind)
	}
	for kind, n := range eventCounts(summary.Stats) {
		count(eventsDesc, n, kind)
	}
	for institution, n := range c.QueuedTasks {
		gauge(queuedDesc, n, institution)
	}
	gauge(jobsDesc, c.Submissions)
	gauge(runningDesc, c.RunningStarts)
	for use, n := range map[string]int{
		"busy": summary.Slots.Busy, "idle": summary.Slots.Idle, "resting": summary.Slots.CoolingDown, "lent": summary.Slots.Lent, "borrowed": summary.Slots.Borrowed,
	} {
		gauge(slotsDesc, n, use)
	}
	for reason, n := range c.Refusals {
		count(refusedDesc, n, labelValue(reason, "REASON_"))
	}
	gauge(limitedUpstreamsDesc, c.UpstreamsLimited)
	gauge(claimsDesc, summary.ClaimsWaiting)
	gauge(forwardsDesc, summary.Forwards)
	gauge(retainedAnswersDesc, summary.RetainedAnswers)
	gauge(retainedBytesDesc, summary.RetainedBytes)
	gauge(blocksDesc, summary.IDBlocks)
	gauge(peersDesc, c.Peers)
	gauge(versionDesc, int(summary.SettingsVersion))
	ready := 0
	if summary.Ready {
		ready = 1
	}
	gauge(readyDesc, ready)
}
