package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/testbench/fakes"
)

func manyEndpoints(n int) (all []fakes.Endpoint) {
	for i := range n {
		all = append(all, fakes.Endpoint{
			ID: fmt.Sprintf("s-%0*x", 8+i%40, i), Address: fmt.Sprintf("10.1.%d.%d:3000", i/250, i%250),
			Locality: strings.Repeat("z", 1+i%30), Phase: fakes.Serving, UpSince: 1_790_000_000_000 + int64(i),
		})
	}
	return all
}

// A list or set of changes of any size and in any encoding is used, and a drain in its last entry is known within 100 ms.
func TestListsOfAnySize(t *testing.T) {
	for _, n := range []int{1, 200, 350, 1024, 2000} {
		for encoding := range 8 {
			indented, chunked, complete := encoding&1 > 0, encoding&2 > 0, encoding&4 > 0
			t.Run(fmt.Sprintf("%d indented %t chunked %t complete %t", n, indented, chunked, complete), func(t *testing.T) {
				withWatch(t, 0, func(r *fixture) {
					r.source.SetEncoding(indented, chunked)
					r.source.CompleteForWatch(complete)
					all := manyEndpoints(n)
					r.source.Set(all...)
					defer r.run()()
					r.wait(100 * time.Millisecond)
					for i := range all {
						all[i].Phase = fakes.Draining
					}
					r.source.Change(all...)
					r.wait(100 * time.Millisecond)
					if len(r.phases) != n || r.phases[all[n-1].ID] != fakes.Draining || r.watch.Failures.Load() > 0 {
						t.Errorf("%d listed, the last as %q: %.200q", len(r.phases), r.phases[all[n-1].ID], r.logged)
					}
				})
			})
		}
	}
}

// A list longer than the limit is not used, is logged with the limit, and is polled for with the backoff of failed polls.
func TestListTooLong(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		withWatch(t, 0, func(r *fixture) {
			r.watch.options.MaxListBytes = 200_000
			r.source.SetEncoding(true, chunked)
			defer r.run()()
			r.wait(100 * time.Millisecond)
			r.source.CompleteForWatch(true)
			r.source.Set(manyEndpoints(2000)...)
			r.wait(10 * time.Second)
			if logged := strings.Join(r.logged, "\n"); len(r.phases) != 2 || !strings.Contains(logged, "list too long") ||
				!strings.Contains(logged, "200000 ") {
				t.Errorf("chunked %t: %d listed: %.300q", chunked, len(r.phases), logged)
			}
			if n := r.watch.Failures.Load(); n < 4 || n > 20 {
				t.Errorf("chunked %t: %d polls failed in 10 s", chunked, n)
			}
			r.source.Set(manyEndpoints(20)...)
			r.wait(4 * time.Second)
			if len(r.phases) != 20 {
				t.Errorf("chunked %t: then %d are listed", chunked, len(r.phases))
			}
		})
	}
}

func TestParse(t *testing.T) {
	for _, c := range []struct{ raw, want, problems, err string }{
		{`{"revision":3,"complete":true,"members":[]}`, "3 true", "", ""},
		{`{"revision":3,"complete":true}`, "", "", "members: missing"},
		{`{"revision":3,"complete":true,"members":[{"id":"a","host_port":"a:1","phase":"SERVING"}`, "", "", "Members"},
		{`{"revision":3,"complete":true,"members":[]}{`, "", "", "left"},
		{`{"revision":"x","complete":true,"members":[{"id":"a","host_port":"a:1","phase":"SERVING"}]}`, "", "", "Revision"},
		{`{"revision":4,"members":[{"id":"a","host_port":"a:1","phase":"SERVING"},{"id":7},{"id":"b","host_port":"b","phase":"SERVING"},
			{"id":"c","phase":"DRAINING"}]}`, "4 false a=SERVING c=DRAINING", "members[1]: ID members[2]: host_port", ""},
		{
			`{"revision":4,"members":[{"id":"a","phase":"DRAINING"},{"id":"a","host_port":"a:1","phase":"SERVING"}]}`,
			"4 false a=DRAINING", `"a" is DRAINING and SERVING`, "",
		},
		{
			`{"revision":4,"members":[{"id":"a","host_port":"a:1","phase":"SERVING"},{"id":"a","phase":"DRAINING"}]}`,
			"4 false a=DRAINING", `"a" is SERVING and DRAINING`, "",
		},
		{
			`{"revision":4,"members":[{"id":"a","phase":"DELETED"},{"id":"a","host_port":"a:1","phase":"SERVING","up_since_ms":9}]}`,
			"4 false a=SERVING", "", "",
		},
		{`{"revision":4,"members":[{"id":"a","phase":"DELETED"},{"id":"a","phase":"DELETED"}]}`, "4 false a=DELETED", "", ""},
	} {
		list, problems, err := parse([]byte(c.raw))
		got := fmt.Sprint(list.Revision, list.Complete)
		for _, m := range list.Endpoints {
			got += fmt.Sprintf(" %s=%s", m.ID, m.Phase)
		}
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) || err == nil && got != c.want {
			t.Errorf("%s: %s and %v, want %s and %q", c.raw, got, err, c.want, c.err)
		}
		for _, word := range strings.Fields(c.problems) {
			if text := fmt.Sprint(problems); !strings.Contains(text, word) {
				t.Errorf("%s: problems %s, want %s", c.raw, text, c.problems)
			}
		}
		if c.problems == "" && problems != nil {
			t.Errorf("%s: problems %s", c.raw, problems)
		}
	}
}
