package logging

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// EventCounter is a hook of a logger that counts its lines by their event. Events are constants in
// the code, so their number is bounded.
type EventCounter struct{ events *prometheus.CounterVec }

// NewEventCounter returns a hook that has counted nothing.
func NewEventCounter() *EventCounter {
	return &EventCounter{events: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sapphirepoint_events_total", Help: "Decisions and changes of belief, by the event of their log line.",
	}, []string{"event"})}
}

// Run implements zerolog.Hook.
func (c *EventCounter) Run(_ *zerolog.Event, _ zerolog.Level, event string) {
	c.events.WithLabelValues(event).Inc()
}

// Collector returns the metric.
func (c *EventCounter) Collector() prometheus.Collector { return c.events }
