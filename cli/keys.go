package cli

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sapphirepoint.example/sapphirepoint/keys"
)

// The modes of the files written, and the length of a token before encoding.
const (
	certMode   = 0o644
	secretMode = 0o600
	tokenBytes = 32
)

func (a *app) keysCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "Make the keys of the peer link and of callers"}
	cmd.AddCommand(a.keysCA(), a.keysProcess(), a.keysCaller())
	return cmd
}

func (a *app) keysCA() *cobra.Command {
	var cert, key string
	cmd := &cobra.Command{
		Use:     "ca",
		Short:   "Make an authority, of the peer link or of callers",
		Long:    "Make an authority. Its certificate goes to every entry VM; its key signs certificates and stays with the operators. The peer link and callers need authorities of their own: a caller whose certificate the peer link trusts could pose as an entry VM.",
		Example: "  sapphirepoint keys ca\n  sapphirepoint keys ca --cert callers-ca.pem --key callers-ca.key",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			pair, err := keys.NewCA("sapphirepoint")
			if err != nil {
				return err
			}
			return a.writePair(pair, cert, key)
		},
	}
	cmd.Flags().StringVar(&cert, "cert", "ca.pem", "file for the certificate")
	cmd.Flags().StringVar(&key, "key", "ca.key", "file for the private key")
	return cmd
}

func (a *app) keysProcess() *cobra.Command {
	var node, caCert, caKey, cert, key string
	var addresses []net.IP
	cmd := &cobra.Command{
		Use:     "process --node NAME",
		Short:   "Make the certificate of one entry VM",
		Long:    "Make the certificate of one entry VM for the peer link. With --ip it can serve the TLS of its caller and operator listeners too.",
		Example: "  sapphirepoint keys process --node loughborough-1 --ip 10.0.0.7",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ca, err := readPair(caCert, caKey)
			if err != nil {
				return asUsageError(err)
			}
			pair, err := keys.NewProcessCertificate(ca, node, addresses...)
			if err != nil {
				return err
			}
			return a.writePair(pair, cmp.Or(cert, node+".pem"), cmp.Or(key, node+".key"))
		},
	}
	cmd.Flags().StringVar(&node, "node", "", "name of the entry VM, as in its settings")
	cmd.Flags().IPSliceVar(&addresses, "ip", nil, "addresses at which callers and operators reach it, separated by commas")
	cmd.Flags().StringVar(&caCert, "ca", "ca.pem", "the authority's certificate")
	cmd.Flags().StringVar(&caKey, "ca-key", "ca.key", "the authority's private key")
	cmd.Flags().StringVar(&cert, "cert", "", "file for the certificate (NAME.pem)")
	cmd.Flags().StringVar(&key, "key", "", "file for the private key (NAME.key)")
	_ = cmd.MarkFlagRequired("node")
	return cmd
}

func (a *app) keysCaller() *cobra.Command {
	var name, caCert, caKey, cert, key string
	cmd := &cobra.Command{
		Use:     "caller --name NAME",
		Short:   "Make the client certificate of an institution's callers",
		Long:    "Make the client certificate of an institution's callers. Its name stands under certificate_names in the settings.",
		Example: "  sapphirepoint keys caller --name hollowell-kitchens",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ca, err := readPair(caCert, caKey)
			if err != nil {
				return asUsageError(err)
			}
			pair, err := keys.NewCallerCertificate(ca, name)
			if err != nil {
				return err
			}
			return a.writePair(pair, cmp.Or(cert, name+".pem"), cmp.Or(key, name+".key"))
		},
	}
	cmd.Flags().StringVar(&name, "name", "", "common name of the certificate")
	cmd.Flags().StringVar(&caCert, "ca", "callers-ca.pem", "the callers' authority's certificate")
	cmd.Flags().StringVar(&caKey, "ca-key", "callers-ca.key", "the callers' authority's private key")
	cmd.Flags().StringVar(&cert, "cert", "", "file for the certificate (NAME.pem)")
	cmd.Flags().StringVar(&key, "key", "", "file for the private key (NAME.key)")
	_ = cmd.MarkFlagRequired("name")
	return cmd
}

// readPair reads a certificate and its key.
func readPair(cert, key string) (keys.Pair, error) {
	c, err := os.ReadFile(cert)
	if err != nil {
		return keys.Pair{}, errors.Wrap(err, "read certificate")
	}
	k, err := os.ReadFile(key)
	return keys.Pair{Cert: c, Key: k}, errors.Wrap(err, "read key")
}

// writePair writes a new key and its certificate. It never overwrites a file. Overwriting an
// authority's key would cut off every VM whose certificate it signed.
func (a *app) writePair(p keys.Pair, cert, key string) error {
	if err := writeNewFile(key, p.Key, secretMode); err != nil {
		return err
	}
	if err := writeNewFile(cert, p.Cert, certMode); err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "wrote %s and %s\n", cert, key)
	return nil
}

// writeNewFile writes a file that must not exist yet.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return asUsageError(err)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write "+path)
	}
	return errors.Wrap(f.Close(), "write "+path)
}

func (a *app) tokenCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "token --file FILE",
		Short:   "Make a token and print its SHA-256 for the settings",
		Long:    "Make a token, write it to a new file that only its owner can read, and print its SHA-256, which goes into token_sha256 of the institution's settings.",
		Example: "  sapphirepoint token --file hollowell.token",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			raw := make([]byte, tokenBytes)
			if _, err := rand.Read(raw); err != nil {
				return errors.Wrap(err, "draw token")
			}
			token := base64.RawURLEncoding.EncodeToString(raw)
			if err := writeNewFile(file, []byte(token+"\n"), secretMode); err != nil {
				return err
			}
			sum := sha256.Sum256([]byte(token))
			fmt.Fprintln(a.Out, hex.EncodeToString(sum[:]))
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "new file for the token")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}
