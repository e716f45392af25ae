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
	patience      = 30 * time.Second
	poll          = 50 * time.Millisecond
	operatorToken = "e2e-operator"
)

var bin string

var _ = BeforeSuite(func() {
	var err error
	bin, err = os.MkdirTemp("", "sapphirepoint-e2e")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, bin)
	out, err := exec.Command("go", "build", "-o", bin, "sapphirepoint.example/sapphirepoint/cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// process is a program under test.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

func launch(program string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(bin, program), args...), log: &bytes.Buffer{}, done: make(chan struct{})}
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
	name, domain              string
	callers, operators, peers string
	settings                  string
}

func (e *entry) client() *client.Client {
	return client.New(client.Config{URL: "http://" + e.callers, Token: standin.Token})
}

func (e *entry) start() {
	e.process = launch("sapphirepointd", "--settings", e.settings)
}

func (e *entry) ready() bool {
	res, err := controls.Get("http://" + e.callers + "/readyz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// dump fetches the state of the process.
func (e *entry) dump() map[string]any {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.operators+"/dump", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := controls.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	state := map[string]any{}
	_ = json.NewDecoder(res.Body).Decode(&state)
	return state
}

// inForce is what an operator is told of the settings in force.
func (e *entry) inForce() *pb.GetSettingsResponse {
	rpc := sapphirepointv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+e.operators)
	req := connect.NewRequest(&pb.GetSettingsRequest{})
	req.Header().Set("Authorization", "Bearer "+operatorToken)
	res, err := rpc.GetSettings(context.Background(), req)
	Expect(err).NotTo(HaveOccurred())
	return res.Msg
}

// quota is that of the first team in the settings in force.
func (e *entry) quota() uint32 {
	return e.inForce().GetSettings().GetInstitutions()[0].GetTeams()[0].GetQuotaSlots()
}

// versions says for each node with version 1 in force whether it is connected.
func (e *entry) versions() map[string]bool {
	connected := map[string]bool{}
	for _, n := range e.inForce().GetNodes() {
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

// deployment is a set of processes: a platform, runners and entries.
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

// deployUneven takes the number of entries for each failure domain.
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
	Eventually(d.publishMembers, patience, poll).Should(Succeed())
	d.writeSettings(standin.Settings())
	for _, e := range d.entries {
		e.start()
	}
	for _, e := range d.entries {
		Eventually(e.ready, patience, poll).Should(BeTrue(), e.name)
		Eventually(e.peerCount, patience, poll).Should(Equal(len(d.entries)-1), e.name)
	}
	return d
}

func (d *deployment) path(name string) string { return filepath.Join(d.dir, name) }

func (d *deployment) addEntry(name, domain string) {
	e := &entry{name: name, domain: domain, callers: freeAddress(), operators: freeAddress(), peers: freeAddress(), settings: d.path(name + ".yaml")}
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
`, name, domain, e.callers, e.operators, e.peers, d.platform, d.path("ca.pem"), d.path(name+".pem"), d.path(name+".key"), d.path("operator.token")))
	d.entries = append(d.entries, e)
	d.members = append(d.members, &platformv1.Member{Name: name, Role: platformv1.Role_ROLE_ENTRY, Address: e.peers, FailureDomain: domain})
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

// leave announces that a runner's VM leaves.
func (d *deployment) leave(i int) {
	for _, m := range d.members {
		if m.GetAddress() == d.runners[i] {
			m.Leaving = true
		}
	}
	Expect(d.publishMembers()).To(Succeed())
}

// writeSettings writes the first settings row, so that entries find it at
// their start.
func (d *deployment) writeSettings(s *pb.Settings) {
	s.Version = 1
	value, err := proto.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	table := platformv1connect.NewTableServiceClient(http.DefaultClient, "http://"+d.platform)
	row := &platformv1.Write{Key: "settings", Value: value}
	_, err = table.Commit(context.Background(), connect.NewRequest(&platformv1.CommitRequest{Writes: []*platformv1.Write{row}}))
	Expect(err).NotTo(HaveOccurred())
}

// faults replaces the failures switched on at the platform.
func (d *deployment) faults(f platform.Faults) {
	Expect(post("http://"+d.platform+"/control/faults", f)).To(Succeed())
}

// control switches a runner's behaviour.
func (d *deployment) control(i int, command string) {
	res, err := controls.Post("http://"+d.runners[i]+"/control/"+command, "", nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	Expect(res.StatusCode).To(Equal(http.StatusOK))
}

// ledger is what one runner started.
func (d *deployment) ledger(i int) runner.Ledger {
	var l runner.Ledger
	fetch("http://"+d.runners[i]+"/ledger", &l)
	return l
}

// ledgers adds up what all runners started, by task name.
func (d *deployment) ledgers() map[string]int {
	total := map[string]int{}
	for i := range d.runners {
		for name, n := range d.ledger(i).Starts {
			total[name] += n
		}
	}
	return total
}

// expectNoSecondStart checks the promise that matters most against what the
// runners saw.
func (d *deployment) expectNoSecondStart() {
	for name, n := range d.ledgers() {
		Expect(n).To(Equal(1), name)
	}
}

func post(url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	res, err := controls.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", res.Status)
	}
	return nil
}

// controls reaches a stand-in on a connection of its own: one that is kept
// could have gone silent.
var controls = &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}

func fetch(url string, into any) {
	res, err := controls.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	Expect(json.NewDecoder(res.Body).Decode(into)).To(Succeed())
}

// Ports are drawn below the range from which the kernel takes the local ports
// of outgoing connections: one taken from within it and released again may be
// in use by the time that the program under test listens on it.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

var givenPorts = map[int]bool{}

// freeAddress finds a loopback port that is free for TCP and UDP and that no
// earlier call has returned.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if givenPorts[port] || !bindable(address) {
			continue
		}
		givenPorts[port] = true
		return address
	}
}

func bindable(address string) bool {
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

// labels is a job of n label tasks that run for the given milliseconds.
func labels(n, runMs int) *pb.Submission {
	s := &pb.Submission{Service: "labels", Team: "kitchens"}
	for i := range n {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: fmt.Appendf(nil, `{"run_ms": %d, "output": "label %d"}`, runMs, i)})
	}
	return s
}
