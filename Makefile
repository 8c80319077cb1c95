.PHONY: build test lint run fuzz

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

# The GW_ variables say what to run as: see README.md.
run: build
	exec bin/plankrouter

fuzz:
	go test -run '^$$' -fuzz FuzzRequest -fuzztime 30s ./internal/http1
	go test -run '^$$' -fuzz FuzzResponse -fuzztime 30s ./internal/http1
