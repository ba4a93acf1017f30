// Package files (transport layer) writes files durably, so that they survive a loss
// of power.
package files

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const fileMode = 0o600

// Replace atomically replaces the content of the file at path and returns once the
// change is durable.
func Replace(path string, data []byte) error {
	if err := writeSynced(path+".new", data); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "files: renaming")
	}
	return SyncDir(filepath.Dir(path))
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "files: creating")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "files: writing")
}

// SyncDir syncs a directory, which makes created and renamed entries durable.
func SyncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "files: opening the directory")
	}
	return errors.Wrap(errors.CombineErrors(f.Sync(), f.Close()), "files: syncing the directory")
}
