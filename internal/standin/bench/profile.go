package bench

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"filbertusher/internal/admin"
	"filbertusher/internal/standin/fleet"
)

// profileQuery is the name of the profile and its duration.
const profileQuery = "profile?seconds=2"

// startProfiles starts CPU profiles of the entry and of one companion, if profiles
// are enabled and the target is the product. The returned function waits until
// they are complete.
func (b *bench) startProfiles(ctx context.Context, tb *testbed, t *target, load string) func() {
	var pending sync.WaitGroup
	if b.ProfileDir != "" && t.name == "path" {
		for _, member := range []*fleet.Member{tb.system.Entries[0], tb.system.Companions[0]} {
			pending.Go(func() {
				path := filepath.Join(b.ProfileDir, load+"-"+member.Name+".pprof")
				if err := fetchProfile(ctx, member, path); err != nil {
					_, _ = io.WriteString(b.out, "profiling failed for "+member.Name+": "+err.Error()+"\n")
				}
			})
		}
	}
	return pending.Wait
}

func fetchProfile(ctx context.Context, member *fleet.Member, path string) error {
	url := "http://" + member.Admin + admin.PathProfile + profileQuery
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = io.Copy(file, response.Body)
	return err
}
