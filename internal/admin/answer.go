package admin

import (
	"errors"
	"net/url"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"plankrouter/internal/cordon"
	"plankrouter/internal/http1"
)

// The paths that operators request.
const (
	pathReady   = "/ready"
	pathMetrics = "/metrics"
	pathDisable = "/tile-servers/disable"
	pathEnable  = "/tile-servers/enable"
)

// handle executes a request and returns the response.
func (s *Server) handle(req *http1.Request) http1.Response {
	target := req.Target
	if u, err := url.Parse(target); err == nil && u.Host != "" { // absolute-form request target
		target = u.RequestURI()
	}
	path, query, _ := strings.Cut(target, "?")
	var respond func() http1.Response
	method := "GET"
	switch path {
	case pathReady:
		respond = s.readyResponse
	case pathMetrics:
		respond = s.metricsResponse
	case pathDisable:
		method = "PUT"
		respond = func() http1.Response { return changeServer(query, s.operations.Cordon) }
	case pathEnable:
		method = "PUT"
		respond = func() http1.Response { return changeServer(query, s.operations.Uncordon) }
	default:
		return textResponse(404, "unknown path; the paths are /ready, /metrics, /tile-servers/disable and /tile-servers/enable")
	}
	if req.Method != method {
		resp := textResponse(405, path+" requires the method "+method)
		resp.Header = append(resp.Header, http1.Field{Name: "Allow", Value: method})
		return resp
	}
	return respond()
}

func (s *Server) readyResponse() http1.Response {
	if !s.operations.Ready() {
		return textResponse(503, "not ready")
	}
	return textResponse(200, "ready")
}

func (s *Server) metricsResponse() http1.Response {
	body, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(s.operations.Metrics())
	if err != nil {
		return textResponse(500, err.Error())
	}
	return http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}, Body: body}
}

// changeServer calls change, which cordons or uncordons a server, with the server id in the query's parameter target.
func changeServer(query string, change func(id string) error) http1.Response {
	values, err := url.ParseQuery(query)
	if err != nil {
		return textResponse(400, "query: "+err.Error())
	}
	ids := values["target"]
	if len(ids) != 1 || ids[0] == "" {
		return textResponse(400, "target: exactly one tile server id is required, as ?target=ID")
	}
	switch err := change(ids[0]); {
	case errors.Is(err, cordon.ErrUnknownServer):
		return textResponse(404, "target: tile server is neither listed nor cordoned")
	case err != nil:
		return textResponse(500, err.Error())
	}
	return textResponse(200, "done")
}

func textResponse(status int, text string) http1.Response {
	return http1.Response{
		Status: status, Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
		Body: []byte(text + "\n"),
	}
}
