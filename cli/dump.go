package cli

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

func (a *app) dumpCommand() *cobra.Command {
	var job string
	cmd := &cobra.Command{
		Use:   "dump",
		Short: "Print the state of each process given by --operator",
		Long: `Print the state of each process given by --operator: claims, queues, slots,
upstreams, peers and counters. With --job, explain one submission: at which
process it is, what it waits for and which of its tasks run where.`,
		Example: "  sapphirepoint dump --operator 10.0.0.7:7200\n  sapphirepoint dump --job i/loughborough-1/5f3a9c0e12ab34cd/17 --operator 10.0.0.7:7200,10.0.0.8:7200",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			operators, err := a.operatorFlags.connect()
			if err != nil {
				return err
			}
			dumps := make(map[string]json.RawMessage, len(operators))
			for _, o := range operators {
				res, err := call(cmd.Context(), o, o.rpc.Dump, &pb.DumpRequest{})
				if err != nil {
					// The other processes may still have the answer.
					fmt.Fprintln(a.Err, err)
					continue
				}
				dumps[o.url] = res.GetJson()
			}
			if len(dumps) == 0 {
				return errors.New("no process could be asked")
			}
			return a.printDumps(operators, dumps, job)
		},
	}
	cmd.Flags().StringVar(&job, "job", "", "explain only the submission with this id")
	a.operatorFlags.register(cmd)
	return cmd
}

func (a *app) printDumps(operators []*operator, dumps map[string]json.RawMessage, job string) error {
	if a.output == jsonOutput && job == "" {
		return a.printJSON(dumps)
	}
	found := false
	for _, o := range operators {
		raw, ok := dumps[o.url]
		if !ok {
			continue
		}
		if job != "" {
			here, err := a.explainJob(o.url, raw, job)
			if err != nil {
				return err
			}
			found = found || here
			continue
		}
		if err := renderDump(a.Out, o.url, raw); err != nil {
			return err
		}
	}
	if job != "" && !found {
		return errors.Errorf("%s isn't in progress at the processes asked: it has ended, is held elsewhere or was never submitted", job)
	}
	return nil
}

// jobsDump is the part of a dump that concerns jobs. With JSON output a submission is printed
// with all its fields.
type jobsDump struct {
	NowMs       int64            `json:"now_ms"`
	Submissions []map[string]any `json:"submissions"`
	Starts      []struct {
		Name     string `json:"name"`
		Upstream string `json:"upstream"`
		SentMs   int64  `json:"sent_ms"`
		Settles  int    `json:"settles"`
	} `json:"starts"`
}

// explainJob prints the state of a submission in one process's dump and returns whether the
// dump contains it. The id may be given with or without its institution.
func (a *app) explainJob(url string, raw []byte, job string) (bool, error) {
	var d jobsDump
	if err := json.Unmarshal(raw, &d); err != nil {
		return false, errors.Wrap(err, "decode dump")
	}
	for _, s := range d.Submissions {
		id, _ := s["id"].(string)
		if id != job && !strings.HasSuffix(id, "/"+job) {
			continue
		}
		if a.output == jsonOutput {
			return true, a.printJSON(s)
		}
		fmt.Fprintf(a.Out, "%s at %s\n", id, url)
		fmt.Fprintf(a.Out, "  waits for %v\n", s["waits_for"])
		if arrived, ok := s["arrived_ms"].(float64); ok {
			fmt.Fprintf(a.Out, "  arrived %d ms ago\n", d.NowMs-int64(arrived))
		}
		if deadline, ok := s["deadline_ms"].(float64); ok {
			fmt.Fprintf(a.Out, "  deadline in %d ms\n", int64(deadline)-d.NowMs)
		}
		fmt.Fprintf(a.Out, "  tasks waiting %v, running %v; requests waiting for the answer %v\n", s["waiting_tasks"], s["running_tasks"], s["askers"])
		for _, t := range d.Starts {
			if index, ok := strings.CutPrefix(t.Name, id+"/"); ok {
				fmt.Fprintf(a.Out, "  task %s runs at %s, sent %d ms ago, asked about %d times\n", index, t.Upstream, d.NowMs-t.SentMs, t.Settles)
			}
		}
		return true, nil
	}
	return false, nil
}
