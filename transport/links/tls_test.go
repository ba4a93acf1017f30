package links_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/keys"
	"github.com/cowslipstage/cowslipstage/transport/links"
)

// authority is a certificate authority for nodes' certificates.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, file: filepath.Join(t.TempDir(), "ca.pem")}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	a.key = newKey(t)
	data := a.sign(template, template, a.key)
	var err error
	a.cert, err = x509.ParseCertificate(data)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	writePEM(t, a.file, "CERTIFICATE", data)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return k
}

func (a *authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	NewWithT(a.t).Expect(err).NotTo(HaveOccurred())
	return data
}

func writePEM(t *testing.T, file, kind string, data []byte) {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	NewWithT(t).Expect(os.WriteFile(file, block, 0o600)).To(Succeed())
}

// issue writes a key and a certificate for a name into a folder.
func (a *authority) issue(folder, name string) keys.Options {
	o := keys.Options{
		Secret: "s", CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: a.file,
	}
	key := newKey(a.t)
	writePEM(a.t, o.CertFile, "CERTIFICATE", a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.cert, key))
	data, err := x509.MarshalECPrivateKey(key)
	NewWithT(a.t).Expect(err).NotTo(HaveOccurred())
	writePEM(a.t, o.KeyFile, "EC PRIVATE KEY", data)
	return o
}

func withKeys(t *testing.T, o keys.Options) func(*links.Options) {
	k := keys.New(o, zerolog.Nop())
	NewWithT(t).Expect(k.Load()).To(Succeed())
	return func(l *links.Options) { l.Keys = k }
}

func TestNodesProveTheirNamesByCertificate(t *testing.T) {
	g := NewWithT(t)
	ca := newAuthority(t)
	a := newTestNode(t, "a", withKeys(t, ca.issue(t.TempDir(), "a")))
	b := newTestNode(t, "b", withKeys(t, ca.issue(t.TempDir(), "b")))
	wrongName := newTestNode(t, "c", withKeys(t, ca.issue(t.TempDir(), "d")))
	otherCA := newTestNode(t, "e", withKeys(t, newAuthority(t).issue(t.TempDir(), "e")))
	got := b.subscribe(t, frame.TopicReply)
	a.Connect("b", b.addr)
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	g.Expect(a.send("b", frame.TopicReply, "hello")).To(Succeed())
	g.Expect(receive(got)).To(Equal("hello"))

	wrongName.Connect("b", b.addr)
	g.Eventually(func() uint64 { return b.count(`links_drops_total{reason="refused"}`) }, eventTimeout).
		Should(BeNumerically(">=", 1), "a certificate for another name")
	otherCA.Connect("b", b.addr)
	g.Eventually(func() uint64 { return otherCA.count("links_redials_total") }, eventTimeout).
		Should(BeNumerically(">=", 2), "a certificate of another authority")
	a.Connect("x", b.addr)
	g.Eventually(func() uint64 { return a.count("links_redials_total") }, eventTimeout).
		Should(BeNumerically(">=", 2), "a listener with another name")
	g.Expect(wrongName.Connected()).To(BeEmpty())
	g.Expect(otherCA.Connected()).To(BeEmpty())
	g.Expect(a.Connected()).To(ConsistOf("b"))
}

func TestChangedCertificatesAreReloaded(t *testing.T) {
	g := NewWithT(t)
	ca := newAuthority(t)
	folder := t.TempDir()
	a := newTestNode(t, "a", withKeys(t, ca.issue(folder, "old")))
	b := newTestNode(t, "b", withKeys(t, ca.issue(t.TempDir(), "b")))
	a.Connect("b", b.addr)
	g.Eventually(func() uint64 { return b.count(`links_drops_total{reason="refused"}`) }, eventTimeout).
		Should(BeNumerically(">=", 1))
	ca.issue(folder, "a")
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
}

func TestUnusableKeyFiles(t *testing.T) {
	folder := t.TempDir()
	empty := filepath.Join(folder, "empty")
	NewWithT(t).Expect(os.WriteFile(empty, []byte("\n \n"), 0o600)).To(Succeed())
	for name, o := range map[string]keys.Options{
		"no secret in the file": {SecretsFile: empty},
		"no file":               {SecretsFile: filepath.Join(folder, "none")},
		"cert without key":      {CertFile: empty},
		"no certificate":        {CertFile: empty, KeyFile: empty, CAFile: empty},
	} {
		err := keys.New(o, zerolog.Nop()).Load()
		NewWithT(t).Expect(errors.Is(err, keys.ErrFile)).To(BeTrue(), name)
	}
}

func TestUnusableNewKeysKeepOldKeysInUse(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "secrets")
	g.Expect(os.WriteFile(file, []byte("one\ntwo\n"), 0o600)).To(Succeed())
	k := keys.New(keys.Options{SecretsFile: file}, zerolog.Nop())
	g.Expect(k.Load()).To(Succeed())
	g.Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
	g.Expect(k.Secret()).To(Equal("one"))
	g.Expect(k.Accepts("two")).To(BeTrue())
	g.Expect(k.Accepts("")).To(BeFalse())
}
