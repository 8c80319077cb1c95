package discovery

import (
	"errors"
	"fmt"
	"io"

	jsoniter "github.com/json-iterator/go"

	"plankrouter/internal/endpoints"
	"plankrouter/internal/http1"
)

const (
	maxEntryBytes = 4 << 10              // bytes of an indented list entry with the longest names; usual entries take 150 to 400
	minListBytes  = 1100 * maxEntryBytes // smallest result of MaxListBytes, whatever the memory
	memoryDivisor = 8                    // a response may take 1/memoryDivisor of the memory, besides the old and the new list
)

var (
	codec      = jsoniter.ConfigCompatibleWithStandardLibrary
	errTooLong = errors.New("list too long")
)

// MaxListBytes returns the maximum size of a response that a process with the given memory limit accepts. Both are in bytes; a
// memory limit of 0 means unknown.
func MaxListBytes(memory int64) int64 { return max(minListBytes, memory/memoryDivisor) }

// readBody returns the whole body of a response, or an error if it is longer than maxBytes.
func readBody(r *http1.Response, maxBytes int64) ([]byte, error) {
	if r.Rest == nil {
		return nil, nil
	}
	if n := r.Rest.Length(); n > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are accepted", errTooLong, n, maxBytes)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Rest, maxBytes+1))
	if err == nil && int64(len(raw)) > maxBytes {
		err = fmt.Errorf("%w: more than the %d bytes that are accepted", errTooLong, maxBytes)
	}
	return raw, err
}

// parse decodes the body of a response. It returns the list and, as problems, the invalid entries that it skipped and the
// entries that contradict each other. A truncated or malformed body is an error.
func parse(raw []byte) (list endpoints.List, problems []error, err error) {
	if err = codec.Unmarshal(raw, &list); err == nil {
		problems = list.RemoveInvalid()
	} else {
		entries, entryProblems, err := parseEntries(raw)
		if err != nil {
			return list, nil, err
		}
		list = entries
		problems = entryProblems
	}
	if list.Complete && list.Endpoints == nil {
		return list, nil, errors.New("members: missing from a complete list")
	}
	return list, append(problems, list.Normalize()...), nil
}

// parseEntries decodes the body of a response entry by entry and skips the invalid ones, each of which is returned as a problem.
func parseEntries(raw []byte) (list endpoints.List, problems []error, err error) {
	var undecoded struct {
		endpoints.List
		Members []jsoniter.RawMessage `json:"members"`
	}
	if err = codec.Unmarshal(raw, &undecoded); err != nil {
		return list, nil, err
	}
	list = endpoints.List{Revision: undecoded.Revision, Complete: undecoded.Complete, Endpoints: []endpoints.Endpoint{}}
	for i, entry := range undecoded.Members {
		var endpoint endpoints.Endpoint
		err := codec.Unmarshal(entry, &endpoint)
		if err == nil {
			err = endpoint.Check()
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("members[%d]: %w", i, err))
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, problems, nil
}
