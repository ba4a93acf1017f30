package cmds_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

func TestReportAndTrace(t *testing.T) {
	g := NewWithT(t)
	text, err := examples.Files.ReadFile("brennecke/001-start.ini")
	g.Expect(err).NotTo(HaveOccurred())
	d, err := local.Start(local.Options{
		Ticket: text, Nodes: 3, Log: zerolog.Nop(),
		Engine: engine.Options{PrefillRate: 100000, Decode: time.Millisecond, Slots: 8},
		Desk:   desk.Options{Latency: time.Millisecond},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer d.Stop()
	c := client.New("brennecke", d.Addrs())
	for _, key := range []string{"k1", "k2", "k3"} {
		a, err := c.Do(t.Context(), client.Request{Program: "p1", Key: key, Service: "yard", Operation: "book", Text: "{}"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Outcome).To(Equal(answer.Done))
	}
	nodes := "--nodes=" + strings.Join(d.Addrs(), ",")

	out, err := run("trace", "k2", nodes)
	g.Expect(err).NotTo(HaveOccurred())
	at := 0
	for _, kind := range []string{"submit", "receive", "intent", "dispatch", "settle", "answer"} {
		next := strings.Index(out[at:], kind)
		g.Expect(next).To(BeNumerically(">=", 0), "%s after the earlier ones in\n%s", kind, out)
		at += next
	}
	g.Expect(out).NotTo(ContainSubstring("k3"))
	out, err = run("trace", "nothing", nodes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("no node remembers nothing\n"))

	folder := t.TempDir()
	page, saved := filepath.Join(folder, "burn.html"), filepath.Join(folder, "saved.json")
	out, err = run("report", nodes, "--html", page, "--json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(saved, []byte(out), 0o600)).To(Succeed())
	g.Expect(page).To(BeAnExistingFile())
	out, err = run("report", saved)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(MatchRegexp(`nodes 3, taken .*\n`))
	g.Expect(out).To(MatchRegexp(`yard +brennecke +5s +99\.5% +0\.00 +0\.00 +0\.00 +0\.00 +3 +100%`))
	_, err = run("report", "--nodes=127.0.0.1:1")
	g.Expect(err).To(HaveOccurred())
}
