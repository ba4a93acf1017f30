package vault

import (
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/transport/files"
)

// saver writes the newest content of a file to disk. Content that waits is replaced by newer one,
// so the control goroutine never waits for the disk.
type saver struct {
	path    string
	log     zerolog.Logger
	pending chan any
}

func newSaver(folder, name string, log zerolog.Logger) *saver {
	return &saver{path: filepath.Join(folder, name), log: log, pending: make(chan any, 1)}
}

// put has content written. One goroutine at a time may call it.
func (s *saver) put(content any) {
	for {
		select {
		case s.pending <- content:
			return
		case <-s.pending:
		}
	}
}

// run writes what is put until done is closed.
func (s *saver) run(done <-chan struct{}) {
	for {
		select {
		case content := <-s.pending:
			data, err := cbor.Marshal(content)
			if err == nil {
				err = files.Replace(s.path, data)
			}
			if err != nil {
				s.log.Warn().Err(err).Str("file", filepath.Base(s.path)).Msg("writing a file failed; the next change repeats it")
			}
		case <-done:
			return
		}
	}
}
