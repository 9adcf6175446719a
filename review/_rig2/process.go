package main

import (
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// program is the command of the deploy file, relative to the root of the repository.
const program = "target/filbertusher"

// The indexes of world.ports.
const (
	frontend = iota
	readiness
	control
)

// gateway is a gateway process on a machine of its own.
type gateway struct {
	w            *world
	name, ip     string
	settingsPath string
	command      *exec.Cmd
	ready        bool
	misses       int
}

func (g *gateway) address(port int) string { return g.ip + ":" + strconv.Itoa(g.w.ports[port]) }

// stopAll ends all gateways that were started.
func (w *world) stopAll() {
	for _, g := range w.started {
		if g.command.ProcessState == nil {
			_ = g.command.Process.Kill()
			_ = g.command.Wait()
		}
	}
}

func (g *gateway) start(bootstrap bool) {
	g.w.settings(g, bootstrap)
	g.command = exec.Command(program, "gateway", "--zone-cost=100")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTUSHER_CONFIG=" + g.settingsPath}
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(g.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	defer log.Close()
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		fail(err)
	}
	g.w.started = append(g.w.started, g)
	g.w.logf("%s starts", g.name)
}

func (g *gateway) signal(signal syscall.Signal) {
	g.w.logf("%s gets signal %d", g.name, signal)
	_ = g.command.Process.Signal(signal)
}

// kill is the loss of the process, without SIGTERM.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	_ = g.command.Wait()
}

// isReady asks the readiness address, as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.address(readiness) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the gateways are ready, or returns false.
func awaitReady(gateways []*gateway, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, g := range gateways {
			all = all && g.isReady()
		}
		if all {
			return true
		}
	}
	return false
}
