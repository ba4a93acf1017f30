package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// signalSeries is sent to a process one signal after the other, with a pause between
// them: a request to stop, with requests to reload before it, right after it, and
// during the drain, and a second request to stop.
var signalSeries = []syscall.Signal{
	syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP,
}

const signalPause = 300 * time.Millisecond

// Every signal but the first request to stop leaves a program to its drain: gates cut
// no request and vaults close their logs.
func TestSignalsInSeriesEndNoDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Options{Seed: 240, For: time.Minute, Folder: t.TempDir()}
	o.Binary = filepath.Join(o.Folder, "cowslipstage")
	out, err := exec.Command("go", "build", "-o", o.Binary, "../../cmd/cowslipstage").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	dp := newDeployment(o)
	defer dp.stop()
	g.Expect(dp.start()).To(gomega.Succeed())

	stopping := dp.gates[0]
	requests := make(chan string, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 8 {
		c := dp.newCaller(fmt.Sprintf("s240-c%d", i), uint64(i), i)
		c.gates = []string{stopping.Frontend}
		go func() {
			for ctx.Err() == nil {
				id := c.nextID()
				c.ledger.recordRequest(id, lookup, id)
				status, _, _, err := c.send(ctx, fake.LookupPath, id, fake.Request{ID: id, Program: "p", Timeout: requestTimeout})
				if err != nil || status != 200 {
					requests <- fmt.Sprintf("%s: status %d, %v", id, status, err)
					return
				}
			}
		}()
	}
	// The drain closes the listener after 2.5 s. Until then no request may fail.
	for _, s := range signalSeries {
		time.Sleep(signalPause)
		stopping.signal(s)
	}
	g.Expect(requests).NotTo(gomega.Receive(), "a request during the drain failed")
	cancel()
	g.Eventually(stopping.exited(), stopGrace).Should(gomega.BeClosed())
	g.Expect(stopping.cmd.ProcessState.String()).To(gomega.Equal("exit status 0"))

	vault := dp.vaults[0]
	for _, s := range signalSeries[:3] {
		vault.signal(s)
	}
	g.Eventually(vault.exited(), stopGrace).Should(gomega.BeClosed())
	g.Expect(vault.cmd.ProcessState.String()).To(gomega.Equal("exit status 0"))
}

// A gate that drained did not learn of new configurations, so that a key revoked shortly
// before or during the drain worked until its end.
func TestAKeyIsRevokedAtADrainingGate(t *testing.T) {
	g := gomega.NewWithT(t)
	o := Options{Seed: 241, For: time.Minute, Folder: t.TempDir()}
	o.Binary = filepath.Join(o.Folder, "cowslipstage")
	out, err := exec.Command("go", "build", "-o", o.Binary, "../../cmd/cowslipstage").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	dp := newDeployment(o)
	defer dp.stop()
	g.Expect(dp.start()).To(gomega.Succeed())

	draining := dp.gates[0]
	c := dp.newCaller("s241-c", 0, 0)
	c.gates = []string{draining.Frontend}
	key := c.customer.extra
	send := func() int {
		id := c.nextID()
		c.ledger.recordRequest(id, lookup, id)
		status, _, _, err := c.send(context.Background(), fake.LookupPath, id, fake.Request{ID: id, Program: "p", Key: key, Timeout: requestTimeout})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return status
	}
	g.Expect(send()).To(gomega.Equal(200))
	draining.signal(syscall.SIGTERM)
	g.Expect(dp.waitLogged(draining, "draining requests", "does not drain")).To(gomega.Succeed())
	for c.customer.extra == key {
		dp.keys.replace(c.random, dp.configure)
	}
	// The drain closes the listener after 2.5 s.
	g.Eventually(send).WithTimeout(2 * time.Second).Should(gomega.Equal(401))
}

// A signal may arrive before a program has read its settings.
func TestSignalsDuringStartAreCaught(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	binary := filepath.Join(folder, "cowslipstage")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/cowslipstage").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	for _, role := range []string{"gate", "vault"} {
		// The program waits for its settings, because the pipe stays empty.
		pipe := filepath.Join(folder, role+".json")
		g.Expect(syscall.Mkfifo(pipe, 0o600)).To(gomega.Succeed())
		cmd := exec.Command(binary, role, "--settings", pipe)
		g.Expect(cmd.Start()).To(gomega.Succeed())
		defer func() { _ = cmd.Process.Kill() }()
		// Opening succeeds once the program reads.
		openPipe := func() error {
			_, err := syscall.Open(pipe, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err
		}
		g.Eventually(openPipe, startTimeout).Should(gomega.Succeed())
		g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(gomega.Succeed())
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		g.Consistently(ended, 2*signalPause).ShouldNot(gomega.Receive(), "%s ended at a SIGHUP", role)
	}
}
