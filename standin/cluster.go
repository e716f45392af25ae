// Package standin runs a whole deployment (stand-ins for the platform and the runners, and entry
// nodes) in one process, for examples and tests.
package standin

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/keys"
	"sapphirepoint.example/sapphirepoint/node"
	"sapphirepoint.example/sapphirepoint/standin/faults"
	"sapphirepoint.example/sapphirepoint/standin/platform"
	"sapphirepoint.example/sapphirepoint/standin/runner"
)

// Token and OperatorToken are the bearer tokens that a Cluster accepts from callers and operators.
const (
	Token             = "quickstart-caller"
	OperatorToken     = "quickstart-operator"
	loopback          = "127.0.0.1:0"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// defaultPollInterval is short, so that a deployment in one process is ready quickly.
	defaultPollInterval = 100 * time.Millisecond
)

// Layout sets the size of a deployment.
type Layout struct {
	FailureDomains []string
	// NodesPerDomain and RunnersPerDomain are the numbers of entry nodes and runners in each
	// failure domain.
	NodesPerDomain   int
	RunnersPerDomain int
	// PollInterval is how often nodes poll the platform; 0 means 100 ms.
	PollInterval time.Duration
	Log          zerolog.Logger
}

// Entry is a running entry node.
type Entry struct {
	*node.Node
	// Kill ends the node at once, without a planned stop.
	Kill context.CancelFunc
	// Done is closed when the node has ended.
	Done chan struct{}
}

// Cluster is a running deployment.
type Cluster struct {
	Platform *platform.Platform
	Runners  []*runner.Runner
	Entries  []*Entry

	layout           Layout
	ca               keys.Pair
	platformURL      string
	platformListener *faults.Listener
	members          []*platformv1.Member
	listeners        []net.Listener
}

// Settings returns the settings that a Cluster starts with: one institution with a label service,
// and a settlement service that isn't idempotent.
func Settings() *pb.Settings {
	digest := sha256.Sum256([]byte(Token))
	return &pb.Settings{Institutions: []*pb.Institution{{
		Name:              "hollowell",
		TokenSha256:       []string{hex.EncodeToString(digest[:])},
		CapacityPercent:   100,
		Priority:          1,
		ResponseTimeMs:    30_000,
		BorrowToleranceMs: 50,
		RetryPercent:      20,
		ResubmitWindowS:   3600,
		Teams:             []*pb.Team{{Name: "kitchens", QuotaSlots: 384}},
		Services: []*pb.Service{
			{Name: "labels", Idempotent: true, RunTimeMs: 50, CpuMillis: 1000, MemoryMib: 256, MaxTasks: 980, MaxPayloadBytes: 64 << 10},
			{Name: "settle", Idempotent: false, RunTimeMs: 50, CpuMillis: 1000, MemoryMib: 256, MaxTasks: 100, MaxPayloadBytes: 64 << 10},
		},
	}}}
}

// Start starts a deployment and waits until every node is ready.
func Start(ctx context.Context, layout Layout) (*Cluster, error) {
	c := &Cluster{layout: layout, Platform: platform.New()}
	var err error
	if c.ca, err = keys.NewCA("sapphirepoint"); err != nil {
		return nil, err
	}
	if err := c.servePlatform(); err != nil {
		return nil, err
	}
	for _, domain := range layout.FailureDomains {
		if err := c.addDomain(ctx, domain); err != nil {
			return nil, err
		}
	}
	c.Platform.SetMembers(c.members)
	if err := c.Platform.PutSettings(Settings()); err != nil {
		return nil, err
	}
	return c, c.WaitReady(ctx, len(c.Entries)-1)
}

func (c *Cluster) servePlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	c.listeners = append(c.listeners, l)
	c.platformURL = "http://" + l.Addr().String()
	c.platformListener = faults.NewListener(l)
	go func() { _ = c.Platform.Serve(c.platformListener) }()
	return nil
}

// PlatformBytes returns the number of bytes that all nodes have exchanged with the platform.
func (c *Cluster) PlatformBytes() int64 { return c.platformListener.Bytes() }

func (c *Cluster) addDomain(ctx context.Context, domain string) error {
	for i := range c.layout.NodesPerDomain {
		e, err := c.StartEntry(ctx, fmt.Sprintf("%s-%d", domain, i), domain, loopback)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, e)
		c.members = append(c.members, &platformv1.Member{
			Name: e.Incarnation().Node, Role: platformv1.Role_ROLE_ENTRY, Address: e.PeerAddress(), FailureDomain: domain,
		})
	}
	for i := range c.layout.RunnersPerDomain {
		if err := c.addRunner(domain, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addRunner(domain string, i int) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	r := runner.New(runner.DefaultSlots)
	c.Runners = append(c.Runners, r)
	c.listeners = append(c.listeners, l)
	go func() { _ = r.Serve(l) }()
	name := fmt.Sprintf("%s-runner-%d", domain, i)
	c.members = append(c.members, &platformv1.Member{
		Name: name, Role: platformv1.Role_ROLE_UPSTREAM, Address: l.Addr().String(), FailureDomain: domain,
		Worker: name, Rack: fmt.Sprintf("%s-rack-%d", domain, i/8), Institution: "hollowell", Slots: runner.DefaultSlots,
	})
	return nil
}

// StartEntry starts an entry node that listens for peers on the given address.
func (c *Cluster) StartEntry(ctx context.Context, name, domain, peerAddress string) (*Entry, error) {
	pair, err := keys.NewProcessCertificate(c.ca, name)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := keys.PeerTLS(c.ca.Cert, pair)
	if err != nil {
		return nil, err
	}
	n, err := node.New(node.Config{
		Name: name, FailureDomain: domain, CallerAddress: loopback, OperatorAddress: loopback, PeerAddress: peerAddress,
		PlatformURL: c.platformURL, OperatorToken: OperatorToken, PeerTLS: tlsConfig,
		PollInterval: cmp.Or(c.layout.PollInterval, defaultPollInterval), Log: c.layout.Log,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &Entry{Node: n, Kill: cancel, Done: make(chan struct{})}
	go func() {
		defer close(e.Done)
		_ = n.Run(ctx)
	}()
	return e, nil
}

// WaitReady waits until every entry node is ready and has the given number of peers.
func (c *Cluster) WaitReady(ctx context.Context, peers int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range c.Entries {
		for !e.Ready(peers) {
			select {
			case <-ctx.Done():
				return errors.Errorf("%s isn't ready", e.Incarnation())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Members returns the list of VMs that the platform publishes.
func (c *Cluster) Members() []*platformv1.Member {
	return c.members
}

// Close ends all nodes and stand-ins.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		e.Kill()
		<-e.Done
	}
	for _, l := range c.listeners {
		_ = l.Close()
	}
}
