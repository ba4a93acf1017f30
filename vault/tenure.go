package vault

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cowslipstage/cowslipstage/state/tenure"
	"github.com/cowslipstage/cowslipstage/transport/files"
)

// savedTenure is the content of tenureFile.
type savedTenure struct {
	// Seat and Claim are the contents of seatFile and claimFile.
	Seat  uint64 `json:"seat"`
	Claim uint64 `json:"claim"`
	tenure.Tenure
}

// knownTenure returns the seats that this host has had with its disk.
func (v *Vault) knownTenure() tenure.Tenure {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tenure
}

// storeTenure writes the seats that this host has had to disk. If that fails, the file no
// longer agrees with seatFile and claimFile, and only those are read at the next start.
func (v *Vault) storeTenure() {
	v.mu.Lock()
	saved := savedTenure{Seat: v.caughtUpSince, Claim: v.claimedVersion, Tenure: v.tenure}
	v.mu.Unlock()
	data, err := json.Marshal(saved)
	if err == nil {
		err = files.Replace(filepath.Join(v.site.Data, tenureFile), data)
	}
	if err != nil {
		v.log.Warn().Err(err).Msg("writing the seats that this host has had failed")
	}
}

// loadTenure reads the seats that this host has had. The build before may have changed
// seatFile and claimFile since; then the rest is not known.
func (v *Vault) loadTenure() tenure.Tenure {
	known := tenure.Tenure{}.Claim(v.claimedVersion).Count(v.caughtUpSince)
	data, err := os.ReadFile(filepath.Join(v.site.Data, tenureFile))
	if os.IsNotExist(err) {
		return known
	}
	saved := savedTenure{}
	if err == nil {
		err = json.Unmarshal(data, &saved)
	}
	if err != nil || saved.Seat != v.caughtUpSince || saved.Claim != v.claimedVersion {
		v.log.Warn().Err(err).Msg("the seats that this host has had are not known; only the last one is used")
		return known
	}
	return saved.Tenure
}
