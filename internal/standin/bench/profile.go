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

// profileQuery asks for a profile of this many seconds.
const profileQuery = "profile?seconds=2"

// profile starts processor profiles of the entry and of one companion, if they
// were asked for. The returned function waits for their end.
func (b *bench) profile(ctx context.Context, w *ways, t *target, load string) func() {
	var pending sync.WaitGroup
	if b.Profiles != "" && t.name == "path" {
		for _, member := range []*fleet.Member{w.whole.Entries[0], w.whole.Companions[0]} {
			pending.Go(func() {
				path := filepath.Join(b.Profiles, load+"-"+member.Name+".pprof")
				if err := fetchProfile(ctx, member, path); err != nil {
					_, _ = io.WriteString(b.out, "no profile of "+member.Name+": "+err.Error()+"\n")
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
