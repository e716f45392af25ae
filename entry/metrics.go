package entry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"sapphirepoint.example/sapphirepoint/core/fleet"
	"sapphirepoint.example/sapphirepoint/core/schedule"
	"sapphirepoint.example/sapphirepoint/core/workload"
	"sapphirepoint.example/sapphirepoint/peer"
)

// metrics holds the counters, gauges and histograms of a process.
type metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	requestSeconds  *prometheus.HistogramVec
	calls           *prometheus.CounterVec
	callSeconds     *prometheus.HistogramVec
	ledgerSeconds   *prometheus.HistogramVec
	storeFailures   *prometheus.CounterVec
	droppedMessages prometheus.Counter
	unknownPeers    prometheus.Counter
	leading         prometheus.Gauge
	jobsInFlight    prometheus.Gauge
	scheduled       *prometheus.GaugeVec
	messages        *prometheus.CounterVec
	connections     *prometheus.GaugeVec
	seatDoublings   prometheus.Gauge
	evacuated       prometheus.Gauge
	refusals        *prometheus.CounterVec
	settingsAge     prometheus.Gauge
	requestAge      prometheus.Histogram
	settingsWaits   *prometheus.CounterVec
	scheduledBytes  prometheus.Gauge
	invalid         *prometheus.CounterVec
}

// latencyBuckets range from answers within a few milliseconds to callers' timeouts.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .3, .5, .75, 1, 1.5, 2.5}

// settingsAgeBuckets range from an answer of the store to an outage.
var settingsAgeBuckets = []float64{.5, 1, 1.25, 1.5, 1.75, 2, 2.25, 2.5, 3, 4, 8}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphirepoint_requests_total", Help: "Requests answered, by queue and outcome.",
		}, []string{"queue", "outcome"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sapphirepoint_request_seconds", Help: "Time from arrival to answer.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphirepoint_runner_orders_total", Help: "Orders to runners, by kind and outcome.",
		}, []string{"order", "outcome"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sapphirepoint_runner_order_seconds", Help: "Time until a runner has answered an order.", Buckets: latencyBuckets,
		}, []string{"order"}),
		ledgerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sapphirepoint_ledger_call_seconds", Help: "Time of a call that keeps stored jobs, by kind and outcome.", Buckets: latencyBuckets,
		}, []string{"call", "outcome"}),
		storeFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphirepoint_store_failures_total", Help: "Failed calls to the platform's store.",
		}, []string{"call"}),
		droppedMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sapphirepoint_peer_messages_dropped_total", Help: "Messages to processes without a connection.",
		}),
		unknownPeers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sapphirepoint_peers_unknown_total", Help: "Attempts to connect by processes that aren't among the members that were last read.",
		}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sapphirepoint_leading", Help: "1 while this process schedules.",
		}),
		jobsInFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sapphirepoint_jobs_in_hand", Help: "Jobs whose callers wait here.",
		}),
		scheduled: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sapphirepoint_scheduled", Help: "What the scheduler has done since the start, by event.",
		}, []string{"event"}),
	}
	m.messages = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphirepoint_peer_messages_total", Help: "Messages between processes, by direction and kind.",
	}, []string{"direction", "kind"})
	m.connections = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "sapphirepoint_peer_connections", Help: "Connections with other processes: those that stand, and those asked for.",
	}, []string{"state"})
	m.seatDoublings = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "sapphirepoint_seats_widened", Help: "How often the number of seats was doubled, since no scheduler of the cell was in reach.",
	})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphirepoint_refusals_total", Help: "Requests refused or given up, by queue and cause.",
	}, []string{"queue", "cause"})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "sapphirepoint_evacuated_domains", Help: "Failure domains that get no new tasks, by the operator's word.",
	})
	m.settingsAge = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "sapphirepoint_operator_settings_age_seconds", Help: "Time since the operator's settings in force were last confirmed by the store.",
	})
	m.requestAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "sapphirepoint_request_settings_age_seconds", Help: "Age of the operator's settings by which a request was routed.", Buckets: settingsAgeBuckets,
	})
	m.settingsWaits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphirepoint_settings_waits_total", Help: "Requests that awaited a confirmation of the operator's settings, by outcome.",
	}, []string{"outcome"})
	m.scheduledBytes = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "sapphirepoint_scheduled_bytes", Help: "Memory that the jobs of this process's schedulers take.",
	})
	m.invalid = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphirepoint_invalid_requests_total", Help: "Requests that can't be decoded or exceed a limit, by status.",
	}, []string{"status"})
	m.registry.MustRegister(m.scheduledBytes, m.invalid)
	m.registry.MustRegister(m.messages, m.connections, m.seatDoublings, m.evacuated, m.refusals, m.settingsAge, m.requestAge, m.settingsWaits)
	m.registry.MustRegister(m.requests, m.requestSeconds, m.calls, m.callSeconds, m.ledgerSeconds, m.storeFailures,
		m.droppedMessages, m.unknownPeers, m.leading, m.jobsInFlight, m.scheduled)
	return m
}

// CountRefusal counts a request that was refused or given up. The queue is empty if it isn't known.
func (p *Process) CountRefusal(queue string, cause workload.RefusalCause) {
	p.metrics.refusals.WithLabelValues(queue, cause.String()).Inc()
}

// CountInvalid counts a request that can't be decoded or exceeds a limit, by the status of its answer.
func (p *Process) CountInvalid(status int) {
	p.metrics.invalid.WithLabelValues(strconv.Itoa(status)).Inc()
}

// newInboxWaits returns the counter of messages that have waited for memory.
func newInboxWaits(m *peer.Mesh) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sapphirepoint_peer_inbox_waits_total", Help: "Messages of other processes that have waited for memory.",
	}, func() float64 { return float64(m.InboxWaits()) })
}

// Metrics returns the registry of the process's metrics.
func (p *Process) Metrics() *prometheus.Registry { return p.metrics.registry }

// update sets the gauges from the node's state.
func (m *metrics) update(n *fleet.Node) {
	m.leading.Set(0)
	if n.Leads() {
		m.leading.Set(1)
	}
	m.jobsInFlight.Set(float64(n.JobsInFlight()))
	membership := n.MembershipStatus()
	m.seatDoublings.Set(float64(membership.SeatDoublings))
	m.evacuated.Set(float64(len(n.Evacuations().Domains)))
	m.connections.WithLabelValues("wanted").Set(float64(membership.WantedConnections))
	m.connections.WithLabelValues("standing").Set(float64(n.Connections()))
	m.updateCounters(n.Counters())
}

func (m *metrics) updateCounters(c schedule.Counters) {
	set := func(event string, n uint64) { m.scheduled.WithLabelValues(event).Set(float64(n)) }
	set("starts", c.Starts)
	set("done", c.Done)
	set("failed", c.FailedRuns)
	set("lapsed", c.Lapsed)
	set("adopted", c.Adopted)
	set("overdue", c.Overstayed)
	set("fenced", c.Fenced)
	set("unanswered", c.Unanswered)
	set("starts-repeated", c.StartsRepeated)
	set("repeats-rejected", c.RepeatsRejected)
	set("ran-twice", c.RanTwice)
	set("done-after-drop", c.DoneAfterDrop)
	set("lease-overruns", c.LeaseOverruns)
	for reason, n := range c.Dropped {
		set("dropped-"+schedule.DropReason(reason).String(), n)
	}
	for reason, n := range c.Stops {
		set("stops-"+schedule.StopReason(reason).String(), n)
	}
	set("room-requested", c.Lending.Requested)
	set("room-received", c.Lending.Received)
	set("jobs-lent", c.Lending.JobsLent)
	set("lent-jobs-handed-back", c.Lending.HandedBack)
	set("room-requests-expired", c.Lending.RequestsExpired)
	set("room-granted", c.Lending.Granted)
	set("room-denied", c.Lending.Denied)
	set("room-used", c.Lending.Used)
	set("room-expired", c.Lending.Expired)
}
