package dispatch

import (
	"cmp"
	"slices"

	"sapphirepoint.example/sapphirepoint/core/slots"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// Stats counts the actions of this process since its start.
type Stats struct {
	Starts            uint64 `json:"starts"`
	NotStarted        uint64 `json:"not_started"`
	Settles           uint64 `json:"settles"`
	Stops             uint64 `json:"stops"`
	LateResults       uint64 `json:"late_results"`
	Resubmissions     uint64 `json:"resubmissions"`
	DuplicateRequests uint64 `json:"doubled_requests"`
	Conflicts         uint64 `json:"conflicts"`
	Cancels           uint64 `json:"cancels"`
	Forwards          uint64 `json:"forwards"`
	UnmatchedAnswers  uint64 `json:"foreign_answers"`
	PeerMessages      uint64 `json:"peer_messages"`
	ClaimWrites       uint64 `json:"claim_writes"`
	Borrowed          uint64 `json:"borrowed_slots"`
	Lent              uint64 `json:"lent_slots"`
	Reclaims          uint64 `json:"reclaimed_slots"`
	Pauses            uint64 `json:"pauses"`
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	return c.stats
}

// Dump is the state of the process for operators. Times are in milliseconds since the
// start of the process.
type Dump struct {
	Incarnation         string           `json:"incarnation"`
	FailureDomain       string           `json:"failure_domain"`
	NowMs               int64            `json:"now_ms"`
	Ready               bool             `json:"ready"`
	Draining            bool             `json:"draining"`
	SettingsVersion     uint64           `json:"settings_version"`
	OwnedSlots          int              `json:"owned_slots"`
	IdleSlots           int              `json:"idle_slots"`
	Slots               slots.Counts     `json:"slots"`
	IDBlocks            int              `json:"id_blocks"`
	RetainedAnswers     int              `json:"kept_answers"`
	RetainedBytes       int              `json:"kept_bytes"`
	OpenRequests        int              `json:"open_requests"`
	KnownHolders        int              `json:"holders_known"`
	UnsettledClaims     int              `json:"unsettled_claims"`
	AdoptedIncarnations []string         `json:"answers_for"`
	ClaimsWaiting       int              `json:"claims_waiting"`
	Forwards            int              `json:"forwards"`
	Submissions         []DumpSubmission `json:"submissions"`
	Starts              []DumpStart      `json:"starts"`
	Peers               []DumpPeer       `json:"peers"`
	Constraints         DumpConstraints  `json:"terms"`
	Stats               Stats            `json:"stats"`
}

// DumpSubmission is a submission in progress and what it waits for.
type DumpSubmission struct {
	ID         string `json:"id"`
	Phase      string `json:"phase"`
	Requests   int    `json:"askers"`
	ArrivedMs  int64  `json:"arrived_ms"`
	DeadlineMs int64  `json:"deadline_ms"`
	Waiting    int    `json:"waiting_tasks"`
	Running    int    `json:"running_tasks"`
	WaitsFor   string `json:"waits_for"`
}

// DumpStart is a task start without a final result.
type DumpStart struct {
	Name     string `json:"name"`
	Upstream string `json:"upstream"`
	SentMs   int64  `json:"sent_ms"`
	Settles  int    `json:"settles"`
}

// DumpPeer is a connected peer.
type DumpPeer struct {
	Incarnation     string `json:"incarnation"`
	FailureDomain   string `json:"failure_domain"`
	SettingsVersion uint64 `json:"settings_version"`
	LastHeardMs     int64  `json:"heard_ms"`
	Stopping        bool   `json:"stopping"`
	BorrowedSlots   int    `json:"borrowed_slots"`
}

// Dump returns the current state.
func (c *Core) Dump() Dump {
	d := c.summary()
	d.Submissions = c.dumpSubmissions()
	d.Starts = c.dumpStarts()
	d.Peers = c.dumpPeers()
	d.Constraints = c.dumpConstraints()
	return d
}

// summary returns a dump without its lists.
func (c *Core) summary() Dump {
	return Dump{
		Incarnation:         c.cfg.Self.String(),
		FailureDomain:       c.cfg.FailureDomain,
		NowMs:               c.now.Milliseconds(),
		Ready:               c.Ready(),
		Draining:            c.draining,
		SettingsVersion:     c.settings.Version(),
		OwnedSlots:          c.pool.Owned(),
		IdleSlots:           c.pool.TotalIdleOwn(),
		Slots:               c.pool.Counts(),
		IDBlocks:            c.issuer.Blocks(),
		RetainedAnswers:     c.answers.Len(),
		RetainedBytes:       c.answers.Bytes(),
		OpenRequests:        len(c.requests),
		KnownHolders:        c.holders.Len(),
		UnsettledClaims:     c.unsettledClaims.Len(),
		AdoptedIncarnations: c.adoptedNames(),
		ClaimsWaiting:       len(c.claims.waiting) + len(c.claims.inFlight),
		Forwards:            len(c.forwarding.forwards),
		Stats:               c.stats,
	}
}

func (c *Core) dumpSubmissions() []DumpSubmission {
	var list []DumpSubmission
	for _, id := range sortedIDs(c.submissions) {
		sub := c.submissions[id]
		d := DumpSubmission{
			ID:         id.String(),
			Phase:      "claiming",
			Requests:   len(sub.waiters),
			ArrivedMs:  sub.arrived.Milliseconds(),
			DeadlineMs: sub.deadline.Milliseconds(),
			WaitsFor:   "its claim in the table service",
		}
		if sub.phase == held {
			d.Phase = "held"
			d.Waiting = sub.assembly.Waiting()
			d.Running = sub.assembly.Running()
			d.WaitsFor = c.waitsFor(sub)
		}
		list = append(list, d)
	}
	return list
}

func (c *Core) waitsFor(sub *submission) string {
	switch {
	case sub.assembly.Waiting() == 0:
		return "its running tasks"
	case len(sub.waiters) == 0 && !sub.assembly.MayHaveRun():
		return "a caller: nobody asks for it at present"
	case c.blockedBy(sub) != "":
		return c.blockedBy(sub)
	case c.pool.Idle(sub.id.Institution) == 0:
		return "an idle slot"
	default:
		return "the back-off of a refused start"
	}
}

func (c *Core) dumpStarts() []DumpStart {
	var list []DumpStart
	for _, s := range c.starts {
		list = append(list, DumpStart{s.name, s.slot.Upstream, s.sent.Milliseconds(), s.settles})
	}
	slices.SortFunc(list, func(a, b DumpStart) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (c *Core) dumpPeers() []DumpPeer {
	var list []DumpPeer
	for _, p := range c.sortedPeers() {
		st := c.peers[p]
		list = append(list, DumpPeer{p.String(), st.failureDomain, st.status.GetSettingsVersion(), st.lastContact.Milliseconds(), st.status.GetStopping(), c.pool.Borrowed(p)})
	}
	return list
}

// NodeVersions returns the settings versions of this process, its peers and the
// listed nodes that are not connected.
func (c *Core) NodeVersions() []*pb.NodeVersion {
	list := []*pb.NodeVersion{{
		Incarnation:   c.cfg.Self.Proto(),
		FailureDomain: c.cfg.FailureDomain,
		Version:       c.settings.Version(),
		Connected:     true,
	}}
	for _, p := range c.sortedPeers() {
		st := c.peers[p]
		list = append(list, &pb.NodeVersion{
			Incarnation:   p.Proto(),
			FailureDomain: st.failureDomain,
			Version:       st.status.GetSettingsVersion(),
			AgeMs:         uint64((c.now - st.lastContact).Milliseconds()),
			Connected:     true,
		})
	}
	return append(list, c.absentVersions()...)
}

// Settings returns the settings in force, or nil.
func (c *Core) Settings() *pb.Settings {
	return c.settings.Current()
}
