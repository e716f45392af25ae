package explain

import (
	"strings"

	"sapphirepoint.example/sapphirepoint/core/workload"
)

// reasonCauses are the causes of refusals by a part of their reasons, for logs of versions that
// didn't log the cause.
var reasonCauses = []struct {
	part  string
	cause workload.RefusalCause
}{
	{"shards aren't known", workload.NotConfigured},
	{"wait of", workload.LackOfRoom},
	{"more comes than can be done", workload.LackOfRoom},
	{"accepted work for", workload.LackOfRoom},
	{"too little time", workload.TooLittleTime},
	{"time is up", workload.TimeUp},
	{"evacuated", workload.RunnersEvacuated},
	{"no runner can be reached", workload.NoRunner},
	{"no runner has", workload.NoFittingRunner},
	{"doesn't lead", workload.NotLeading},
	{"another process", workload.NotLeading},
	{"it is uncertain whether", workload.NotLeading},
	{"scheduler can't be reached", workload.NoScheduler},
	{"no scheduler can be reached", workload.NoScheduler},
	{"no scheduler", workload.NoScheduler},
	{"no answer from the scheduler", workload.NoAnswer},
	{"about to end", workload.ProcessEnding},
	{"process ends", workload.ProcessEnding},
	{"process has ended", workload.ProcessEnding},
	{"store doesn't answer", workload.StoreUnavailable},
	{"couldn't be read", workload.StoreUnavailable},
	{"end is being written", workload.StoreUnavailable},
	{"a copy was refused", workload.CopyRefused},
	{"known", workload.CopyRefused},
	{"no configuration yet", workload.NotConfigured},
	{"not served here", workload.NotServed},
}

// refusalOf reads the cause of a refusal from a line: from its cause, or else from its reason.
func refusalOf(l Line) workload.RefusalCause {
	if name := l.Fields["cause"]; name != "" {
		return workload.ParseRefusalCause(name)
	}
	if o := l.Fields["outcome"]; o != "" && o != "not-run" && o != "gave-up" {
		// A copy of a completed job is answered with a reason, too.
		return workload.NotRefused
	}
	for _, r := range reasonCauses {
		if strings.Contains(l.Fields["reason"], r.part) {
			return r.cause
		}
	}
	return workload.NotRefused
}

// refusal returns the cause for which a job was refused or given up: that of its answer, or else
// that of the scheduler's last line on it.
func refusal(answer Line, jobLines []Line) workload.RefusalCause {
	if c := refusalOf(answer); c != workload.NotRefused {
		return c
	}
	return refusalOf(endedLine(jobLines))
}

// lossCauses are the causes of losses by the causes of refusals.
var lossCauses = map[workload.RefusalCause]Cause{
	workload.LackOfRoom:       RefusedNoRoom,
	workload.TooLittleTime:    RefusedNoTime,
	workload.TimeUp:           TimeUp,
	workload.RunnersEvacuated: RefusedEvacuated,
	workload.NoRunner:         RefusedNoRunner,
	workload.NoFittingRunner:  RefusedNoFit,
	workload.NotLeading:       RefusedNotLeading,
	workload.NoScheduler:      RefusedNoScheduler,
	workload.NoAnswer:         NoVerdict,
	workload.ProcessEnding:    RefusedEnding,
	workload.StoreUnavailable: RefusedStore,
	workload.CopyRefused:      RefusedCopy,
	workload.NotConfigured:    RefusedNotConfigured,
	workload.NotServed:        RefusedNotServed,
	workload.RunnerSilent:     RefusedRunnerSilent,
	workload.LackOfMemory:     RefusedNoMemory,
	workload.OtherRefusal:     RefusedOther,
}

// certainRefusals are the causes of refusals that no event of the system brings about.
var certainRefusals = map[workload.RefusalCause]bool{
	workload.RunnersEvacuated: true,
	workload.NoFittingRunner:  true,
	workload.NotServed:        true,
}
