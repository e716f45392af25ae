package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"sapphirepoint.example/sapphirepoint/client"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
)

func ExampleClient_Submit() {
	mux := http.NewServeMux()
	mux.Handle(sapphirepointv1connect.NewCallerServiceHandler(&testEntry{
		node: "loughborough-1", validMs: 60_000,
		answers: []func(*pb.Submission) (*pb.Answer, error){complete},
	}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()

	c := client.New(client.Config{URL: server.URL, Token: "read it from a file"})
	defer c.Close()
	answer, err := c.Submit(context.Background(), &pb.Submission{
		Service: "labels",
		Team:    "school-kitchens",
		Tasks:   []*pb.Task{{Payload: []byte("milk")}, {Payload: []byte("sesame")}},
	})
	if err != nil {
		fmt.Println("no final word:", err)
		return
	}
	switch answer.GetOutcome() {
	case pb.Outcome_OUTCOME_COMPLETE:
		for _, r := range answer.GetResults() {
			fmt.Printf("%s\n", r.GetOutput())
		}
	case pb.Outcome_OUTCOME_NOT_RUN:
		fmt.Println("nothing ran; come back in", answer.GetRetryAfterMs(), "ms")
	case pb.Outcome_OUTCOME_FAILED:
		fmt.Println("failed; may have run:", answer.GetMayHaveRun())
	}
	// Output:
	// milk
	// sesame
}
