package loadgen

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// TraceSource is a recorded trace to replay. Its file name ends in .csv or .jsonl; see WriteTrace for the formats.
type TraceSource struct {
	File   string  `json:"file"`
	Speed  float64 `json:"speed,omitempty"`   // replay speed; 2 takes half the recorded time; 0 = 1
	Repeat int     `json:"repeat,omitempty"`  // number of times the trace is replayed; 0 = 1
	EveryS float64 `json:"every_s,omitempty"` // recorded seconds between starts; 0 = the trace's length plus its mean gap
}

// traceHeader is the first line of a CSV trace, and lists the keys of each line of a JSON Lines trace.
const traceHeader = "at_s,class,tenant,method,path,size,key"

// traceRecord is a line of a trace.
type traceRecord struct {
	At     json.Number `json:"at_s"`
	Class  string      `json:"class"`
	Tenant string      `json:"tenant"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Size   int         `json:"size"`
	Key    string      `json:"key"`
}

// WriteTrace writes requests as a trace with one request per line: in CSV, with the header
// at_s,class,tenant,method,path,size,key, or in JSON Lines with these keys. at_s is the time from the start in seconds
// with nine decimals, size the length of the body in bytes. A trace that is read and written again is byte-identical.
func WriteTrace(w io.Writer, form string, requests iter.Seq2[Request, error]) error {
	out := bufio.NewWriter(w)
	line, err := lineWriter(out, form)
	if err != nil {
		return err
	}
	for q, err := range requests {
		if err != nil {
			return err
		}
		at := fmt.Sprintf("%d.%09d", q.At/time.Second, q.At%time.Second)
		if err := line(traceRecord{json.Number(at), q.Class, q.Tenant, q.Method, q.Path, q.Size, q.Key}); err != nil {
			return err
		}
	}
	return out.Flush()
}

// TraceFormat returns the format of a trace by its file name: ".csv" or ".jsonl".
func TraceFormat(name string) (string, error) {
	form := filepath.Ext(name)
	if form != ".csv" && form != ".jsonl" {
		return "", fmt.Errorf("%s: a trace is .csv or .jsonl; rename it", name)
	}
	return form, nil
}

func lineWriter(out *bufio.Writer, form string) (func(traceRecord) error, error) {
	if form == ".jsonl" {
		e := json.NewEncoder(out)
		e.SetEscapeHTML(false)
		return func(r traceRecord) error { return e.Encode(r) }, nil
	}
	c := csv.NewWriter(out)
	if err := c.Write(strings.Split(traceHeader, ",")); err != nil {
		return nil, err
	}
	return func(r traceRecord) error {
		err := c.Write([]string{r.At.String(), r.Class, r.Tenant, r.Method, r.Path, strconv.Itoa(r.Size), r.Key})
		c.Flush()
		return errors.Join(err, c.Error())
	}, nil
}

// check reads the trace to its end, so that no part of an invalid trace is replayed, and sets the defaults.
func (t *TraceSource) check(p *Plan) error {
	setDefault(&t.Speed, 1)
	setDefault(&t.Repeat, 1)
	if _, err := TraceFormat(t.File); err != nil {
		return fmt.Errorf("trace.file: %w", err)
	}
	if !(t.Speed > 0 && t.Speed <= 1e6) || t.Repeat < 1 || !(t.EveryS >= 0 && t.EveryS <= maxOffset.Seconds()) {
		return fmt.Errorf("trace: speed %v, repeat %d, every_s %v; want a speed above 0, 1 time or more, and 0 or "+
			"more seconds", t.Speed, t.Repeat, t.EveryS)
	}
	n, last := 0, time.Duration(0)
	for q, err := range t.readOnce(p) {
		if err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		n, last = n+1, q.At
	}
	if t.EveryS == 0 && n > 1 {
		t.EveryS = (last + last/time.Duration(n-1)).Seconds()
	}
	if t.Repeat > 1 && t.interval() <= last {
		return fmt.Errorf("trace.every_s: %v; the trace is %v s long, so its repetitions would overlap: raise it", t.EveryS,
			last.Seconds())
	}
	return nil
}

func (t *TraceSource) interval() time.Duration { return time.Duration(t.EveryS * float64(time.Second)) }

// requests returns the trace's requests, repeated and scaled in time as configured.
func (t *TraceSource) requests(p *Plan) iter.Seq2[Request, error] {
	return func(yield func(Request, error) bool) {
		for i := range t.Repeat {
			for q, err := range t.readOnce(p) {
				q.At = time.Duration(float64(q.At+time.Duration(i)*t.interval()) / t.Speed)
				if p.ForS > 0 && q.At.Seconds() >= p.ForS {
					return
				}
				if !yield(q, err) || err != nil {
					return
				}
			}
		}
	}
}

// readOnce reads the trace from its file once, at its recorded times.
func (t *TraceSource) readOnce(p *Plan) iter.Seq2[Request, error] {
	return func(yield func(Request, error) bool) {
		f, err := os.Open(t.File)
		if err != nil {
			yield(Request{}, err)
			return
		}
		defer f.Close()
		number, last := 0, time.Duration(0)
		for line, err := range completeLines(f) {
			number++
			if err == nil && number == 1 && strings.HasSuffix(t.File, ".csv") {
				if string(line) != traceHeader+"\n" {
					yield(Request{}, fmt.Errorf("%s:1: %.80q; want %s", t.File, line, traceHeader))
					return
				}
				continue
			}
			var q Request
			if err == nil {
				q, err = t.parse(p, line)
			}
			if err == nil && q.At < last {
				err = fmt.Errorf("%v s follows %v s; sort the trace by time", q.At.Seconds(), last.Seconds())
			}
			if last = q.At; err != nil {
				err = fmt.Errorf("%s:%d: %w", t.File, number, err)
			}
			if !yield(q, err) || err != nil {
				return
			}
		}
	}
}

// completeLines returns lines with their line feeds. A last line without a line feed is an error, and
// so is a line of more than 64 KB.
func completeLines(r io.Reader) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		br := bufio.NewReaderSize(r, 64<<10)
		for {
			line, err := br.ReadSlice('\n')
			switch {
			case errors.Is(err, io.EOF) && len(line) == 0:
				return
			case errors.Is(err, io.EOF):
				err = errors.New("the line has no line feed, so the trace seems to be truncated; remove the rest of it")
			case errors.Is(err, bufio.ErrBufferFull):
				err = errors.New("the line is longer than 64 KB; shorten it")
			}
			if !yield(line, err) || err != nil {
				return
			}
		}
	}
}

// parse converts a line into a request.
func (t *TraceSource) parse(p *Plan, line []byte) (Request, error) {
	read := parseCSV
	if strings.HasSuffix(t.File, ".jsonl") {
		read = parseJSON
	}
	rec, err := read(line)
	if err != nil {
		return Request{}, err
	}
	at, err := seconds(rec.At.String())
	if err != nil {
		return Request{}, err
	}
	i := p.classIndex(rec.Class)
	if i < 0 {
		return Request{}, fmt.Errorf("class: %q is not in the plan; add it to classes", rec.Class)
	}
	if rec.Tenant != "" {
		if err := p.checkTenant(rec.Tenant); err != nil {
			return Request{}, fmt.Errorf("tenant: %w", err)
		}
	}
	setDefault(&rec.Method, p.Classes[i].Method)
	if rec.Path == "" {
		rec.Path = p.Classes[i].pathOf(rec.Key)
	}
	q := Request{
		At: at, Class: rec.Class, Tenant: rec.Tenant, Method: rec.Method, Path: rec.Path, Size: rec.Size,
		Key: rec.Key, class: i,
	}
	return q, checkMessage("request", q.Method, q.Path, q.Size)
}

func parseCSV(line []byte) (r traceRecord, err error) {
	c := csv.NewReader(bytes.NewReader(line))
	c.FieldsPerRecord = strings.Count(traceHeader, ",") + 1
	f, err := c.Read()
	if err != nil {
		if errors.Is(err, csv.ErrFieldCount) {
			return r, fmt.Errorf("%d fields; want %d: %s", len(f), c.FieldsPerRecord, traceHeader)
		}
		return r, fmt.Errorf("invalid CSV (%w); want %s", err, traceHeader)
	}
	size, err := strconv.Atoi(f[5])
	if err != nil {
		return r, fmt.Errorf("size: %q; want a whole number of bytes", f[5])
	}
	return traceRecord{json.Number(f[0]), f[1], f[2], f[3], f[4], size, f[6]}, nil
}

func parseJSON(line []byte) (r traceRecord, err error) {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return r, fmt.Errorf("%w; want an object with some of %s", err, traceHeader)
	}
	return r, nil
}

const maxOffset = 1e6 * time.Second // more than a week; results have a row for each second

// seconds parses a decimal number of seconds with nanosecond precision.
func seconds(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text + "s")
	if err != nil || strings.Trim(text, "0123456789.") != "" || d > maxOffset {
		return 0, fmt.Errorf("at_s: %q; want seconds from the start, such as 12.5", text)
	}
	return d, nil
}
