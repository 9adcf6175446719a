package gateway_test

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/standin/store"
)

var peerAddressPattern = regexp.MustCompile(`control_plane = "([^"]+)"`)

// addSeed adds the address of another gateway to the settings of one that was not
// started yet.
func (c *cluster) addSeed(g, seed *gateway) {
	c.t.Helper()
	seedText, err := os.ReadFile(seed.settingsPath)
	if err != nil {
		c.t.Fatal(err)
	}
	address := peerAddressPattern.FindStringSubmatch(string(seedText))
	text, err := os.ReadFile(g.settingsPath)
	if err != nil || address == nil {
		c.t.Fatal(err, address)
	}
	changed := strings.Replace(string(text), "seeds = []", `seeds = ["`+address[1]+`"]`, 1)
	if err := os.WriteFile(g.settingsPath, []byte(changed), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// gatewayDump is the part of the diagnostic dump that the tests read.
type gatewayDump struct {
	Roster struct {
		Revision uint64 `json:"revision"`
	} `json:"roster"`
	Peers []struct {
		Name   string `json:"name"`
		Silent bool   `json:"silent"`
	} `json:"peers"`
	Dispatch []struct {
		Service   string `json:"service"`
		Endpoints []struct {
			Slots    int           `json:"slots"`
			Entitled int           `json:"entitled"`
			PausedMs int64         `json:"pausedMs"`
			Own      dispatch.Load `json:"own"`
		} `json:"endpoints"`
	} `json:"dispatch"`
}

func (g *gateway) dump() (dump gatewayDump, err error) {
	response, err := http.Get("http://" + g.metricsAddress + "/dump")
	if err != nil {
		return dump, err
	}
	defer response.Body.Close()
	return dump, json.NewDecoder(response.Body).Decode(&dump)
}

// reaches reports whether the gateway exchanges reports with n others.
func (g *gateway) reaches(n int) bool {
	dump, err := g.dump()
	if err != nil || len(dump.Peers) != n {
		return false
	}
	for _, peer := range dump.Peers {
		if peer.Silent {
			return false
		}
	}
	return true
}

// A gateway that starts while the store is away learns of all gateways from one seed,
// and takes its share of the slots instead of all of them.
func TestStartDuringOutageCountsAllGateways(t *testing.T) {
	c := newCluster(t)
	c.revokeMS = 60000
	model := newReplica(t, "m1", "model", 9, 5)
	c.register(model, "ready")
	one, two := c.startGateway("g1"), c.startGateway("g2")
	c.awaitServed(one, "/plan/a")
	c.eventually("the gateways have connected to each other", func() bool { return one.reaches(1) && two.reaches(1) })
	c.setStoreFaults(store.Faults{Down: true})
	three := c.newGateway("g3")
	c.addSeed(three, one)
	c.start(three)
	c.awaitServed(three, "/plan/a")
	c.eventually("the new gateway has connected to both", func() bool { return three.reaches(2) })
	dump, err := three.dump()
	if err != nil {
		t.Fatal(err)
	}
	for _, service := range dump.Dispatch {
		for _, endpoint := range service.Endpoints {
			if endpoint.Entitled*2 > endpoint.Slots {
				t.Errorf("%s: %d of %d slots belong to one of three gateways", service.Service, endpoint.Entitled, endpoint.Slots)
			}
		}
	}
}
