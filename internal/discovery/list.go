package discovery

import (
	"errors"
	"fmt"
	"io"
	"plankrouter/internal/endpoints"
	"plankrouter/internal/http1"

	jsoniter "github.com/json-iterator/go"
)

const (
	maxLineBytes  = 4 << 10             // of a line of the list, indented and with the longest names: what is usual takes 150 to 400 bytes
	minListBytes  = 1100 * maxLineBytes // of an answer, where less memory, or none, is told
	memoryDivisor = 8                   // of the memory: one in so many may go into an answer, beside the list in force and the new one
)

var (
	codec      = jsoniter.ConfigCompatibleWithStandardLibrary
	errTooLong = errors.New("list too long")
)

// MaxListBytes is the longest answer, in bytes, that a process takes which may use so much memory.
func MaxListBytes(memory int64) int64 { return max(minListBytes, memory/memoryDivisor) }

// readBody reads the whole of an answer, in a buffer that grows by need and is nobody's afterwards.
func readBody(r *http1.Response, most int64) ([]byte, error) {
	if r.Rest == nil {
		return nil, nil
	}
	if n := r.Rest.Length(); n > most {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are taken", errTooLong, n, most)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Rest, most+1))
	if err == nil && int64(len(raw)) > most {
		err = fmt.Errorf("%w: over the %d bytes that are taken", errTooLong, most)
	}
	return raw, err
}

// parse reads what the directory answered, and the faults of the lines that it left out or settled. An answer that is cut off or
// malformed tells nothing; of one that is not, a line that can't be read does not hide the others.
func parse(raw []byte) (l endpoints.List, faults []error, err error) {
	if err = codec.Unmarshal(raw, &l); err == nil {
		faults = l.RemoveInvalid()
	} else {
		var loose struct {
			endpoints.List
			Members []jsoniter.RawMessage `json:"members"`
		}
		if err = codec.Unmarshal(raw, &loose); err != nil {
			return l, nil, err
		}
		l = endpoints.List{Revision: loose.Revision, Complete: loose.Complete, Endpoints: []endpoints.Endpoint{}}
		for i, line := range loose.Members {
			var m endpoints.Endpoint
			err := codec.Unmarshal(line, &m)
			if err == nil {
				err = m.Check()
			}
			if err != nil {
				faults = append(faults, fmt.Errorf("members[%d]: %w", i, err))
				continue
			}
			l.Endpoints = append(l.Endpoints, m)
		}
	}
	if l.Complete && l.Endpoints == nil {
		return l, nil, errors.New("members: missing from a whole list")
	}
	return l, append(faults, l.Normalize()...), nil
}
