package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/client"
	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	"sapphirepoint.example/sapphirepoint/gen/platformv1/platformv1connect"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
	"sapphirepoint.example/sapphirepoint/keys"
	"sapphirepoint.example/sapphirepoint/standin"
	"sapphirepoint.example/sapphirepoint/standin/platform"
	"sapphirepoint.example/sapphirepoint/standin/runner"
)

const (
	eventualTimeout = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
	operatorToken   = "e2e-operator"
)

// programDir holds the programs, which are built before the specs run.
var programDir string

var _ = BeforeSuite(func() {
	var err error
	programDir, err = os.MkdirTemp("", "sapphirepoint-e2e")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, programDir)
	out, err := exec.Command("go", "build", "-o", programDir, "sapphirepoint.example/sapphirepoint/cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// process is a running program under test.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

// launch starts a program, which is killed at the end of the spec. If the spec failed, its log is added
// to the report.
func launch(program string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(programDir, program), args...), log: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	DeferCleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if CurrentSpecReport().Failed() {
			AddReportEntry(program, p.log.String())
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// entry is an entry process with its addresses.
type entry struct {
	*process
	name, domain                                string
	callerAddress, operatorAddress, peerAddress string
	// settings is the path of the settings file.
	settings string
}

func (e *entry) client() *client.Client {
	return client.New(client.Config{URL: "http://" + e.callerAddress, Token: standin.Token})
}

func (e *entry) start() {
	e.process = launch("sapphirepointd", "--settings", e.settings)
}

func (e *entry) ready() bool {
	res, err := controlClient.Get("http://" + e.callerAddress + "/readyz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// dump fetches the state of the process.
func (e *entry) dump() map[string]any {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.operatorAddress+"/dump", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := controlClient.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	state := map[string]any{}
	_ = json.NewDecoder(res.Body).Decode(&state)
	return state
}

// settingsInForce returns an operator's view of the settings in force.
func (e *entry) settingsInForce() *pb.GetSettingsResponse {
	rpc := sapphirepointv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+e.operatorAddress)
	req := connect.NewRequest(&pb.GetSettingsRequest{})
	req.Header().Set("Authorization", "Bearer "+operatorToken)
	res, err := rpc.GetSettings(context.Background(), req)
	Expect(err).NotTo(HaveOccurred())
	return res.Msg
}

// quota returns the quota of the first team in the settings in force.
func (e *entry) quota() uint32 {
	return e.settingsInForce().GetSettings().GetInstitutions()[0].GetTeams()[0].GetQuotaSlots()
}

// connectedNodes returns, for each node that has version 1 in force, whether it is connected.
func (e *entry) connectedNodes() map[string]bool {
	connected := map[string]bool{}
	for _, n := range e.settingsInForce().GetNodes() {
		if n.GetVersion() == 1 {
			connected[n.GetIncarnation().GetNode()] = n.GetConnected()
		}
	}
	return connected
}

func (e *entry) peerCount() int {
	list, _ := e.dump()["peers"].([]any)
	return len(list)
}

// deployment is a set of processes: a platform stand-in, runners and entries. platform and runners
// are addresses.
type deployment struct {
	dir      string
	ca       keys.Pair
	platform string
	runners  []string
	entries  []*entry
	members  []*platformv1.Member
}

// deploy starts entries and runners in each failure domain and waits until
// all are ready and connected.
func deploy(domains []string, entriesEach, runnersEach int) *deployment {
	return deployUneven(domains, slices.Repeat([]int{entriesEach}, len(domains)), runnersEach)
}

// deployUneven is like deploy with a number of entries for each failure domain.
func deployUneven(domains []string, entries []int, runnersEach int) *deployment {
	d := &deployment{dir: GinkgoT().TempDir(), platform: freeAddress()}
	var err error
	d.ca, err = keys.NewCA("e2e")
	Expect(err).NotTo(HaveOccurred())
	write(d.path("ca.pem"), d.ca.Cert)
	write(d.path("operator.token"), []byte(operatorToken))
	launch("standin", "platform", "--listen", d.platform)
	for at, domain := range domains {
		for i := range entries[at] {
			d.addEntry(fmt.Sprintf("%s-%d", domain, i), domain)
		}
		args := []string{"runner"}
		for i := range runnersEach {
			args = append(args, "--listen", d.addRunner(domain, i))
		}
		launch("standin", args...)
	}
	Eventually(d.publishMembers, eventualTimeout, pollInterval).Should(Succeed())
	d.writeSettings(standin.Settings())
	for _, e := range d.entries {
		e.start()
	}
	for _, e := range d.entries {
		Eventually(e.ready, eventualTimeout, pollInterval).Should(BeTrue(), e.name)
		Eventually(e.peerCount, eventualTimeout, pollInterval).Should(Equal(len(d.entries)-1), e.name)
	}
	return d
}

func (d *deployment) path(name string) string { return filepath.Join(d.dir, name) }

func (d *deployment) addEntry(name, domain string) {
	e := &entry{name: name, domain: domain, callerAddress: freeAddress(), operatorAddress: freeAddress(), peerAddress: freeAddress(), settings: d.path(name + ".yaml")}
	pair, err := keys.NewProcessCertificate(d.ca, name)
	Expect(err).NotTo(HaveOccurred())
	write(d.path(name+".pem"), pair.Cert)
	write(d.path(name+".key"), pair.Key)
	write(e.settings, fmt.Appendf(nil, `node: %s
failure_domain: %s
listen: {callers: "%s", operators: "%s", peers: "%s"}
platform: {url: "http://%s"}
peer_tls: {ca: %s, cert: %s, key: %s}
operators: {token_file: %s}
`, name, domain, e.callerAddress, e.operatorAddress, e.peerAddress, d.platform, d.path("ca.pem"), d.path(name+".pem"), d.path(name+".key"), d.path("operator.token")))
	d.entries = append(d.entries, e)
	d.members = append(d.members, &platformv1.Member{Name: name, Role: platformv1.Role_ROLE_ENTRY, Address: e.peerAddress, FailureDomain: domain})
}

func (d *deployment) addRunner(domain string, i int) string {
	address := freeAddress()
	name := fmt.Sprintf("%s-runner-%d", domain, i)
	d.runners = append(d.runners, address)
	d.members = append(d.members, &platformv1.Member{
		Name: name, Role: platformv1.Role_ROLE_UPSTREAM, Address: address, FailureDomain: domain,
		Worker: name, Rack: domain, Institution: "hollowell", Slots: runner.DefaultSlots,
	})
	return address
}

func (d *deployment) publishMembers() error {
	return post("http://"+d.platform+"/control/members", d.members)
}

// announceLeaving publishes on the list of VMs that a runner's VM is leaving.
func (d *deployment) announceLeaving(i int) {
	for _, m := range d.members {
		if m.GetAddress() == d.runners[i] {
			m.Leaving = true
		}
	}
	Expect(d.publishMembers()).To(Succeed())
}

// writeSettings writes the first settings row, so that entries find it when they start.
func (d *deployment) writeSettings(s *pb.Settings) {
	s.Version = 1
	value, err := proto.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	table := platformv1connect.NewTableServiceClient(http.DefaultClient, "http://"+d.platform)
	row := &platformv1.Write{Key: "settings", Value: value}
	_, err = table.Commit(context.Background(), connect.NewRequest(&platformv1.CommitRequest{Writes: []*platformv1.Write{row}}))
	Expect(err).NotTo(HaveOccurred())
}

// setFaults replaces the faults injected at the platform.
func (d *deployment) setFaults(f platform.Faults) {
	Expect(post("http://"+d.platform+"/control/faults", f)).To(Succeed())
}

// controlRunner sends a control command to a runner.
func (d *deployment) controlRunner(i int, command string) {
	res, err := controlClient.Post("http://"+d.runners[i]+"/control/"+command, "", nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	Expect(res.StatusCode).To(Equal(http.StatusOK))
}

// ledger returns the ledger of one runner.
func (d *deployment) ledger(i int) runner.Ledger {
	var l runner.Ledger
	fetch("http://"+d.runners[i]+"/ledger", &l)
	return l
}

// totalStarts returns how often each task was started on all runners, by the task's name.
func (d *deployment) totalStarts() map[string]int {
	total := map[string]int{}
	for i := range d.runners {
		for name, n := range d.ledger(i).Starts {
			total[name] += n
		}
	}
	return total
}

// expectNoSecondStart checks by the runners' ledgers that no task was started twice.
func (d *deployment) expectNoSecondStart() {
	for name, n := range d.totalStarts() {
		Expect(n).To(Equal(1), name)
	}
}

func post(url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	res, err := controlClient.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", res.Status)
	}
	return nil
}

// controlClient uses a new connection for each request to a stand-in, since a connection that is kept
// open could have been silenced by a test.
var controlClient = &http.Client{Timeout: eventualTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func fetch(url string, into any) {
	res, err := controlClient.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	Expect(json.NewDecoder(res.Body).Decode(into)).To(Succeed())
}

// Ports are chosen below the range from which the kernel takes the local ports of outgoing
// connections. A port from that range which was free a moment ago could be in use when the program
// under test listens on it.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

var usedPorts = map[int]bool{}

// freeAddress returns a loopback address whose port is free for TCP and UDP and was not returned
// before.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] || !isFree(address) {
			continue
		}
		usedPorts[port] = true
		return address
	}
}

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

func write(path string, data []byte) {
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
}

// labelJob returns a job of n label tasks that run for the given number of milliseconds.
func labelJob(n, runMs int) *pb.Submission {
	s := &pb.Submission{Service: "labels", Team: "kitchens"}
	for i := range n {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: fmt.Appendf(nil, `{"run_ms": %d, "output": "label %d"}`, runMs, i)})
	}
	return s
}
