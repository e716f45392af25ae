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

// The environment variables that stand in for flags.
const (
	envEntry         = "SAPPHIREPOINT_ENTRY"
	envToken         = "SAPPHIREPOINT_TOKEN"
	envOperator      = "SAPPHIREPOINT_OPERATOR"
	envOperatorToken = "SAPPHIREPOINT_OPERATOR_TOKEN"
	envCA            = "SAPPHIREPOINT_CA"
	fileSuffix       = "_FILE"
)

const operatorTimeout = 15 * time.Second

// callerFlags say whom callers' commands call.
type callerFlags struct {
	entries   []string
	tokenFile string
	ca        string
	cert      string
	key       string
}

func (f *callerFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.entries, "entry", nil, "entry processes or their balancer, as IP:port or URL, separated by commas; used in turn (env "+envEntry+")")
	cmd.Flags().StringVar(&f.tokenFile, "token-file", "", "file with the caller's token (env "+envToken+fileSuffix+" or "+envToken+")")
	cmd.Flags().StringVar(&f.ca, "ca", "", "PEM file with the authority of https entries (env "+envCA+")")
	cmd.Flags().StringVar(&f.cert, "cert", "", "client certificate instead of a token (PEM file)")
	cmd.Flags().StringVar(&f.key, "cert-key", "", "private key of --cert (PEM file)")
}

// client makes a client of the entries.
func (f *callerFlags) client(newIDs int) (*client.Client, error) {
	entries, err := addresses(f.entries, envEntry, "--entry")
	if err != nil {
		return nil, err
	}
	tlsConfig, err := authority(f.ca)
	if err != nil {
		return nil, err
	}
	token := ""
	if f.cert == "" {
		token, err = readToken(f.tokenFile, envToken, "--token-file")
	} else {
		tlsConfig, err = withCertificate(tlsConfig, f.cert, f.key)
	}
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{URLs: entries, Token: token, TLS: tlsConfig, MaxNewIDs: newIDs}), nil
}

// operatorFlags say whom operators' commands call.
type operatorFlags struct {
	operators []string
	tokenFile string
	ca        string
}

func (f *operatorFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.operators, "operator", nil, "operators' listeners of entry processes, as IP:port or URL, separated by commas (env "+envOperator+")")
	cmd.Flags().StringVar(&f.tokenFile, "operator-token-file", "", "file with the operators' token (env "+envOperatorToken+fileSuffix+" or "+envOperatorToken+")")
	cmd.Flags().StringVar(&f.ca, "operator-ca", "", "PEM file with the authority of https listeners (env "+envCA+")")
}

// operator is one process's operators' listener.
type operator struct {
	url   string
	token string
	http  *http.Client
	rpc   sapphirepointv1connect.OperatorServiceClient
}

// connect reads the token and prepares the calls.
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

// connectWithoutToken is enough to read metrics.
func (f *operatorFlags) connectWithoutToken() ([]*operator, error) {
	urls, err := addresses(f.operators, envOperator, "--operator")
	if err != nil {
		return nil, err
	}
	tlsConfig, err := authority(f.ca)
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

// call makes one call of OperatorService with the operators' token.
func call[Req, Res any](ctx context.Context, o *operator, f func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), m *Req) (*Res, error) {
	req := connect.NewRequest(m)
	req.Header().Set("Authorization", "Bearer "+o.token)
	res, err := f(ctx, req)
	if err != nil {
		return nil, errors.Wrap(err, o.url)
	}
	return res.Msg, nil
}

// first makes a call at the first operator that can be reached.
func first[Req, Res any](ctx context.Context, list []*operator, pick func(*operator) func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), m *Req) (*Res, error) {
	var res *Res
	var err error
	for _, o := range list {
		if res, err = call(ctx, o, pick(o), m); err == nil || connect.CodeOf(err) != connect.CodeUnavailable {
			return res, err
		}
	}
	return nil, err
}

// addresses takes a flag's values, else the environment's, and completes them
// to URLs.
func addresses(given []string, env, flag string) ([]string, error) {
	if len(given) == 0 {
		given = strings.FieldsFunc(os.Getenv(env), func(r rune) bool { return r == ',' })
	}
	if len(given) == 0 {
		return nil, usage(errors.Errorf("%s or %s is needed", flag, env))
	}
	urls := make([]string, len(given))
	for i, address := range given {
		urls[i] = strings.TrimSpace(address)
		if !strings.Contains(urls[i], "://") {
			urls[i] = "http://" + urls[i]
		}
	}
	return urls, nil
}

// readToken reads a token from a file or the environment.
func readToken(file, env, flag string) (string, error) {
	if file == "" {
		file = os.Getenv(env + fileSuffix)
	}
	if file == "" {
		if token := strings.TrimSpace(os.Getenv(env)); token != "" {
			return token, nil
		}
		return "", usage(errors.Errorf("%s, %s or %s is needed", flag, env+fileSuffix, env))
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", usage(errors.Wrap(err, flag))
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", usage(errors.Errorf("%s: %s is empty", flag, file))
	}
	return token, nil
}

// authority reads the certificates to trust; nil means the system's.
func authority(file string) (*tls.Config, error) {
	if file == "" {
		file = os.Getenv(envCA)
	}
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, usage(errors.Wrap(err, "read authority"))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, usage(errors.Errorf("no certificate in %s", file))
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// withCertificate adds a client certificate.
func withCertificate(cfg *tls.Config, cert, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, usage(errors.Wrap(err, "--cert"))
	}
	if cfg == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}
