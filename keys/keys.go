// Package keys creates the certificate authority and the process certificates
// of the peer link, and the TLS configurations that use them.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// PeerProtocol is the protocol name negotiated on the peer link.
	PeerProtocol = "sapphirepoint-peer/1"
	// CAValidity is how long a new authority is valid.
	CAValidity = 10 * 365 * 24 * time.Hour
	// CertificateValidity is how long a new process certificate is valid.
	CertificateValidity = 365 * 24 * time.Hour
	// backdate is how long before its creation a certificate becomes valid, to allow for clock
	// skew.
	backdate   = time.Hour
	serialBits = 127
)

// Pair is a certificate with its private key, both in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// NewCA creates a certificate authority.
func NewCA(name string) (Pair, error) {
	t, err := template(name, CAValidity)
	if err != nil {
		return Pair{}, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	return encode(t, t, key, key)
}

// NewProcessCertificate creates the certificate of an entry process, named after its
// node. With the addresses that callers and operators use, it is valid for their
// listeners too.
func NewProcessCertificate(ca Pair, node string, addresses ...net.IP) (Pair, error) {
	return issue(ca, node, func(t *x509.Certificate) {
		t.DNSNames = []string{node}
		t.IPAddresses = addresses
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	})
}

// issue creates a certificate signed by the authority.
func issue(ca Pair, name string, fill func(*x509.Certificate)) (Pair, error) {
	parent, err := tls.X509KeyPair(ca.Cert, ca.Key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "read authority")
	}
	signer, ok := parent.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return Pair{}, errors.New("the authority's key isn't an ECDSA key")
	}
	t, err := template(name, CertificateValidity)
	if err != nil {
		return Pair{}, err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	fill(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	return encode(t, parent.Leaf, key, signer)
}

// template returns the fields that all certificates have in common.
func template(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "draw serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

// encode signs a certificate with the signer's key and returns it with its own key in PEM.
func encode(t, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	}, nil
}

// PeerTLS is the configuration of both ends of the peer link: each presents its
// certificate and accepts only those signed by the authority.
func PeerTLS(caCert []byte, process Pair) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caCert) {
		return nil, errors.New("no certificate in the authority's file")
	}
	cert, err := tls.X509KeyPair(process.Cert, process.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read process certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{PeerProtocol},
	}, nil
}

// NewCallerCertificate creates the client certificate by which the callers of an
// institution authenticate. It must not be accepted on the peer link, so its authority
// must not be that of the peer link.
func NewCallerCertificate(ca Pair, name string) (Pair, error) {
	return issue(ca, name, func(t *x509.Certificate) {
		t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	})
}

// ServerTLS is the configuration of a listener for callers or operators. With clientCA,
// clients may present a certificate signed by it; an invalid one is rejected.
func ServerTLS(server Pair, clientCA []byte) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(server.Cert, server.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read server certificate")
	}
	cfg := &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if clientCA == nil {
		return cfg, nil
	}
	cfg.ClientAuth = tls.VerifyClientCertIfGiven
	cfg.ClientCAs = x509.NewCertPool()
	if !cfg.ClientCAs.AppendCertsFromPEM(clientCA) {
		return nil, errors.New("no certificate in the clients' authority's file")
	}
	return cfg, nil
}
