package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment, as the operators' sheet gives them.
const (
	heartbeatEvery = 1500 * time.Millisecond
	holdMax        = time.Second
	stopTime       = 20 * time.Millisecond
	runnerCPU      = 32_000
	runnerMem      = 131_072
	host           = "orders.example"
	prefix         = "/orders/"
	service        = "restock"
	readyLimit     = 15 * time.Second
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// world holds what all stand-ins of a case share, and writes its record.
type world struct {
	begin  time.Time
	root   string
	dir    string
	record *os.File

	mu sync.Mutex
	// ended says that no more processes may start.
	ended     bool
	broken    []string
	processes []*process
	runners   []*runner
	store     *store
	entries   []*entry
	// ips are the loopback addresses that are taken.
	ips map[string]bool
}

// process is a program that the case has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// entry is an entry of the system with its addresses.
type entry struct {
	*process
	front string
	ready string
}

func newWorld(root, record string) (w *world, err error) {
	root, err = filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	w = &world{begin: time.Now(), root: root, ips: map[string]bool{}}
	w.record, err = os.Create(record)
	if err != nil {
		return nil, err
	}
	w.dir, err = os.MkdirTemp("", "review")
	return w, err
}

// notef writes a line of the record.
func (w *world) notef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that the rule was broken.
func (w *world) breakf(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	w.notef("BROKEN: %s", what)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, what)
}

// address returns a loopback address of its own for a machine.
func (w *world) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		if !w.ips[ip] {
			w.ips[ip] = true
			return ip
		}
	}
}

// freePort returns an address with a free port.
func freePort(ip string) (addr string, err error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// serve serves HTTP at an address.
func (w *world) serve(addr string, h http.Handler) (listening string, err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)(\|json)?\}\}`)

// settings fills in a template of the deploy folder as the platform does.
func (w *world) settings(name, template string, values map[string]any) (path string, err error) {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", template))
	if err != nil {
		return "", err
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		encoded, err := json.Marshal(v)
		if err != nil {
			return ""
		}
		return string(encoded)
	})
	path = filepath.Join(w.dir, name+".json")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

// start starts a role of the system with the command of the deploy file.
func (w *world) start(name, role, settings string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(w.root, "target", "corianderspur"), "platform", role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERSPUR_SETTINGS=" + settings}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	if err := w.launch(p); err != nil {
		return nil, err
	}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		w.notef("process of %s ended", name)
		close(p.exited)
	}()
	w.notef("process of %s started (platform %s)", name, role)
	return p, nil
}

// launch starts a process, unless the case has ended.
func (w *world) launch(p *process) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return errSetup
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	w.processes = append(w.processes, p)
	return nil
}

// signal sends a signal to a process that the case has started.
func (w *world) signal(p *process, s syscall.Signal) {
	w.notef("%v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// end ends every process that the case has started, and starts no more. KEEP names a folder that takes their logs.
func (w *world) end() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, p := range w.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range w.processes {
		<-p.exited
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// deploy starts the store, the runners with their agents, and the entries, and waits until all entries take requests.
func (w *world) deploy(entries int, kinds ...string) error {
	w.store = newStore(w)
	ip := w.address()
	storeAddr, err := w.serve(ip+":0", &view{store: w.store})
	if err != nil {
		return errors.Join(errSetup, err)
	}
	w.store.configure(3)
	for i, kind := range kinds {
		if err := w.addRunner(i, storeAddr, kind); err != nil {
			return errors.Join(errSetup, err)
		}
	}
	for i := range entries {
		if err := w.addEntry(i, ip); err != nil {
			return errors.Join(errSetup, err)
		}
	}
	deadline := time.Now().Add(readyLimit)
	for _, e := range w.entries {
		for !isReady(e.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errSetup, e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Sessions with every agent, and the first heartbeats.
	time.Sleep(4 * time.Second)
	w.notef("%d entries and %d runners with their agents are up", entries, len(kinds))
	return nil
}

func isReady(addr string) bool {
	client := &http.Client{Timeout: time.Second}
	a, err := client.Get("http://" + addr + "/-/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// machine returns the values that the settings of every machine have.
func machine(name, ip, zone, storeAddr string, memory int) map[string]any {
	return map[string]any{
		"node": name, "ip": ip, "zone": zone, "platform.address": storeAddr, "limits.memoryMb": memory,
		"bounds.remoteFactor": 1.5, "internalPorts.0": 7720,
	}
}

func (w *world) addRunner(i int, storeAddr, kind string) (err error) {
	ip := w.address()
	control, err := freePort(ip)
	if err != nil {
		return err
	}
	r := newRunner(w, i, control)
	r.kind = kind
	if err := r.listen(ip + ":0"); err != nil {
		return err
	}
	name := fmt.Sprintf("side-umea-%d", i+1)
	values := machine(name, ip, "umea", storeAddr, 152)
	values["service"], values["listen.control"], values["app"] = service, control, r.addr
	r.session = ip + ":7720"
	path, err := w.settings(name, "agent.json.tmpl", values)
	if err != nil {
		return err
	}
	r.process, err = w.start(name, "agent", path)
	if err != nil {
		return err
	}
	w.runners = append(w.runners, r)
	go r.heartbeats()
	return nil
}

func (w *world) addEntry(i int, storeIP string) (err error) {
	ip := w.address()
	v := &view{store: w.store, links: map[string]string{}}
	for _, r := range w.runners {
		l, err := w.newLink(r.session)
		if err != nil {
			return err
		}
		r.links = append(r.links, l)
		v.setLink(r.session, l.addr)
	}
	storeAddr, err := w.serve(storeIP+":0", v)
	if err != nil {
		return err
	}
	front, err := freePort(ip)
	if err != nil {
		return err
	}
	ready, err := freePort(ip)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("edge-umea-%d", i+1)
	values := machine(name, ip, "umea", storeAddr, 284)
	values["listen.front"], values["listen.ready"] = front, ready
	path, err := w.settings(name, "entry.json.tmpl", values)
	if err != nil {
		return err
	}
	p, err := w.start(name, "entry", path)
	if err != nil {
		return err
	}
	w.entries = append(w.entries, &entry{process: p, front: front, ready: ready})
	return nil
}

// newID draws the id of a job, as clients do.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// jobBody returns a job of one step that needn't be stored; requires is the label that its runners must have, if any.
func jobBody(count, cpu, estimate int, requires string) []byte {
	step := map[string]any{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimate}
	if requires != "" {
		step["requires"] = requires
	}
	body, err := json.Marshal(map[string]any{"taskSpec": "work", "bestEffort": true, "steps": []any{step}})
	if err != nil {
		panic(err)
	}
	return body
}

// stepsBody returns a job of two steps that needn't be stored, the second after the first.
func stepsBody(estimate int) []byte {
	body, err := json.Marshal(map[string]any{"taskSpec": "work", "bestEffort": true, "steps": []any{
		map[string]any{"count": 2, "cpu": 3100, "memMb": 64, "estimateMs": estimate},
		map[string]any{"count": 2, "cpu": 3100, "memMb": 64, "estimateMs": estimate, "after": []int{0}},
	}})
	if err != nil {
		panic(err)
	}
	return body
}

// ask sends one request on a connection of its own, and returns the status and the body of the answer.
func (w *world) ask(e *entry, method, id string, body []byte, patience time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	w.notef("sent: %s %s to %s", method, id, e.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		w.notef("no answer: %s %s from %s: %v", method, id, e.name, plain(err))
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		w.notef("answer cut: %s %s from %s", method, id, e.name)
		return 0, ""
	}
	answer = strings.TrimSpace(string(data))
	w.notef("answered: %s %s from %s: %d %s", method, id, e.name, a.StatusCode, answer)
	return a.StatusCode, answer
}

// plain returns the innermost error of a chain.
func plain(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}
