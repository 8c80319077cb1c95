package admin

import (
	"errors"
	"net/url"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"plankrouter/internal/cordon"
	"plankrouter/internal/http1"
)

// The operators' paths.
const (
	pathReady   = "/ready"
	pathMetrics = "/metrics"
	pathDisable = "/tile-servers/disable"
	pathEnable  = "/tile-servers/enable"
)

// answer carries out a request.
func (s *Server) answer(req *http1.Request) http1.Response {
	target := req.Target
	if u, err := url.Parse(target); err == nil && u.Host != "" { // the absolute form
		target = u.RequestURI()
	}
	path, query, _ := strings.Cut(target, "?")
	var answer func() http1.Response
	method := "GET"
	switch path {
	case pathReady:
		answer = s.answerReady
	case pathMetrics:
		answer = s.answerMetrics
	case pathDisable:
		method = "PUT"
		answer = func() http1.Response { return changeServer(query, s.operations.Cordon) }
	case pathEnable:
		method = "PUT"
		answer = func() http1.Response { return changeServer(query, s.operations.Uncordon) }
	default:
		return textResponse(404, "unknown path; there are /ready, /metrics, /tile-servers/disable and /tile-servers/enable")
	}
	if req.Method != method {
		resp := textResponse(405, path+" takes "+method)
		resp.Header = append(resp.Header, http1.Field{Name: "Allow", Value: method})
		return resp
	}
	return answer()
}

func (s *Server) answerReady() http1.Response {
	if !s.operations.Ready() {
		return textResponse(503, "not ready")
	}
	return textResponse(200, "ready")
}

func (s *Server) answerMetrics() http1.Response {
	body, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(s.operations.Metrics())
	if err != nil {
		return textResponse(500, err.Error())
	}
	return http1.Response{Status: 200, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}, Body: body}
}

// changeServer cordons or uncordons the server that the query names.
func changeServer(query string, change func(id string) error) http1.Response {
	values, err := url.ParseQuery(query)
	if err != nil {
		return textResponse(400, "query: "+err.Error())
	}
	ids := values["target"]
	if len(ids) != 1 || ids[0] == "" {
		return textResponse(400, "target: give the id of one tile server, as ?target=ID")
	}
	switch err := change(ids[0]); {
	case errors.Is(err, cordon.ErrUnknownServer):
		return textResponse(404, "target: no such tile server is listed")
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
