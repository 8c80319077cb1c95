package conformance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

// sentRequest is a request that has been sent, and its outcome once it has ended.
type sentRequest struct {
	request
	group  string // name in the script, which several requests may share
	cancel context.CancelFunc
	ended  chan struct{}
	out    outcome
}

func (c *sentRequest) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// runner runs a scenario against one side: the daemon or the library.
type runner struct {
	ctx           context.Context
	scenario      *scenario
	side          driver
	network       fakes.Network
	settings      settings
	servers       map[string]*scriptedServer
	serverNames   []string // in the order of the file
	sharedActions *actionQueue
	endpoints     map[string]fakes.Endpoint // as last listed, by id
	requests      []*sentRequest
	running       sync.WaitGroup
	stopped       bool     // a step has called side.Stop
	findings      []string // results of at-most steps, which replace the rest of the outcome
}

func newRunner(ctx context.Context, s *scenario, side driver, n fakes.Network, dir string) *runner {
	ms := time.Millisecond
	return &runner{
		ctx: ctx, scenario: s, side: side, network: n, servers: map[string]*scriptedServer{}, sharedActions: new(actionQueue),
		endpoints: map[string]fakes.Endpoint{}, settings: settings{
			dir: dir, maxAttempts: 3, connections: 512, connect: time.Minute,
			connIdle: time.Minute, drainGrace: 750 * ms, maxRetryAfter: 1200 * ms,
		},
	}
}

// run runs all steps, stops the daemon or the library, and returns the outcome as lines of the file.
func (p *runner) run() (lines []string, err error) {
	defer func() {
		for _, c := range p.requests {
			c.cancel()
		}
		if err != nil {
			p.side.Kill()
		}
		for _, server := range p.servers {
			server.close()
		}
		if p.settings.discovery != nil {
			p.settings.discovery.Close()
		}
		p.running.Wait()
	}()
	for _, tokens := range p.scenario.setup {
		if err := p.applySetup(tokens); err != nil {
			return nil, fmt.Errorf("%s: %w", strings.Join(tokens, " "), err)
		}
	}
	if p.settings.classes == nil {
		for i, name := range []string{"tile", "order"} {
			p.settings.classes = append(p.settings.classes, plankrouter.Class{
				Name: name, LatencyObjective: time.Minute,
				Deadline: 2 * time.Minute, PriorityWeight: 1, Idempotency: plankrouter.Idempotency(i),
			})
		}
	}
	if p.settings.discovery, err = fakes.NewDiscovery(p.network, "", p.settings.endpoints...); err != nil {
		return nil, err
	}
	if err := p.side.Start(&p.settings); err != nil {
		return nil, err
	}
	for _, s := range p.scenario.steps {
		if err := p.step(s.tokens); err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", s.line, strings.Join(s.tokens, " "), err)
		}
	}
	if err := p.await("", 0); err != nil {
		return nil, err
	}
	if !p.stopped {
		if err := errors.Join(p.side.Stop(true), p.side.Wait()); err != nil {
			return nil, fmt.Errorf("shutdown: %w", err)
		}
	}
	for _, server := range p.servers {
		server.close()
	}
	return p.outcome()
}

// applySetup applies a setup line.
func (p *runner) applySetup(tokens []string) error {
	plain, o := splitOptions(tokens)
	switch plain[0] {
	case "provider":
		name := plain[1]
		server := newScriptedServer(p.network, name, p.sharedActions)
		p.servers[name] = server
		p.serverNames = append(p.serverNames, name)
		if err := server.up(slices.Contains(plain, "narrow")); err != nil {
			return err
		}
		m, err := p.endpoint(name, name, o)
		if err != nil {
			return err
		}
		if slices.Contains(plain, "draining") {
			m.Phase = fakes.Draining
		}
		if !slices.Contains(plain, "unlisted") {
			p.endpoints[name] = m
			p.settings.endpoints = append(p.settings.endpoints, m)
		}
		if slices.Contains(plain, "down") {
			server.down()
		}
	case "class":
		c := plankrouter.Class{Name: plain[1], PriorityWeight: 1}
		if plain[2] == "once" {
			c.Idempotency = plankrouter.NonIdempotent
		}
		weight, err := strconv.ParseFloat(cmp.Or(o.get("worth"), "1"), 64)
		c.PriorityWeight = weight
		p.settings.classes = append(p.settings.classes, c)
		return errors.Join(err, duration(o, "aim", &p.settings.classes[len(p.settings.classes)-1].LatencyObjective),
			duration(o, "deadline", &p.settings.classes[len(p.settings.classes)-1].Deadline))
	case "tenant":
		rate, err := strconv.ParseFloat(plain[2], 64)
		p.settings.tenants = append(p.settings.tenants, plankrouter.Tenant{Name: plain[1], QuotaPerSecond: rate})
		return err
	case "set":
		return p.applySettings(o)
	}
	return nil
}

// duration parses the option of that key into to, if it is given.
func duration(o options, key string, to *time.Duration) (err error) {
	if v := o.get(key); v != "" {
		*to, err = time.ParseDuration(v)
	}
	return err
}

func (p *runner) applySettings(o options) error {
	s := &p.settings
	errs := []error{
		duration(o, "connect", &s.connect), duration(o, "idle", &s.connIdle),
		duration(o, "grace", &s.drainGrace), duration(o, "advice", &s.maxRetryAfter),
	}
	for _, setting := range o {
		var err error
		switch setting.key {
		case "connect", "idle", "grace", "advice":
		case "probes":
			s.probes = setting.value == "yes"
		case "fed":
			s.endpointSource = setting.value
		case "attempts":
			s.maxAttempts, err = strconv.Atoi(setting.value)
		case "sockets":
			s.connections, err = strconv.Atoi(setting.value)
		case "over":
			s.overQuotaWeight, err = strconv.ParseFloat(setting.value, 64)
		case "cold":
			s.slowStart = plankrouter.SlowStart{WarmUpTime: time.Hour, OverloadMultiple: 4, OverloadWindow: 3 * time.Second}
			s.slowStart.StartCapacity, err = strconv.ParseFloat(setting.value, 64)
		default:
			err = fmt.Errorf("unknown setting %q", setting.key)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// endpoint returns the list entry, in phase serving, for a server. Its process started long ago, or as long ago as the option
// since says.
func (p *runner) endpoint(id, serverName string, o options) (m fakes.Endpoint, err error) {
	server := p.servers[serverName]
	if server == nil {
		return m, fmt.Errorf("unknown provider %q", serverName)
	}
	m = fakes.Endpoint{ID: id, Address: server.address, Locality: fakes.LocalZone, Phase: fakes.Serving}
	var age time.Duration
	if o.get("since") != "" {
		err = duration(o, "since", &age)
		m.UpSince = time.Now().Add(-age).UnixMilli()
	}
	return m, err
}

// minTokens is the least number of plain tokens of a step, by its keyword. The number for a step of one server is without the
// server's name.
var minTokens = map[string]int{
	"any": 2, "tell": 3, "send": 3, "ask": 3, "ask-kept": 3, "cancel-half": 3, "cancel": 2,
	"await": 2, "elsewhere": 2, "taken": 2, "at-most": 4, "probes": 2, "sees": 2, "begins": 2, "loses": 2, "fresh": 2,
	"dialled": 2,
}

// step runs one step.
func (p *runner) step(tokens []string) error {
	plain, o := splitOptions(tokens)
	if server := p.servers[plain[0]]; server != nil && len(plain) > 1 {
		return p.serverStep(server, plain[1:], tokens[1:])
	}
	if len(plain) < minTokens[plain[0]] {
		return errors.New("missing arguments")
	}
	switch plain[0] {
	case "any":
		return p.anyServerStep(plain[1:], tokens[1:])
	case "tell":
		return p.changeEndpoint(plain[1:], o)
	case "list":
		return p.replaceEndpoints(plain[1:])
	case "send":
		return p.send(plain[1:], o)
	case "ask":
		if err := p.send(plain[1:], o); err != nil {
			return err
		}
		return p.await(strings.Split(plain[1], "*")[0], 0)
	case "ask-kept":
		return p.sendOnReused(plain[1:], o)
	case "cancel-half":
		return p.cancelHalf(plain[1:], o)
	case "cancel":
		for _, c := range p.requestsNamed(plain[1]) {
			c.cancel()
		}
		return p.await(plain[1], 0)
	case "await":
		n := 0
		if len(plain) > 2 {
			n, _ = strconv.Atoi(plain[2])
		}
		return p.await(plain[1], n)
	case "elsewhere":
		for _, server := range p.servers {
			if n := len(slices.DeleteFunc(server.seen(), func(s seenAttempt) bool { return s.id != plain[1] })); n != 1 {
				return fmt.Errorf("%s received the request %d times", server.name, n)
			}
		}
		return nil
	case "taken":
		return p.waitUntil(func() bool {
			n, err := p.side.Accepted()
			return err == nil && strconv.Itoa(n) == plain[1]
		})
	case "at-most":
		return p.boundAttempts(plain[1], plain[2], plain[3:])
	case "nothing-left":
		n := 0
		err := p.waitUntil(func() bool {
			n, _ = p.side.ExtraConnections()
			return n <= 0
		})
		if err != nil {
			return fmt.Errorf("%d connections are still open", n)
		}
		return nil
	case "closing":
		p.stopped = true
		return p.side.Stop(false)
	case "close":
		p.stopped = true
		return errors.Join(p.side.Stop(true), p.waitUntil(p.side.Closed))
	case "closed":
		return p.side.Wait()
	}
	return errors.New("unknown step")
}

func (p *runner) waitUntil(condition func() bool) error { return await(p.ctx, condition) }

// serverStep runs a step of one server.
func (p *runner) serverStep(server *scriptedServer, plain, tokens []string) error {
	seenEnough := func(counts func(seenAttempt) bool) func() bool {
		want, err := strconv.Atoi(plain[len(plain)-1])
		return func() bool {
			n := 0
			for _, s := range server.seen() {
				if err == nil && counts(s) || s.id == plain[len(plain)-1] && counts(s) {
					n++
				}
			}
			return n >= max(1, want)
		}
	}
	switch strings.Join(plain[:min(2, len(plain))], " ") {
	case "lets go":
		return server.release(p.ctx, strings.Join(plain[2:], ""))
	case "closes kept", "resets kept":
		server.drop(plain[0] == "resets")
		// Once no connection is left, the next request can't be sent while its connection is being closed.
		return p.waitUntil(func() bool { return server.sockets(established) == 0 })
	}
	if len(plain) < minTokens[plain[0]] {
		return errors.New("missing arguments")
	}
	switch plain[0] {
	case "does":
		return p.does(server.ownActions, tokens[1:])
	case "down":
		server.down()
		return p.waitUntil(func() bool { return server.sockets(established) == 0 })
	case "up":
		return server.up(false)
	case "hangs":
		return server.freeze(true)
	case "thaws":
		return server.freeze(false)
	case "probes":
		server.mu.Lock()
		defer server.mu.Unlock()
		server.probeResult, server.probes = plain[1], 0
		return nil
	case "probed": // since the last "probes" step of this server
		return p.waitUntil(func() bool { return server.probeCount() > 0 })
	case "sees": // N requests, or the request of that name
		return p.waitUntil(seenEnough(func(s seenAttempt) bool { return s.result != "part" }))
	case "begins":
		return p.waitUntil(seenEnough(func(seenAttempt) bool { return true }))
	case "loses":
		return p.waitUntil(seenEnough(func(s seenAttempt) bool { return s.clientLeft }))
	case "fresh":
		for _, s := range server.seen() {
			if s.id == plain[1] && s.carried > 0 {
				return fmt.Errorf("the request came on a connection that had carried %d others", s.carried)
			}
		}
		return nil
	case "unconnected":
		return p.waitUntil(func() bool { return server.sockets(established)+server.sockets(opening) == 0 })
	case "dialled":
		want, _ := strconv.Atoi(plain[1])
		return p.waitUntil(func() bool { return server.sockets(opening) >= want })
	}
	return errors.New("unknown step of a provider")
}

// anyServerStep runs a step that applies to any of the servers.
func (p *runner) anyServerStep(plain, tokens []string) error {
	switch plain[0] {
	case "does":
		return p.does(p.sharedActions, tokens[1:])
	case "sees":
		return p.waitUntil(func() bool {
			for _, server := range p.servers {
				if slices.ContainsFunc(server.seen(), func(s seenAttempt) bool { return s.id == plain[1] && s.result != "part" }) {
					return true
				}
			}
			return false
		})
	case "lets": // "lets go"
		for _, server := range p.servers {
			if server.release(p.ctx, "") == nil {
				return nil
			}
		}
	}
	return errors.New("unknown step of any provider, or no provider holds a request")
}

// does parses an action, with an optional repeat count such as x3 as the last token, and adds it to the queue.
func (p *runner) does(q *actionQueue, tokens []string) error {
	times := 1
	if last := len(tokens) - 1; last >= 0 && strings.HasPrefix(tokens[last], "x") {
		if n, err := strconv.Atoi(tokens[last][1:]); err == nil {
			times, tokens = n, tokens[:last]
		}
	}
	q.add(parseAction(tokens), times)
	return nil
}

// changeEndpoint updates one endpoint: "ID serving|draining|gone [at PROVIDER] [since=AGE]".
func (p *runner) changeEndpoint(plain []string, o options) error {
	id, serverName := plain[0], plain[0]
	if len(plain) > 3 {
		serverName = plain[3]
	}
	m := p.endpoints[id]
	var err error
	switch plain[1] {
	case "serving":
		if m, err = p.endpoint(id, serverName, o); err != nil {
			return err
		}
	case "draining":
		m.Phase = fakes.Draining
	case "gone":
		m.Phase = fakes.Deleted
	default:
		return errors.New("unknown phase")
	}
	p.endpoints[id] = m
	return p.side.Update([]fakes.Endpoint{m}, false)
}

// replaceEndpoints replaces the whole list by the endpoints with these ids, each as it was last listed.
func (p *runner) replaceEndpoints(ids []string) error {
	var all []fakes.Endpoint
	for _, id := range ids {
		m, known := p.endpoints[id]
		if !known {
			var err error
			if m, err = p.endpoint(id, id, nil); err != nil {
				return err
			}
			p.endpoints[id] = m
		}
		all = append(all, m)
	}
	return p.side.Update(all, true)
}

// send sends one request, "NAME CLASS", or N concurrent requests, "NAME*N CLASS".
func (p *runner) send(plain []string, o options) error {
	name, count, hasCount := strings.Cut(plain[0], "*")
	n := 1
	if hasCount {
		var err error
		if n, err = strconv.Atoi(count); err != nil {
			return err
		}
	}
	r, err := p.parseRequest(name, plain[1], o)
	if err != nil {
		return err
	}
	r.cancelledEarly = slices.Contains(plain[2:], "early")
	for i := range n {
		c := &sentRequest{request: r, group: name, ended: make(chan struct{})}
		if hasCount {
			c.id = fmt.Sprintf("%s.%d", name, i+1)
		}
		p.start(c)
	}
	return nil
}

func (p *runner) start(c *sentRequest) {
	p.requests = append(p.requests, c)
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(p.ctx)
	p.running.Go(func() {
		defer close(c.ended)
		c.out = p.side.Do(ctx, &c.request)
	})
}

// parseRequest returns the request that the options describe. By default it is a GET without a body, or a POST if its class is
// non-idempotent.
func (p *runner) parseRequest(name, class string, o options) (request, error) {
	r := request{id: name, class: class, method: "GET", target: "/" + class + "/" + name}
	if p.settings.isNonIdempotent(class) {
		r.method = "POST"
	}
	for _, opt := range o {
		switch opt.key {
		case "id":
			r.id, r.withoutID = opt.value, opt.value == ""
		case "method":
			r.method = opt.value
		case "target":
			r.target = opt.value
		case "tenant":
			r.tenant = opt.value
		case "header":
			key, value, _ := strings.Cut(opt.value, ": ")
			r.fields = append(r.fields, [2]string{key, value})
		case "body":
			r.body = parseBody(opt.value)
		case "deadline":
			if r.deadlinePassed = opt.value == "past"; r.deadlinePassed {
				r.deadline = time.Second
			} else if err := duration(o, "deadline", &r.deadline); err != nil {
				return r, err
			}
		default:
			return r, fmt.Errorf("unknown option %q of a request", opt.key)
		}
	}
	return r, nil
}

// requestsNamed returns the requests of that name; "" = all.
func (p *runner) requestsNamed(name string) (all []*sentRequest) {
	for _, c := range p.requests {
		if name == "" || c.group == name {
			all = append(all, c)
		}
	}
	return all
}

// await waits until n requests of that name have ended; 0 = all of them.
func (p *runner) await(name string, n int) error {
	all := p.requestsNamed(name)
	if n == 0 {
		n = len(all)
	}
	return p.waitUntil(func() bool {
		ended := 0
		for _, c := range all {
			if c.hasEnded() {
				ended++
			}
		}
		return ended >= n
	})
}

// sendOnReused repeats the request until it is sent on a connection that has carried others. The daemon or
// library makes a connection available for reuse shortly after it has returned the response, at a time that the test can't
// observe.
func (p *runner) sendOnReused(plain []string, o options) error {
	return p.repeatUntil(plain[0], func() error {
		return errors.Join(p.send(plain, o), p.await(plain[0], 0))
	}, func(s seenAttempt) bool { return s.carried > 0 })
}

// cancelHalf sends a request, has the server send half of the response, and then cancels the request. It repeats this until
// the cancellation is in time, because the daemon or library soon fails a request whose response has begun and does not go on.
func (p *runner) cancelHalf(plain []string, o options) error {
	name := plain[0]
	return p.repeatUntil(name, func() error {
		p.sharedActions.add(action{name: "halve", hold: true}, 1)
		if err := errors.Join(p.send(plain, o), p.anyServerStep([]string{"sees", name}, nil)); err != nil {
			return err
		}
		err := p.anyServerStep([]string{"lets", "go"}, nil)
		for _, c := range p.requestsNamed(name) {
			c.cancel()
		}
		return errors.Join(err, p.await(name, 0))
	}, func(seenAttempt) bool { return p.requestsNamed(name)[0].out.kind == "cancelled" })
}

// repeatUntil sends the request of that name with send until an attempt meets the condition. It removes the records of the
// requests and attempts before that one.
func (p *runner) repeatUntil(name string, send func() error, condition func(seenAttempt) bool) error {
	for range 1000 {
		if err := send(); err != nil {
			return err
		}
		for _, server := range p.servers {
			for _, s := range server.seen() {
				if s.id == name && condition(s) {
					return nil
				}
			}
			server.removeAttempts(name)
		}
		p.requests = slices.DeleteFunc(p.requests, func(c *sentRequest) bool { return c.group == name })
	}
	return errors.New("no attempt met the condition in 1000 repetitions")
}

// boundAttempts checks that the attempts of all requests are at most limit, and that each request of one name has one of the
// given outcomes. How many requests have which outcome depends on timing, so the recorded outcome has no counts.
func (p *runner) boundAttempts(limit, name string, tokens []string) error {
	if err := p.await(name, 0); err != nil {
		return err
	}
	n := 0
	for _, server := range p.servers {
		n += len(server.seen())
	}
	if bound, err := strconv.Atoi(limit); err != nil || n > bound {
		return fmt.Errorf("there were %d attempts", n)
	}
	for _, c := range p.requestsNamed(name) {
		if !slices.Contains(tokens, c.out.kind) {
			return fmt.Errorf("%s was %s", c.id, c.out)
		}
	}
	p.findings = append(p.findings, fmt.Sprintf("%s %s, in at most %s attempts", name, strings.Join(tokens, " or "), limit))
	return nil
}

// outcome returns the outcome lines of the requests, of the attempts that each server received and of the requests of
// non-idempotent classes that ran. Such a request that ran more than once is an error.
func (p *runner) outcome() (lines []string, err error) {
	var all, orders []string
	runs := map[string]int{}
	for _, name := range p.serverNames {
		var saw []string
		for _, s := range p.servers[name].seen() {
			saw = append(saw, p.group(s.id)+" "+s.result)
			if s.ran && p.settings.isNonIdempotent(s.class) {
				orders = append(orders, p.group(s.id))
				if runs[s.id]++; runs[s.id] > 1 {
					err = errors.Join(err, fmt.Errorf("order %s ran %d times", s.id, runs[s.id]))
				}
			}
		}
		if all = append(all, saw...); !p.scenario.has("merged") {
			lines = append(lines, name+" saw "+joinOrNothing(fold(saw)))
		}
	}
	if p.findings != nil {
		return p.findings, err
	}
	if p.scenario.has("merged") {
		slices.Sort(all)
		lines = []string{"all saw " + joinOrNothing(fold(all))}
	}
	if slices.ContainsFunc(p.settings.classes, func(c plankrouter.Class) bool { return c.Idempotency == plankrouter.NonIdempotent }) {
		slices.Sort(orders)
		lines = append(lines, "orders run "+joinOrNothing(fold(orders)))
	}
	return append(p.outcomes(), lines...), err
}

// outcomes returns the outcome lines of the requests, in the order in which they were sent. Equal outcomes of requests with the
// same name in the script are one line, with a count.
func (p *runner) outcomes() (lines []string) {
	done := map[string]bool{}
	for _, c := range p.requests {
		var group []string
		for _, sent := range p.requestsNamed(c.group) {
			group = append(group, sent.group+" "+sent.out.String())
		}
		if !done[c.group] {
			slices.Sort(group)
			lines = append(lines, fold(group)...)
		}
		done[c.group] = true
	}
	return lines
}

// group returns the name in the script of the request with that id; "one" = no request was sent with the id.
func (p *runner) group(id string) string {
	for _, c := range p.requests {
		if c.id == id && !c.withoutID {
			return c.group
		}
	}
	return "one"
}

// joinOrNothing joins the parts of an outcome line.
func joinOrNothing(parts []string) string {
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// fold replaces equal lines by one line with a count, in the place of the first.
func fold(lines []string) (out []string) {
	count := map[string]int{}
	for _, line := range lines {
		if count[line]++; count[line] == 1 {
			out = append(out, line)
		}
	}
	for i, line := range out {
		if n := count[line]; n > 1 {
			name, remainder, _ := strings.Cut(line, " ")
			out[i] = strings.TrimSpace(fmt.Sprintf("%s*%d %s", name, n, remainder))
		}
	}
	return out
}
