package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// certificateValidity exceeds the lifetime of any process; a certificate is used by only one.
const certificateValidity = 10 * 365 * 24 * time.Hour

// Identity is the key of one run of a process. It is generated at start and never
// stored; the process publishes its fingerprint in the platform's store.
type Identity struct {
	cert        tls.Certificate
	fingerprint string
}

// NewIdentity generates a key and a self-signed certificate.
func NewIdentity() (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		// One day earlier, to allow for clock skew between VMs.
		NotBefore: now.Add(-24 * time.Hour),
		NotAfter:  now.Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	return &Identity{
		cert:        tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		fingerprint: fingerprintOf(der),
	}, nil
}

// Fingerprint identifies the key: the SHA-256 of the certificate, in hexadecimal.
func (i *Identity) Fingerprint() string { return i.fingerprint }

func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// tlsConfig accepts the peers whose fingerprints are allowed.
func (i *Identity) tlsConfig(allowed func(fingerprint string) bool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.cert},
		NextProtos:   []string{protocolName},
		ClientAuth:   tls.RequireAnyClientCert,
		// There are no certificate authority and no host names. A process is identified
		// by its fingerprint in the platform's store, which only the system's processes
		// can write. VerifyConnection checks it on both sides.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 || !allowed(fingerprintOf(s.PeerCertificates[0].Raw)) {
				return errors.New("the process isn't registered")
			}
			return nil
		},
	}
}
