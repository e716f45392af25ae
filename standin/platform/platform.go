// Package platform is a small stand-in for the platform: a transactional table service, an object
// store, and a list of VMs that is published with a lag. Faults can be injected into each of them.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	"sapphirepoint.example/sapphirepoint/gen/platformv1/platformv1connect"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

// DefaultWriteCost and DefaultReadCost are the times that one call takes at the table service, which
// allows about 330 transactions and 2,000 reads a second. DefaultListLag is the time after which a
// change of the list of VMs is published.
const (
	DefaultWriteCost = 3 * time.Millisecond
	DefaultReadCost  = 500 * time.Microsecond
	DefaultListLag   = 500 * time.Millisecond
)

// Faults are the faults injected at present.
type Faults struct {
	// Outage: every call fails.
	Outage bool `json:"outage"`
	// Hang: calls are accepted and never answered.
	Hang bool `json:"hang"`
	// DelayMs is added to every call, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is the number of next commits that take effect but whose reply is lost.
	LoseReplies int `json:"lose_replies"`
	// ThenOutage begins an outage with the last of the lost replies.
	ThenOutage bool `json:"then_outage"`
}

// Counts are the numbers of calls served, and of rows stored.
type Counts struct {
	Reads   int `json:"reads"`
	Commits int `json:"commits"`
	Rows    int `json:"rows"`
}

// memberList is a list of VMs with the time at which it was set.
type memberList struct {
	at      time.Time
	members []*platformv1.Member
}

// Platform is the stand-in.
type Platform struct {
	writeCost time.Duration
	readCost  time.Duration
	lag       time.Duration

	// writeMu and readMu serialize writes and reads; see occupy.
	writeMu sync.Mutex
	readMu  sync.Mutex

	mu     sync.Mutex
	faults Faults
	rows   map[string]*platformv1.Row
	// expires is when a row expires; rows without an entry don't.
	expires     map[string]time.Time
	objects     map[string][]byte
	memberLists []memberList
	counts      Counts
}

// New returns a platform with the default costs.
func New() *Platform {
	return &Platform{
		writeCost: DefaultWriteCost,
		readCost:  DefaultReadCost,
		lag:       DefaultListLag,
		rows:      make(map[string]*platformv1.Row),
		expires:   make(map[string]time.Time),
		objects:   make(map[string][]byte),
	}
}

// Serve answers on a listener until it is closed.
func (p *Platform) Serve(l net.Listener) error {
	var proto http.Protocols
	proto.SetHTTP1(true)
	proto.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: p.Handler(), Protocols: &proto, ReadHeaderTimeout: 5 * time.Second}
	return s.Serve(l)
}

// Handler serves the platform's calls and the control endpoints.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewTableServiceHandler(tableService{p}))
	mux.Handle(platformv1connect.NewObjectServiceHandler(objectService{p}))
	mux.Handle(platformv1connect.NewMembershipServiceHandler(membershipService{p}))
	mux.HandleFunc("POST /control/faults", p.controlFaults)
	mux.HandleFunc("POST /control/members", p.controlMembers)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(p.Counts()) })
	return mux
}

func (p *Platform) controlFaults(w http.ResponseWriter, q *http.Request) {
	var f Faults
	if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) controlMembers(w http.ResponseWriter, q *http.Request) {
	var list []*platformv1.Member
	if err := json.NewDecoder(q.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMembers(list)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetMembers replaces the list of VMs; readers see the change after the lag.
func (p *Platform) SetMembers(list []*platformv1.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memberLists = append(p.memberLists, memberList{time.Now(), list})
}

// Counts returns the number of calls served.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Rows = len(p.rows)
	return c
}

// applyFaults applies an outage, hang or delay to a call.
func (p *Platform) applyFaults(ctx context.Context) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Outage {
		return connect.NewError(connect.CodeUnavailable, errors.New("outage"))
	}
	if f.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// occupy serializes calls through a mutex that each of them holds for d, so that at most 1/d of them are
// served per unit of time.
func occupy(m *sync.Mutex, d time.Duration) {
	m.Lock()
	defer m.Unlock()
	time.Sleep(d)
}

type tableService struct{ p *Platform }

// Read implements TableService.
func (t tableService) Read(ctx context.Context, req *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	if err := t.p.applyFaults(ctx); err != nil {
		return nil, err
	}
	occupy(&t.p.readMu, t.p.readCost)
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.p.counts.Reads++
	res := &platformv1.ReadResponse{}
	known := req.Msg.GetKnownVersions()
	for i, key := range req.Msg.GetKeys() {
		row := t.p.liveRow(key)
		switch {
		case row == nil:
		case i < len(known) && known[i] == row.GetVersion():
			res.Rows = append(res.Rows, &platformv1.Row{Key: key, Version: row.GetVersion()})
		default:
			res.Rows = append(res.Rows, proto.Clone(row).(*platformv1.Row))
		}
	}
	return connect.NewResponse(res), nil
}

// Commit implements TableService.
func (t tableService) Commit(ctx context.Context, req *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	if err := t.p.applyFaults(ctx); err != nil {
		return nil, err
	}
	occupy(&t.p.writeMu, t.p.writeCost)
	res, lost := t.p.commit(req.Msg.GetWrites())
	if lost {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the reply is lost"))
	}
	return connect.NewResponse(res), nil
}

// liveRow returns a row, or nil if there is none. A row that has expired is deleted. The caller holds
// the lock.
func (p *Platform) liveRow(key string) *platformv1.Row {
	if at, hasTTL := p.expires[key]; hasTTL && time.Now().After(at) {
		delete(p.rows, key)
		delete(p.expires, key)
	}
	return p.rows[key]
}

// commit applies the writes if all rows have the expected versions, and otherwise returns the current
// rows that don't. The second result reports whether the reply is to be lost.
func (p *Platform) commit(writes []*platformv1.Write) (*platformv1.CommitResponse, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Commits++
	lost := p.faults.LoseReplies > 0
	if lost {
		p.faults.LoseReplies--
		p.faults.Outage = p.faults.Outage || (p.faults.ThenOutage && p.faults.LoseReplies == 0)
	}
	res := &platformv1.CommitResponse{}
	for _, w := range writes {
		row := p.liveRow(w.GetKey())
		if row.GetVersion() != w.GetExpectedVersion() {
			current := &platformv1.Row{Key: w.GetKey()}
			if row != nil {
				current = proto.Clone(row).(*platformv1.Row)
			}
			res.Conflicts = append(res.Conflicts, current)
		}
	}
	if len(res.Conflicts) > 0 {
		return res, lost
	}
	for _, w := range writes {
		p.rows[w.GetKey()] = &platformv1.Row{Key: w.GetKey(), Value: w.GetValue(), Version: w.GetExpectedVersion() + 1}
		delete(p.expires, w.GetKey())
		if ttl := w.GetTtlS(); ttl > 0 {
			p.expires[w.GetKey()] = time.Now().Add(time.Duration(ttl) * time.Second)
		}
	}
	res.Committed = true
	return res, lost
}

type objectService struct{ p *Platform }

// Put implements ObjectService.
func (o objectService) Put(ctx context.Context, req *connect.Request[platformv1.PutRequest]) (*connect.Response[platformv1.PutResponse], error) {
	if err := o.p.applyFaults(ctx); err != nil {
		return nil, err
	}
	occupy(&o.p.writeMu, o.p.writeCost)
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	o.p.objects[req.Msg.GetName()] = req.Msg.GetData()
	return connect.NewResponse(&platformv1.PutResponse{}), nil
}

// Get implements ObjectService.
func (o objectService) Get(ctx context.Context, req *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	if err := o.p.applyFaults(ctx); err != nil {
		return nil, err
	}
	occupy(&o.p.readMu, o.p.readCost)
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	data, found := o.p.objects[req.Msg.GetName()]
	return connect.NewResponse(&platformv1.GetResponse{Found: found, Data: data}), nil
}

type membershipService struct{ p *Platform }

// List implements MembershipService. It returns the list as it was before the lag; the first list is
// published without lag.
func (m membershipService) List(ctx context.Context, req *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	if err := m.p.applyFaults(ctx); err != nil {
		return nil, err
	}
	m.p.mu.Lock()
	defer m.p.mu.Unlock()
	res := &platformv1.ListResponse{}
	for i, l := range m.p.memberLists {
		if i > 0 && time.Since(l.at) < m.p.lag {
			break
		}
		res.Version = uint64(i + 1)
		res.Members = l.members
	}
	if res.Version == req.Msg.GetKnownVersion() {
		res.Members = nil
	}
	return connect.NewResponse(res), nil
}

// PutSettings writes the first settings row, as an operator's apply does.
func (p *Platform) PutSettings(s *pb.Settings) error {
	first := proto.Clone(s).(*pb.Settings)
	first.Version = 1
	value, err := proto.Marshal(first)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	p.commit([]*platformv1.Write{{Key: "settings", Value: value}})
	return nil
}
