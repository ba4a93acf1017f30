package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	startTimeout = 12 * time.Second
	heartbeat    = 1200 * time.Millisecond
	storePort    = 8142
	frontPort    = 8149
	readyPort    = 8141
	controlPort  = 8144
	firstPort    = 7380
	gateMetrics  = "7395"
	vaultMetrics = "7394"
)

var zones = []string{"north", "middle", "south"}

// size is how many processes a deployment has.
type size struct{ gates, vaults, runners int }

// deployment is a running set of processes and stand-ins.
type deployment struct {
	binary, folder string
	// network is the first three bytes of all addresses.
	network string
	started time.Time
	store   *fake.Keyval
	// front is what the processes reach of the store.
	front  *storeFront
	config int

	mu      sync.Mutex
	record  *os.File
	gates   []*process
	vaults  []*process
	runners []*runner
}

// process is a gate or a vault.
type process struct {
	role, name, ip, zone string
	settings             map[string]any
	cmd                  *exec.Cmd
}

// newDeployment starts the store, the vaults, the gates and the runners.
func newDeployment(binary, record string, n size) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		binary: binary, folder: folder, record: file, started: time.Now(), store: fake.NewKeyval(),
		network: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)),
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", d.network, storePort))
	if err != nil {
		return nil, err
	}
	d.front = &storeFront{next: d.store}
	go func() { _ = http.Serve(l, d.front) }() //nolint:gosec // it ends with the process
	d.setConfig()
	var seeds []string
	for i := range n.vaults {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", d.network, 20+i, controlPort))
	}
	for i := range n.vaults {
		d.vaults = append(d.vaults, d.newProcess("vault", i, 20+i, seeds))
	}
	for i := range n.gates {
		d.gates = append(d.gates, d.newProcess("gate", i, 40+i, seeds))
	}
	for _, p := range append(append([]*process(nil), d.vaults...), d.gates...) {
		if err := d.start(p); err != nil {
			d.close(false)
			return nil, err
		}
	}
	for i := range n.runners {
		if _, err := d.addRunner("engines", 60+i, zones[i%len(zones)]); err != nil {
			d.close(false)
			return nil, err
		}
	}
	go d.beat()
	return d, d.awaitReady()
}

// setConfig writes the next version of the operators' configuration.
func (d *deployment) setConfig() {
	d.config += 3
	c := fake.Config{
		Version: d.config, Timeout: 4 * time.Second, Retention: time.Minute,
		Limits: fake.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTime: 5 * time.Second, IdleTime: 10 * time.Second},
	}
	d.store.Set(fake.ConfigKey, c.Encode())
}

// newProcess returns a process that has not been started.
func (d *deployment) newProcess(role string, i, last int, seeds []string) *process {
	zone := zones[i%len(zones)]
	p := &process{role: role, name: fmt.Sprintf("%s-%s-%d", role, zone, i+1), ip: fmt.Sprintf("%s%d", d.network, last), zone: zone}
	listen := map[string]string{"control": fmt.Sprintf("%s:%d", p.ip, controlPort)}
	class, serves, memory, disk := "storage", []string{"storage", "control"}, 154, 380
	var data any = filepath.Join(d.folder, p.name)
	if role == "gate" {
		listen = map[string]string{"frontend": fmt.Sprintf("%s:%d", p.ip, frontPort), "ready": fmt.Sprintf("%s:%d", p.ip, readyPort)}
		class, serves, memory, disk, data = "edge", []string{"edge"}, 134, 0, nil
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "coast"
	}
	p.settings = map[string]any{
		"nodeName": p.name, "role": role, "machineClass": class, "serves": serves, "ip": p.ip, "zone": zone, "region": "coast", "zones": regions,
		"listen": listen, "portRange": []int{firstPort, firstPort + 15}, "seeds": seeds, "bootstrap": true, "lossCounts": role == "vault",
		"limits":  map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": disk},
		"dataDir": data, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4.4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "iterationMs": 120, "retryAfterS": 0, "deadlineS": 10, "settleMs": 1000,
		},
		"platform": map[string]any{
			"address": fmt.Sprintf("%s1:%d", d.network, storePort), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "minTtlMs": 1000,
		},
	}
	return p
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	if folder, ok := p.settings["dataDir"].(string); ok {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	p.settings["bootstrap"] = false // true only when the whole system starts for the first time
	path := filepath.Join(d.folder, p.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	metrics := gateMetrics
	if p.role == "vault" {
		metrics = vaultMetrics
	}
	p.cmd = exec.Command(d.binary, p.role, "--metrics", metrics)
	p.cmd.Env = append(os.Environ(), "COWSLIPSTAGE_SETTINGS="+path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// end kills a process and waits for its end.
func end(cmd *exec.Cmd) {
	if cmd == nil || cmd.Process == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	_ = cmd.Wait()
}

// awaitReady waits until all gates are ready.
func (d *deployment) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range d.gates {
			r, err := client.Get(fmt.Sprintf("http://%s:%d%s", g.ip, readyPort, fake.ReadyPath))
			if err != nil {
				continue
			}
			_ = r.Body.Close() // it is empty
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.gates) {
			d.note("%d gates are ready, %d vaults, %d runners", len(d.gates), len(d.vaults), len(d.runners))
			return nil
		}
	}
	d.close(false)
	return errSetup
}

// note writes a line of the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(d.started).Seconds()) + strings.TrimSpace(fmt.Sprintf(format, args...)) + "\n"
	_, _ = d.record.WriteString(line) // a full disk shows in the case's result
	_, _ = os.Stdout.WriteString(line)
}

// close ends all processes that the deployment started and removes its folder.
func (d *deployment) close(keep bool) {
	for _, p := range append(append([]*process(nil), d.gates...), d.vaults...) {
		end(p.cmd)
	}
	for _, r := range d.allRunners() {
		r.stop()
	}
	if keep {
		d.note("logs are in %s", d.folder)
	} else {
		_ = os.RemoveAll(d.folder) // nothing else uses it
	}
}
