package holder

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/transport/files"
)

// disk stores a holder's content in a folder: the file boot, and for each shard
// a folder with the file sealed and one file per batch. Files are replaced
// atomically, so each is complete or absent.
type disk struct {
	folder string
	boot   string
}

const (
	folderMode = 0o700
)

// openDisk opens or creates the folder. newBoot becomes its boot if it has none.
func openDisk(folder, newBoot string) (*disk, error) {
	d := &disk{folder: filepath.Join(folder, "hold"), boot: newBoot}
	if err := os.MkdirAll(d.folder, folderMode); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "holder: folder"), ErrDisk)
	}
	data, err := os.ReadFile(filepath.Join(d.folder, "boot"))
	switch {
	case err == nil && len(data) > 0:
		d.boot = string(data)
		return d, nil
	case err != nil && !os.IsNotExist(err):
		return nil, errors.Mark(errors.Wrap(err, "holder: boot"), ErrDisk)
	}
	return d, d.write("boot", []byte(newBoot))
}

// write writes a file and syncs it to disk.
func (d *disk) write(name string, data []byte) error {
	path := filepath.Join(d.folder, name)
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return errors.Mark(errors.Wrap(err, "holder: folder"), ErrDisk)
	}
	if err := files.Replace(path, data); err != nil {
		return errors.Mark(errors.Wrapf(err, "holder: %s", name), ErrDisk)
	}
	if err := files.SyncDir(d.folder); err != nil {
		return errors.Mark(errors.Wrapf(err, "holder: %s", d.folder), ErrDisk)
	}
	return nil
}

func batchName(shard int, b hold.Batch) string {
	return filepath.Join(strconv.Itoa(shard), fmt.Sprintf("%d-%d", b.Epoch, b.Number))
}

// save updates a shard's folder from the old state to the new one. It writes the
// seal first, so that no batch is on disk without the seal that refuses batches
// of older epochs.
func (d *disk) save(shard int, oldSealed, newSealed uint64, old, batches []hold.Batch) error {
	if newSealed != oldSealed {
		if err := d.write(filepath.Join(strconv.Itoa(shard), "sealed"), strconv.AppendUint(nil, newSealed, 10)); err != nil {
			return err
		}
	}
	previous := map[string]bool{}
	for _, b := range old {
		previous[batchName(shard, b)] = true
	}
	for _, b := range batches {
		name := batchName(shard, b)
		if previous[name] {
			delete(previous, name)
			continue
		}
		data, err := cbor.Marshal(b)
		if err != nil {
			return errors.Wrap(err, "holder: encoding")
		}
		if err := d.write(name, data); err != nil {
			return err
		}
	}
	for name := range previous {
		if err := os.Remove(filepath.Join(d.folder, name)); err != nil {
			return errors.Mark(errors.Wrapf(err, "holder: %s", name), ErrDisk)
		}
	}
	return nil
}

// load reads the folder's seals and batches into the logs.
func (d *disk) load(shardLog func(shard int) *hold.Log) error {
	paths, err := filepath.Glob(filepath.Join(d.folder, "*", "*"))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "holder: folder"), ErrDisk)
	}
	for _, path := range paths {
		shard, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if err != nil || strings.HasSuffix(path, ".new") {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "holder: %s", path), ErrDisk)
		}
		if err := restore(shardLog(shard), filepath.Base(path), data); err != nil {
			return errors.Mark(errors.Wrapf(err, "holder: %s", path), ErrDisk)
		}
	}
	return nil
}

// restore loads one file of a shard's folder, its seal or a batch, into the log.
func restore(l *hold.Log, name string, data []byte) error {
	if name == "sealed" {
		epoch, err := strconv.ParseUint(string(data), 10, 64)
		if err == nil {
			l.Seal(epoch)
		}
		return err
	}
	var b hold.Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return err
	}
	l.Restore(b)
	return nil
}
