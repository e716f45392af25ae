// Command quickstart runs a small deployment in one process. It submits jobs, kills the node that
// holds the claim of one of them, and prints the answers.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/standin"
)

const timeout = 30 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	cluster, err := standin.Start(ctx, standin.Layout{
		FailureDomains:   []string{"loughborough", "melton"},
		NodesPerDomain:   1,
		RunnersPerDomain: 4,
		Log:              zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	first := client.New(client.Config{URL: "http://" + cluster.Entries[0].CallerAddress(), Token: standin.Token})
	second := client.New(client.Config{URL: "http://" + cluster.Entries[1].CallerAddress(), Token: standin.Token})
	a, err := first.Submit(ctx, labels(20))
	if err != nil {
		return errors.Wrap(err, "submit through the first node")
	}
	report("a job of 20 tasks through the first node", a)
	s := labels(20)
	if s.Id, err = first.NewID(ctx); err != nil {
		return err
	}
	if a, err = second.Submit(ctx, s); err != nil {
		return errors.Wrap(err, "submit through the second node")
	}
	report("a job through the second node, under an id of the first", a)
	cluster.Entries[0].Kill()
	<-cluster.Entries[0].Done
	if a, err = second.SubmitOnce(ctx, s); err != nil {
		return errors.Wrap(err, "resubmit through the second node")
	}
	report("the same job again, after the first node was killed", a)
	if a, err = second.Submit(ctx, labels(20)); err != nil {
		return errors.Wrap(err, "submit after the kill")
	}
	report("a new job through the second node", a)
	return nil
}

func labels(n int) *pb.Submission {
	s := &pb.Submission{Service: "labels", Team: "kitchens"}
	for i := range n {
		payload := fmt.Sprintf(`{"run_ms": 50, "output": "label %d: sesame, milk"}`, i)
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte(payload)})
	}
	return s
}

func report(what string, a *pb.Answer) {
	fmt.Printf("%s: %s, %d results", what, a.GetOutcome(), len(a.GetResults()))
	if a.GetReason() != pb.Reason_REASON_UNSPECIFIED {
		fmt.Printf(" (%s: %s; may have run: %v; retry after %d ms)", a.GetReason(), a.GetDetail(), a.GetMayHaveRun(), a.GetRetryAfterMs())
	}
	fmt.Println()
}
