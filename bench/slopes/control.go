package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
	"sapphirepoint.example/sapphirepoint/standin"
)

const (
	// measureDuration is how long each idle deployment is measured.
	measureDuration = 8 * time.Second
	// settleDuration lets the handshakes and QUIC's path MTU discovery end before the measurement.
	settleDuration  = 5 * time.Second
	udpIPHeader     = 28
	settingsChanges = 20
)

// control is the control cost of one idle node in a deployment.
type control struct {
	nodes int
	// core is the share of a CPU core; bytes is the number of UDP and IP bytes sent and received per
	// second.
	core, bytes float64
	// platform is the TCP payload exchanged with the platform, in bytes per second.
	platform float64
	// inForce is the longest time from an operator's accepted call until the change was in force at
	// every node, of several changes.
	inForce time.Duration
}

// measureControl measures an idle deployment of the given size in this process, with two failure
// domains and two runners in each. The CPU time includes that of the platform's stand-in.
func measureControl(nodes int) (control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cluster, err := standin.Start(ctx, standin.Layout{
		FailureDomains: []string{"loughborough", "melton"}, NodesPerDomain: nodes / 2, RunnersPerDomain: 2, PollInterval: time.Second, Log: zerolog.Nop(),
	})
	if err != nil {
		return control{}, errors.Wrapf(err, "start %d nodes", nodes)
	}
	defer cluster.Close()
	time.Sleep(settleDuration)
	processor, bytes, platform := processCPUTime(), peerTraffic(cluster), cluster.PlatformBytes()
	time.Sleep(measureDuration)
	seconds := measureDuration.Seconds() * float64(nodes)
	c := control{
		nodes: nodes,
		core:  (processCPUTime() - processor).Seconds() / seconds,
		bytes: (peerTraffic(cluster) - bytes) / seconds,

		platform: float64(cluster.PlatformBytes()-platform) / seconds,
	}
	c.inForce, err = slowestSettingsChange(ctx, cluster)
	return c, err
}

// slowestSettingsChange applies settings at one node after another, and returns the longest time until
// all nodes had a change in force.
func slowestSettingsChange(ctx context.Context, cluster *standin.Cluster) (time.Duration, error) {
	var slowest time.Duration
	for i := range settingsChanges {
		entry := cluster.Entries[i%len(cluster.Entries)]
		expected := entry.SettingsVersion()
		rpc := sapphirepointv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+entry.OperatorAddress())
		req := connect.NewRequest(&pb.ApplySettingsRequest{ExpectedVersion: expected, Settings: standin.Settings()})
		req.Header().Set("Authorization", "Bearer "+standin.OperatorToken)
		if _, err := rpc.ApplySettings(ctx, req); err != nil {
			return 0, errors.Wrap(err, "apply settings")
		}
		began := time.Now()
		for _, e := range cluster.Entries {
			for e.SettingsVersion() <= expected {
				time.Sleep(time.Millisecond)
			}
		}
		slowest = max(slowest, time.Since(began))
	}
	return slowest, nil
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// peerTraffic returns the bytes that all nodes have sent and received, with headers.
func peerTraffic(c *standin.Cluster) float64 {
	total := 0.0
	for _, e := range c.Entries {
		t := e.PeerTraffic()
		total += float64(t.BytesSent + t.BytesReceived + udpIPHeader*(t.PacketsSent+t.PacketsReceived))
	}
	return total
}

// controlSlopes measures idle deployments of increasing size.
func controlSlopes() ([]series, error) {
	inForce := series{name: "slowest of 20 settings changes, in force everywhere", per: "peer", unit: "ms"}
	core := series{name: "idle node among peers, real sockets", per: "peer", unit: "% of a core"}
	platform := series{name: "reading list and settings once a second, TCP payload both ways", per: "peer", unit: "B/s"}
	bytes := series{name: "idle peer links, UDP and IP bytes both ways", per: "peer", unit: "B/s"}
	for _, nodes := range []int{2, 4, 8, 16, 24} {
		c, err := measureControl(nodes)
		if err != nil {
			return nil, err
		}
		peers := float64(nodes - 1)
		core.points = append(core.points, point{peers, 100 * c.core})
		bytes.points = append(bytes.points, point{peers, c.bytes})
		platform.points = append(platform.points, point{peers, c.platform})
		inForce.points = append(inForce.points, point{peers, float64(c.inForce.Milliseconds())})
	}
	return []series{core, bytes, platform, inForce}, nil
}

func printControl() error {
	list, err := controlSlopes()
	if err != nil {
		return err
	}
	for _, s := range list {
		s.print()
	}
	fmt.Println()
	return nil
}
