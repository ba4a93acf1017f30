package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// foreignWrites is how often another writer writes to the key of a runner, and foreignPause the
	// pause between two of its writes.
	foreignWrites = 4
	foreignPause  = 2500 * time.Millisecond
	// turnPause is the pause between two turns of the clients.
	turnPause = 100 * time.Millisecond
)

// foreignEntry: another writer writes an entry without all of its fields under the id of a runner of the
// desks, with the service of the engines. It names no runner to use, so no turn may run at that desk.
func foreignEntry(d *deployment, trouble bool) (bool, error) {
	desk, err := d.addRunner("desks", 90, zones[0])
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	if trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			d.writeForeign(desk)
		}()
	}
	end := time.Now().Add(foreignWrites * foreignPause)
	for n := 0; time.Now().Before(end); n++ {
		group.Add(1)
		go func() {
			defer group.Done()
			d.try(d.gates[n%len(d.gates)], turn{program: "p" + newID()[:7], words: fmt.Sprintf("question %d", n), client: 100 + n%100}, clientLimit)
		}()
		time.Sleep(turnPause)
	}
	group.Wait()
	wrong := 0
	for _, line := range d.ranAt(desk) {
		if strings.Contains(line, "/talk/") {
			wrong++
		}
	}
	d.note("%d turns ran at the desk %s; no configuration allows that", wrong, desk.id)
	return wrong > 0, nil
}

// writeForeign writes as another writer does. The runner writes its own entry again with its next report.
func (d *deployment) writeForeign(r *runner) {
	for range foreignWrites {
		value := fmt.Sprintf(`{"service":"engines","address":%q,"zone":%q,"slots":16,"state":"ready"}`, r.addr, r.zone)
		d.note("DISTURBANCE: another writer sets %s to %s, without version, coldLeftMs and seq", entryKey(r.id), value)
		d.store.Set(entryKey(r.id), value)
		time.Sleep(heartbeat)
		d.register(r)
		d.note("runner %s writes its own entry again", r.id)
		time.Sleep(foreignPause - heartbeat)
	}
}
