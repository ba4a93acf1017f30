// Package files (transport layer) writes files that outlast a loss of power.
package files

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const fileMode = 0o600

// Replace makes the file at path hold data, whole or not at all, and returns
// once it lasts.
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

// SyncDir makes the names in a folder last.
func SyncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "files: opening the folder")
	}
	return errors.Wrap(errors.CombineErrors(f.Sync(), f.Close()), "files: syncing the folder")
}
