package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/client"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
)

// The environment variables that are used for flags that aren't given. The name of a token's
// variable with fileSuffix appended is that of a variable with the path of a file that has the
// token.
const (
	envEntry         = "SAPPHIREPOINT_ENTRY"
	envToken         = "SAPPHIREPOINT_TOKEN"
	envOperator      = "SAPPHIREPOINT_OPERATOR"
	envOperatorToken = "SAPPHIREPOINT_OPERATOR_TOKEN"
	envCA            = "SAPPHIREPOINT_CA"
	fileSuffix       = "_FILE"
)

// operatorTimeout limits a call to an operators' listener.
const operatorTimeout = 15 * time.Second

// callerFlags are the flags of callers' commands: the entry processes and the credentials.
type callerFlags struct {
	entries   []string
	tokenFile string
	// ca is the file with the authority that signs the entry processes' certificates.
	ca string
	// cert and key are the files of a client certificate, which replaces the token, and its key.
	cert string
	key  string
}

func (f *callerFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.entries, "entry", nil, "entry processes or their balancer, as IP:port or URL, separated by commas; used in turn (env "+envEntry+")")
	cmd.Flags().StringVar(&f.tokenFile, "token-file", "", "file with the caller's token (env "+envToken+fileSuffix+" or "+envToken+")")
	cmd.Flags().StringVar(&f.ca, "ca", "", "PEM file with the authority of https entries (env "+envCA+")")
	cmd.Flags().StringVar(&f.cert, "cert", "", "client certificate instead of a token (PEM file)")
	cmd.Flags().StringVar(&f.key, "cert-key", "", "private key of --cert (PEM file)")
}

// newClient creates a client of the entry processes. newIDs is how often it may submit again
// under a new id.
func (f *callerFlags) newClient(newIDs int) (*client.Client, error) {
	entries, err := addressURLs(f.entries, envEntry, "--entry")
	if err != nil {
		return nil, err
	}
	tlsConfig, err := tlsConfigFor(f.ca)
	if err != nil {
		return nil, err
	}
	token := ""
	if f.cert == "" {
		token, err = readToken(f.tokenFile, envToken, "--token-file")
	} else {
		tlsConfig, err = withClientCertificate(tlsConfig, f.cert, f.key)
	}
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{URLs: entries, Token: token, TLS: tlsConfig, MaxNewIDs: newIDs}), nil
}

// operatorFlags are the flags of operators' commands: the listeners and the credentials.
type operatorFlags struct {
	operators []string
	tokenFile string
	ca        string
}

func (f *operatorFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.operators, "operator", nil, "operators' listeners of entry processes, as IP:port or URL, separated by commas (env "+envOperator+")")
	cmd.Flags().StringVar(&f.tokenFile, "operator-token-file", "", "file with the operators' token (env "+envOperatorToken+fileSuffix+" or "+envOperatorToken+")")
	cmd.Flags().StringVar(&f.ca, "operator-ca", "", "PEM file with the authority of https listeners (env "+envCA+")")
}

// operator is the operators' listener of one process.
type operator struct {
	url   string
	token string
	http  *http.Client
	rpc   sapphirepointv1connect.OperatorServiceClient
}

// connect reads the token and creates a client of each listener.
func (f *operatorFlags) connect() ([]*operator, error) {
	token, err := readToken(f.tokenFile, envOperatorToken, "--operator-token-file")
	if err != nil {
		return nil, err
	}
	list, err := f.connectWithoutToken()
	for _, o := range list {
		o.token = token
	}
	return list, err
}

// connectWithoutToken creates clients that can read metrics, which need no token.
func (f *operatorFlags) connectWithoutToken() ([]*operator, error) {
	urls, err := addressURLs(f.operators, envOperator, "--operator")
	if err != nil {
		return nil, err
	}
	tlsConfig, err := tlsConfigFor(f.ca)
	if err != nil {
		return nil, err
	}
	hc := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig, ForceAttemptHTTP2: true}}
	list := make([]*operator, len(urls))
	for i, u := range urls {
		list[i] = &operator{url: u, http: hc, rpc: sapphirepointv1connect.NewOperatorServiceClient(hc, u)}
	}
	return list, nil
}

// call calls a method of OperatorService with the operators' token.
func call[Req, Res any](ctx context.Context, o *operator, f func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), m *Req) (*Res, error) {
	req := connect.NewRequest(m)
	req.Header().Set("Authorization", "Bearer "+o.token)
	res, err := f(ctx, req)
	if err != nil {
		return nil, errors.Wrap(err, o.url)
	}
	return res.Msg, nil
}

// callFirstReachable calls a method at the first operators' listener in the list that is reachable.
// An error other than "unavailable" is an answer, and the next listener isn't called after it.
func callFirstReachable[Req, Res any](ctx context.Context, list []*operator, method func(*operator) func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), m *Req) (*Res, error) {
	var res *Res
	var err error
	for _, o := range list {
		if res, err = call(ctx, o, method(o), m); err == nil || connect.CodeOf(err) != connect.CodeUnavailable {
			return res, err
		}
	}
	return nil, err
}

// addressURLs returns the addresses given by a flag, or else by the environment, as URLs.
func addressURLs(flagValues []string, env, flag string) ([]string, error) {
	if len(flagValues) == 0 {
		flagValues = strings.FieldsFunc(os.Getenv(env), func(r rune) bool { return r == ',' })
	}
	if len(flagValues) == 0 {
		return nil, asUsageError(errors.Errorf("%s or %s is needed", flag, env))
	}
	urls := make([]string, len(flagValues))
	for i, address := range flagValues {
		urls[i] = strings.TrimSpace(address)
		if !strings.Contains(urls[i], "://") {
			urls[i] = "http://" + urls[i]
		}
	}
	return urls, nil
}

// readToken reads a token from the file given by a flag or the environment, or else from the
// environment itself.
func readToken(file, env, flag string) (string, error) {
	if file == "" {
		file = os.Getenv(env + fileSuffix)
	}
	if file == "" {
		if token := strings.TrimSpace(os.Getenv(env)); token != "" {
			return token, nil
		}
		return "", asUsageError(errors.Errorf("%s, %s or %s is needed", flag, env+fileSuffix, env))
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", asUsageError(errors.Wrap(err, flag))
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", asUsageError(errors.Errorf("%s: %s is empty", flag, file))
	}
	return token, nil
}

// tlsConfigFor returns a configuration that trusts the authorities in a PEM file. It returns nil,
// which means that those of the system are trusted, if neither the flag nor the environment gives a
// file.
func tlsConfigFor(file string) (*tls.Config, error) {
	if file == "" {
		file = os.Getenv(envCA)
	}
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, asUsageError(errors.Wrap(err, "read authority"))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, asUsageError(errors.Errorf("no certificate in %s", file))
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// withClientCertificate adds a client certificate to a TLS configuration, which may be nil.
func withClientCertificate(cfg *tls.Config, cert, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, asUsageError(errors.Wrap(err, "--cert"))
	}
	if cfg == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}
