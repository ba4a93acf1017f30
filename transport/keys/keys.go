// Package keys (transport layer) holds the secrets and certificates with which
// nodes authenticate each other. Changed files are reloaded.
package keys

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// ErrFile means that a key file is missing or malformed.
var ErrFile = errors.New("keys: unusable file")

// Options names the sources of the keys.
type Options struct {
	// Secret is a fixed shared secret; SecretsFile takes precedence.
	Secret string
	// SecretsFile holds one secret per line. The first is sent to peers, and all are
	// accepted from them.
	SecretsFile string
	// CertFile, KeyFile and CAFile are PEM files; all three together enable mutual TLS.
	CertFile string
	KeyFile  string
	CAFile   string
}

// Keys holds one node's keys. It is safe for concurrent use.
type Keys struct {
	options Options
	log     zerolog.Logger

	mu sync.Mutex
	// secrets is never empty; the first is sent to peers.
	secrets []string
	// certificate and authorities are nil without TLS.
	certificate *tls.Certificate
	authorities *x509.CertPool
	// stamps holds each file's modification time and size at the last check.
	stamps map[string]stamp
}

// stamp distinguishes two versions of a file.
type stamp struct {
	changed time.Time
	size    int64
}

// New returns keys whose files are not read yet.
func New(o Options, log zerolog.Logger) *Keys {
	return &Keys{options: o, log: log, secrets: []string{o.Secret}, stamps: map[string]stamp{}}
}

// Load reads the files. It must be called before any other use.
func (k *Keys) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.options
	if given := len(o.CertFile + o.KeyFile + o.CAFile); given > 0 && (o.CertFile == "" || o.KeyFile == "" || o.CAFile == "") {
		return errors.Mark(errors.New("keys: cert, key and ca must be set together"), ErrFile)
	}
	if o.Secret == "" && o.SecretsFile == "" && !k.UsesTLS() {
		k.log.Warn().Msg("nodes are not authenticated to each other: set secrets, or cert, key and ca, in [links]")
	}
	return k.readFiles()
}

// readFiles reads all files, and keeps the current keys if one is unusable.
func (k *Keys) readFiles() error {
	secrets, certificate, authorities := k.secrets, k.certificate, k.authorities
	var err error
	if k.options.SecretsFile != "" {
		if secrets, err = readSecrets(k.options.SecretsFile); err != nil {
			return err
		}
	}
	if k.UsesTLS() {
		if certificate, authorities, err = readPair(k.options); err != nil {
			return err
		}
	}
	k.secrets, k.certificate, k.authorities = secrets, certificate, authorities
	return nil
}

func readSecrets(file string) ([]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "keys: secrets"), ErrFile)
	}
	var secrets []string
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if s := strings.TrimSpace(lines.Text()); s != "" {
			secrets = append(secrets, s)
		}
	}
	if len(secrets) == 0 {
		return nil, errors.Mark(errors.Newf("keys: %s: holds no secret", file), ErrFile)
	}
	return secrets, nil
}

func readPair(o Options) (*tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(o.CertFile, o.KeyFile)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrapf(err, "keys: %s and %s", o.CertFile, o.KeyFile), ErrFile)
	}
	data, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "keys: ca"), ErrFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, errors.Mark(errors.Newf("keys: %s: holds no certificate", o.CAFile), ErrFile)
	}
	return &pair, pool, nil
}

// refresh reads the files again if one has changed. It logs unusable files and
// keeps the old keys. The caller holds the lock.
func (k *Keys) refresh() {
	changed := false
	for _, file := range []string{k.options.SecretsFile, k.options.CertFile, k.options.KeyFile, k.options.CAFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			continue
		}
		s := stamp{changed: info.ModTime(), size: info.Size()}
		changed = changed || k.stamps[file] != s
		k.stamps[file] = s
	}
	if !changed {
		return
	}
	if err := k.readFiles(); err != nil {
		k.log.Error().Err(err).Msg("changed key files are unusable; keeping the old keys")
	}
}

// Secret returns the secret to send to peers.
func (k *Keys) Secret() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return k.secrets[0]
}

// Accepts reports, in constant time, whether a peer's secret is valid.
func (k *Keys) Accepts(secret string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	secretHash, matched := sha256.Sum256([]byte(secret)), 0
	for _, s := range k.secrets {
		own := sha256.Sum256([]byte(s))
		matched |= subtle.ConstantTimeCompare(secretHash[:], own[:])
	}
	return matched == 1
}

// UsesTLS reports whether nodes authenticate by certificate.
func (k *Keys) UsesTLS() bool { return k.options.CertFile != "" }

// ServerTLS returns the TLS configuration for accepting links, or nil without TLS.
func (k *Keys) ServerTLS() *tls.Config {
	if !k.UsesTLS() {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := k.currentFiles()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorities,
			}, nil
		},
	}
}

// ClientTLS returns the TLS configuration for dialling a node, or nil without TLS.
// The node's certificate must contain its name.
func (k *Keys) ClientTLS(node string) *tls.Config {
	if !k.UsesTLS() {
		return nil
	}
	certificate, authorities := k.currentFiles()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate},
		RootCAs: authorities, ServerName: node,
	}
}

func (k *Keys) currentFiles() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return k.certificate, k.authorities
}

// PeerHasName reports whether a verified connection's certificate contains the
// node's name.
func PeerHasName(state *tls.ConnectionState, node string) bool {
	return state != nil && len(state.VerifiedChains) > 0 &&
		state.PeerCertificates[0].VerifyHostname(node) == nil
}
