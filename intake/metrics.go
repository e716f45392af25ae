package intake

import (
	"github.com/prometheus/client_golang/prometheus"

	"sapphirepoint.example/sapphirepoint/core/intake"
)

// Metrics holds the metrics of all listeners of a process. Methods of nil do nothing.
type Metrics struct {
	connections *prometheus.GaugeVec
	bytes       *prometheus.GaugeVec
	closes      *prometheus.CounterVec
	rejections  *prometheus.CounterVec
	longHeads   *prometheus.CounterVec
	sheds       *prometheus.CounterVec
}

// NewMetrics returns metrics without values.
func NewMetrics() *Metrics {
	byListener := []string{"listener"}
	return &Metrics{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sapphirepoint_intake_connections", Help: "Open connections, by listener and by what they do: receiving, idle, serving.",
		}, []string{"listener", "state"}),
		bytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sapphirepoint_intake_reserved_bytes", Help: "Memory reserved for connections and their requests.",
		}, byListener),
		closes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphirepoint_intake_closed_total", Help: "Connections closed without an answer, by reason.",
		}, []string{"listener", "reason"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphirepoint_intake_rejected_total", Help: "Connections closed on arrival, since all callers were being served.",
		}, byListener),
		longHeads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphirepoint_intake_long_heads_total", Help: "Requests rejected since their head was over the limit.",
		}, byListener),
		sheds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sapphirepoint_intake_shed_total", Help: "Requests not served since too little memory was free.",
		}, byListener),
	}
}

// Collectors returns the metrics, to be registered.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.connections, m.bytes, m.closes, m.rejections, m.longHeads, m.sheds}
}

func (m *Metrics) update(listener string, s intake.Status) {
	if m == nil {
		return
	}
	m.connections.WithLabelValues(listener, "receiving").Set(float64(s.Receiving))
	m.connections.WithLabelValues(listener, "idle").Set(float64(s.Idle))
	m.connections.WithLabelValues(listener, "serving").Set(float64(s.Serving))
	m.bytes.WithLabelValues(listener).Set(float64(s.Bytes))
}

func (m *Metrics) closed(listener string, r intake.Reason) {
	if m != nil {
		m.closes.WithLabelValues(listener, r.String()).Inc()
	}
}

// unreadAnswer is the reason of a connection that is closed since its caller doesn't read its answer.
const unreadAnswer = "answer-unread"

func (m *Metrics) unread(listener string) {
	if m != nil {
		m.closes.WithLabelValues(listener, unreadAnswer).Inc()
	}
}

func (m *Metrics) rejected(listener string) {
	if m != nil {
		m.rejections.WithLabelValues(listener).Inc()
	}
}

func (m *Metrics) headTooLong(listener string) {
	if m != nil {
		m.longHeads.WithLabelValues(listener).Inc()
	}
}

func (m *Metrics) shed(listener string) {
	if m != nil {
		m.sheds.WithLabelValues(listener).Inc()
	}
}
