package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports of every process. Each has its own loopback address.
const (
	frontendPort = 8149
	readyPort    = 8141
	controlPort  = 8144
)

// restartPause is the pause between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

// host is one gate or vault, started with the command of the deploy file.
type host struct {
	name, role, zone, ip string
	settings             map[string]any
	folder, data         string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// start starts the process. bootstrap is true only for its first start.
func (h *host) start(bootstrap bool) error {
	h.settings["bootstrap"] = bootstrap
	text, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(h.folder, h.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	metrics := "7395"
	if h.role == "vault" {
		metrics = "7394"
	}
	cmd := exec.Command("target/cowslipstage", h.role, "--metrics", metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPSTAGE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait() // the log says why it ended
		close(ended)
	}(h.ended)
	return nil
}

// signal sends a signal to the process, which may have ended.
func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// kill ends the process at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// wipe empties the data folder of a process that has ended.
func (h *host) wipe() error {
	if err := os.RemoveAll(h.data); err != nil {
		return err
	}
	return os.MkdirAll(h.data, 0o700)
}

// restart starts a process that has ended again, with the settings in effect.
func (h *host) restart() error {
	time.Sleep(restartPause)
	return h.start(false)
}

// ready reports whether a gate says that it is ready.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	a, err := client.Get("http://" + h.addr(readyPort) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = a.Body.Close() // only the status matters
	return a.StatusCode == http.StatusOK
}

// newHost returns a process of the deployment that has not been started.
func (d *deployment) newHost(role, zone string, n int) *host {
	h := &host{role: role, zone: zone, folder: d.folder, ip: fmt.Sprintf("127.%d.%d.%d", d.net[0], d.net[1], 10+n)}
	h.name = fmt.Sprintf("%s-%s-%d", role, zone, n)
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "nordeste"
	}
	limits := map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
	listen := map[string]string{}
	class, serves := "edge", []string{"edge"}
	if role == "vault" {
		class, serves = "storage", []string{"storage", "control"}
		h.data = filepath.Join(d.folder, h.name)
		limits = map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 154, "maxFds": 8200, "linkMbps": 600.0, "diskMb": 380}
		listen["control"] = h.addr(controlPort)
	} else {
		listen["frontend"], listen["ready"] = h.addr(frontendPort), h.addr(readyPort)
	}
	h.settings = map[string]any{
		"nodeName": h.name, "role": role, "machineClass": class, "serves": serves, "ip": h.ip, "zone": zone, "region": "nordeste",
		"zones": zones, "listen": listen, "portRange": []int{7380, 7395}, "seeds": d.seeds, "lossCounts": role == "vault",
		"limits": limits, "dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]float64{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4.4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "iterationMs": 120,
			"retryAfterS": 0, "deadlineS": 10, "settleMs": 1000,
		},
		"platform": map[string]any{
			"address": d.storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	}
	if h.data != "" {
		h.settings["dataDir"] = h.data
	}
	return h
}
