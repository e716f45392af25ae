package node

import (
	"encoding/json"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
)

// wastedMessages counts by cause the messages beyond one request and one answer for each
// task and job. A request and its answer count as two; a message to a peer counts once,
// at its sender, so that the sum over all processes includes each message once.
func (m *metrics) wastedMessages(c dispatch.Counters) map[string]uint64 {
	s := c.Summary.Stats
	causes := map[string]uint64{
		"refused_start": messagesPerExchange * s.NotStarted,
		"settle":        messagesPerExchange * s.Settles,
		"stop":          messagesPerExchange * s.Stops,
		"resubmission":  messagesPerExchange * s.Resubmissions,
		"conflict":      messagesPerExchange * s.Conflicts,
		"cancel":        messagesPerExchange * s.Cancels,
		"id_block":      messagesPerExchange * counterValue(m.idBlocks),
	}
	for kind, n := range c.PeerMessages {
		causes["peer_"+kind] = n
	}
	calls := make(chan prometheus.Metric)
	go func() {
		m.platform.Collect(calls)
		close(calls)
	}()
	for call := range calls {
		var d dto.Metric
		if call.Write(&d) == nil {
			causes["platform_"+d.GetLabel()[0].GetValue()] = messagesPerExchange * uint64(d.GetCounter().GetValue())
		}
	}
	return causes
}

func counterValue(c prometheus.Counter) uint64 {
	var d dto.Metric
	if c.Write(&d) != nil {
		return 0
	}
	return uint64(d.GetCounter().GetValue())
}

// eventCounts returns the core's counters by their names in the dump, so that a counter
// added there is included in the metrics.
func eventCounts(s dispatch.Stats) map[string]uint64 {
	named := make(map[string]uint64)
	raw, err := json.Marshal(s)
	if err == nil {
		err = json.Unmarshal(raw, &named)
	}
	if err != nil {
		panic("node: the core's counters aren't plain numbers: " + err.Error())
	}
	return named
}
