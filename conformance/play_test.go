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

// call is a request under way.
type call struct {
	request
	group  string // the name that the script gave it, alone or with others
	cancel context.CancelFunc
	ended  chan struct{}
	out    outcome
}

func (c *call) over() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// player plays a scenario against one side.
type player struct {
	ctx         context.Context
	scenario    *scenario
	side        driver
	network     fakes.Network
	settings    settings
	servers     map[string]*scriptedServer
	order       []string // of the servers, as in the file
	sharedDeeds *queue
	endpoints   map[string]fakes.Endpoint // as they were last listed, by id
	calls       []*call
	running     sync.WaitGroup
	closed      bool
	findings    []string // what the steps found out, for the outcome
}

func newPlayer(ctx context.Context, s *scenario, side driver, n fakes.Network, dir string) *player {
	ms := time.Millisecond
	return &player{
		ctx: ctx, scenario: s, side: side, network: n, servers: map[string]*scriptedServer{}, sharedDeeds: new(queue),
		endpoints: map[string]fakes.Endpoint{}, settings: settings{
			dir: dir, maxAttempts: 3, connections: 512, connect: time.Minute,
			connIdle: time.Minute, drainGrace: 750 * ms, maxRetryAfter: 1200 * ms,
		},
	}
}

// play plays all steps, ends the side and returns the outcome in the words of the file.
func (p *player) play() (lines []string, err error) {
	defer func() {
		for _, c := range p.calls {
			c.cancel()
		}
		if err != nil {
			p.side.Kill()
		}
		for _, one := range p.servers {
			one.close()
		}
		if p.settings.discovery != nil {
			p.settings.discovery.Close()
		}
		p.running.Wait()
	}()
	for _, words := range p.scenario.setup {
		if err := p.applySetup(words); err != nil {
			return nil, fmt.Errorf("%s: %w", strings.Join(words, " "), err)
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
		if err := p.step(s.words); err != nil {
			return nil, fmt.Errorf("line %d: %s: %w", s.line, strings.Join(s.words, " "), err)
		}
	}
	if err := p.await("", 0); err != nil {
		return nil, err
	}
	if !p.closed {
		if err := errors.Join(p.side.Stop(true), p.side.Wait()); err != nil {
			return nil, fmt.Errorf("end: %w", err)
		}
	}
	for _, one := range p.servers {
		one.close()
	}
	return p.outcome()
}

// applySetup takes a line that says what there is before the first step.
func (p *player) applySetup(words []string) error {
	plain, o := splitOptions(words)
	switch plain[0] {
	case "provider":
		name := plain[1]
		one := newScriptedServer(p.network, name, p.sharedDeeds)
		p.servers[name] = one
		p.order = append(p.order, name)
		if err := one.up(slices.Contains(plain, "narrow")); err != nil {
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
			one.down()
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

// duration reads an option that is one, if it is given.
func duration(o options, key string, to *time.Duration) (err error) {
	if v := o.get(key); v != "" {
		*to, err = time.ParseDuration(v)
	}
	return err
}

func (p *player) applySettings(o options) error {
	s := &p.settings
	errs := []error{
		duration(o, "connect", &s.connect), duration(o, "idle", &s.connIdle),
		duration(o, "grace", &s.drainGrace), duration(o, "advice", &s.maxRetryAfter),
	}
	for _, one := range o {
		var err error
		switch one.key {
		case "connect", "idle", "grace", "advice":
		case "probes":
			s.probes = one.value == "yes"
		case "fed":
			s.endpointSource = one.value
		case "attempts":
			s.maxAttempts, err = strconv.Atoi(one.value)
		case "sockets":
			s.connections, err = strconv.Atoi(one.value)
		case "over":
			s.overQuotaWeight, err = strconv.ParseFloat(one.value, 64)
		case "cold":
			s.slowStart = plankrouter.SlowStart{WarmUpTime: time.Hour, OverloadMultiple: 4, OverloadWindow: 3 * time.Second}
			s.slowStart.StartCapacity, err = strconv.ParseFloat(one.value, 64)
		default:
			err = fmt.Errorf("there is no setting %q", one.key)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// endpoint words a server for the list: it serves, and has for long or for the time that since says.
func (p *player) endpoint(id, at string, o options) (m fakes.Endpoint, err error) {
	one := p.servers[at]
	if one == nil {
		return m, fmt.Errorf("there is no provider %q", at)
	}
	m = fakes.Endpoint{ID: id, Address: one.address, Locality: fakes.LocalZone, Phase: fakes.Serving}
	var age time.Duration
	if o.get("since") != "" {
		err = duration(o, "since", &age)
		m.UpSince = time.Now().Add(-age).UnixMilli()
	}
	return m, err
}

// minWords is how many words a line has at least, by its first one, or by that of what a server does.
var minWords = map[string]int{
	"any": 2, "tell": 3, "send": 3, "ask": 3, "ask-kept": 3, "cancel-half": 3, "cancel": 2,
	"await": 2, "elsewhere": 2, "taken": 2, "at-most": 4, "probes": 2, "sees": 2, "begins": 2, "loses": 2, "fresh": 2,
	"dialled": 2,
}

// step takes one line.
func (p *player) step(words []string) error {
	plain, o := splitOptions(words)
	if one := p.servers[plain[0]]; one != nil && len(plain) > 1 {
		return p.serverStep(one, plain[1:], words[1:])
	}
	if len(plain) < minWords[plain[0]] {
		return errors.New("there are words missing")
	}
	switch plain[0] {
	case "any":
		return p.anyServerStep(plain[1:], words[1:])
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
		return p.sendOnKept(plain[1:], o)
	case "cancel-half":
		return p.cancelHalf(plain[1:], o)
	case "cancel":
		for _, c := range p.callsNamed(plain[1]) {
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
		for _, one := range p.servers {
			if n := len(slices.DeleteFunc(one.seen(), func(s seenAttempt) bool { return s.id != plain[1] })); n != 1 {
				return fmt.Errorf("%s has seen it %d times", one.name, n)
			}
		}
		return nil
	case "taken":
		return p.until(func() bool {
			n, err := p.side.Taken()
			return err == nil && strconv.Itoa(n) == plain[1]
		})
	case "at-most":
		return p.boundAttempts(plain[1], plain[2], plain[3:])
	case "nothing-left":
		n := 0
		err := p.until(func() bool {
			n, _ = p.side.Left()
			return n <= 0
		})
		if err != nil {
			return fmt.Errorf("%d connections are left", n)
		}
		return nil
	case "closing":
		p.closed = true
		return p.side.Stop(false)
	case "close":
		p.closed = true
		return errors.Join(p.side.Stop(true), p.until(p.side.Closed))
	case "closed":
		return p.side.Wait()
	}
	return errors.New("there is no such step")
}

func (p *player) until(come func() bool) error { return await(p.ctx, come) }

// serverStep takes a line about one server.
func (p *player) serverStep(one *scriptedServer, plain, words []string) error {
	count := func(enough func(seenAttempt) bool) func() bool {
		want, err := strconv.Atoi(plain[len(plain)-1])
		return func() bool {
			n := 0
			for _, s := range one.seen() {
				if err == nil && enough(s) || s.id == plain[len(plain)-1] && enough(s) {
					n++
				}
			}
			return n >= max(1, want)
		}
	}
	switch strings.Join(plain[:min(2, len(plain))], " ") {
	case "lets go":
		return one.release(p.ctx, strings.Join(plain[2:], ""))
	case "closes kept", "resets kept":
		one.drop(plain[0] == "resets")
		return p.until(func() bool { return one.sockets(established) == 0 }) // what is sent now does not cross it
	}
	if len(plain) < minWords[plain[0]] {
		return errors.New("there are words missing")
	}
	switch plain[0] {
	case "does":
		return p.does(one.ownDeeds, words[1:])
	case "down":
		one.down()
		return p.until(func() bool { return one.sockets(established) == 0 })
	case "up":
		return one.up(false)
	case "hangs":
		return one.freeze(true)
	case "thaws":
		return one.freeze(false)
	case "probes":
		one.mu.Lock()
		defer one.mu.Unlock()
		one.probing, one.probes = plain[1], 0
		return nil
	case "probed": // since the line that says what becomes of probes
		return p.until(func() bool { return one.probeCount() > 0 })
	case "sees": // N, or the request of that name
		return p.until(count(func(s seenAttempt) bool { return s.action != "part" }))
	case "begins":
		return p.until(count(func(seenAttempt) bool { return true }))
	case "loses":
		return p.until(count(func(s seenAttempt) bool { return s.clientLeft }))
	case "fresh":
		for _, s := range one.seen() {
			if s.id == plain[1] && s.carried > 0 {
				return fmt.Errorf("it came on a connection that had carried %d others", s.carried)
			}
		}
		return nil
	case "unconnected":
		return p.until(func() bool { return one.sockets(established)+one.sockets(opening) == 0 })
	case "dialled":
		want, _ := strconv.Atoi(plain[1])
		return p.until(func() bool { return one.sockets(opening) >= want })
	}
	return errors.New("there is no such step of a provider")
}

// anyServerStep takes a line about whichever server it is.
func (p *player) anyServerStep(plain, words []string) error {
	switch plain[0] {
	case "does":
		return p.does(p.sharedDeeds, words[1:])
	case "sees":
		return p.until(func() bool {
			for _, one := range p.servers {
				if slices.ContainsFunc(one.seen(), func(s seenAttempt) bool { return s.id == plain[1] && s.action != "part" }) {
					return true
				}
			}
			return false
		})
	case "lets": // go
		for _, one := range p.servers {
			if one.release(p.ctx, "") == nil {
				return nil
			}
		}
	}
	return errors.New("there is no such step of any provider, or none holds anything")
}

// does reads a deed, which a word such as x3 repeats.
func (p *player) does(q *queue, words []string) error {
	times := 1
	if at := len(words) - 1; at >= 0 && strings.HasPrefix(words[at], "x") {
		if n, err := strconv.Atoi(words[at][1:]); err == nil {
			times, words = n, words[:at]
		}
	}
	q.add(readDeed(words), times)
	return nil
}

// changeEndpoint tells a change of one member: "ID serving|draining|gone [at PROVIDER] [since=AGE]".
func (p *player) changeEndpoint(plain []string, o options) error {
	id, at := plain[0], plain[0]
	if len(plain) > 3 {
		at = plain[3]
	}
	m := p.endpoints[id]
	var err error
	switch plain[1] {
	case "serving":
		if m, err = p.endpoint(id, at, o); err != nil {
			return err
		}
	case "draining":
		m.Phase = fakes.Draining
	case "gone":
		m.Phase = fakes.Deleted
	default:
		return errors.New("there is no such phase")
	}
	p.endpoints[id] = m
	return p.side.Update([]fakes.Endpoint{m}, false)
}

// replaceEndpoints makes the whole list: these ids, as they were last listed, and no others.
func (p *player) replaceEndpoints(ids []string) error {
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

// send sends one request, "NAME CLASS", or many together, "NAME*N CLASS".
func (p *player) send(plain []string, o options) error {
	name, many, isMany := strings.Cut(plain[0], "*")
	n := 1
	if isMany {
		var err error
		if n, err = strconv.Atoi(many); err != nil {
			return err
		}
	}
	r, err := p.request(name, plain[1], o)
	if err != nil {
		return err
	}
	r.cancelledEarly = slices.Contains(plain[2:], "early")
	for i := range n {
		c := &call{request: r, group: name, ended: make(chan struct{})}
		if isMany {
			c.id = fmt.Sprintf("%s.%d", name, i+1)
		}
		p.begin(c)
	}
	return nil
}

func (p *player) begin(c *call) {
	p.calls = append(p.calls, c)
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(p.ctx)
	p.running.Go(func() {
		defer close(c.ended)
		c.out = p.side.Do(ctx, &c.request)
	})
}

// request reads what is said of one; by default it is a GET, or a POST of a class that must not run twice, without a
// body.
func (p *player) request(name, class string, o options) (request, error) {
	r := request{id: name, class: class, method: "GET", target: "/" + class + "/" + name}
	if p.settings.isNonIdempotent(class) {
		r.method = "POST"
	}
	for _, one := range o {
		switch one.key {
		case "id":
			r.id, r.withoutID = one.value, one.value == ""
		case "method":
			r.method = one.value
		case "target":
			r.target = one.value
		case "tenant":
			r.tenant = one.value
		case "header":
			key, value, _ := strings.Cut(one.value, ": ")
			r.fields = append(r.fields, [2]string{key, value})
		case "body":
			r.body = parseBody(one.value)
		case "deadline":
			if r.deadlinePassed = one.value == "past"; r.deadlinePassed {
				r.deadline = time.Second
			} else if err := duration(o, "deadline", &r.deadline); err != nil {
				return r, err
			}
		default:
			return r, fmt.Errorf("a request has no %q", one.key)
		}
	}
	return r, nil
}

// callsNamed returns the calls of that name; "" = all.
func (p *player) callsNamed(name string) (all []*call) {
	for _, c := range p.calls {
		if name == "" || c.group == name {
			all = append(all, c)
		}
	}
	return all
}

// await waits until n of the calls of that name have ended; 0 = all.
func (p *player) await(name string, n int) error {
	all := p.callsNamed(name)
	if n == 0 {
		n = len(all)
	}
	return p.until(func() bool {
		over := 0
		for _, c := range all {
			if c.over() {
				over++
			}
		}
		return over >= n
	})
}

// sendOnKept asks until the request has gone out on a connection that had carried others. A side keeps a connection a
// moment after it has given the answer, and nobody can see when.
func (p *player) sendOnKept(plain []string, o options) error {
	return p.again(plain[0], func() error {
		return errors.Join(p.send(plain, o), p.await(plain[0], 0))
	}, func(s seenAttempt) bool { return s.carried > 0 })
}

// cancelHalf sends a request, has half of the answer sent and gives the request up then, until that is in time: an
// answer that has begun is not waited for for long.
func (p *player) cancelHalf(plain []string, o options) error {
	name := plain[0]
	return p.again(name, func() error {
		p.sharedDeeds.add(deed{name: "halve", hold: true}, 1)
		if err := errors.Join(p.send(plain, o), p.anyServerStep([]string{"sees", name}, nil)); err != nil {
			return err
		}
		err := p.anyServerStep([]string{"lets", "go"}, nil)
		for _, c := range p.callsNamed(name) {
			c.cancel()
		}
		return errors.Join(err, p.await(name, 0))
	}, func(seenAttempt) bool { return p.callsNamed(name)[0].out.kind == "cancelled" })
}

// again sends a request until an attempt was such as the scenario is about; what came of the others is forgotten.
func (p *player) again(name string, try func() error, such func(seenAttempt) bool) error {
	for range 1000 {
		if err := try(); err != nil {
			return err
		}
		for _, one := range p.servers {
			for _, s := range one.seen() {
				if s.id == name && such(s) {
					return nil
				}
			}
			one.forget(name)
		}
		p.calls = slices.DeleteFunc(p.calls, func(c *call) bool { return c.group == name })
	}
	return errors.New("it never came to that")
}

// boundAttempts bounds the attempts of all requests and says which outcomes those of one name may have: how many have which
// depends on who was quicker, so the counts are left out of the outcome.
func (p *player) boundAttempts(limit, name string, words []string) error {
	if err := p.await(name, 0); err != nil {
		return err
	}
	n := 0
	for _, one := range p.servers {
		n += len(one.seen())
	}
	if bound, err := strconv.Atoi(limit); err != nil || n > bound {
		return fmt.Errorf("there were %d attempts", n)
	}
	for _, c := range p.callsNamed(name) {
		if !slices.Contains(words, c.out.kind) {
			return fmt.Errorf("%s was %s", c.id, c.out)
		}
	}
	p.findings = append(p.findings, fmt.Sprintf("%s %s, in at most %s attempts", name, strings.Join(words, " or "), limit))
	return nil
}

// outcome words what became of the requests, what each server saw, and which orders have run.
func (p *player) outcome() (lines []string, err error) {
	var all, orders []string
	runs := map[string]int{}
	for _, name := range p.order {
		var saw []string
		for _, s := range p.servers[name].seen() {
			saw = append(saw, p.group(s.id)+" "+s.action)
			if s.ran && p.settings.isNonIdempotent(s.class) {
				orders = append(orders, p.group(s.id))
				if runs[s.id]++; runs[s.id] > 1 {
					err = errors.Join(err, fmt.Errorf("order %s has run %d times", s.id, runs[s.id]))
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

// outcomes words those of the requests, in the order in which they were sent; those of one name are counted.
func (p *player) outcomes() (lines []string) {
	done := map[string]bool{}
	for _, c := range p.calls {
		var group []string
		for _, one := range p.callsNamed(c.group) {
			group = append(group, one.group+" "+one.out.String())
		}
		if !done[c.group] {
			slices.Sort(group)
			lines = append(lines, fold(group)...)
		}
		done[c.group] = true
	}
	return lines
}

// group is the name by which the script knows a request's id.
func (p *player) group(id string) string {
	for _, c := range p.calls {
		if c.id == id && !c.withoutID {
			return c.group
		}
	}
	return "one"
}

func joinOrNothing(words []string) string {
	if len(words) == 0 {
		return "nothing"
	}
	return strings.Join(words, ", ")
}

// fold counts equal lines; each stands where it came first.
func fold(lines []string) (out []string) {
	count := map[string]int{}
	for _, line := range lines {
		if count[line]++; count[line] == 1 {
			out = append(out, line)
		}
	}
	for i, line := range out {
		if n := count[line]; n > 1 {
			name, rest, _ := strings.Cut(line, " ")
			out[i] = strings.TrimSpace(fmt.Sprintf("%s*%d %s", name, n, rest))
		}
	}
	return out
}
