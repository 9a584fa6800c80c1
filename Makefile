# The demo takes DEPLOYMENT=bygdens (the default) or DEPLOYMENT=hanbit.
.PHONY: build test race demo lint format fuzz

LINT_VERSION := v2.12.2

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

demo: build
	./scripts/demo.sh

bin/golangci-lint:
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: bin/golangci-lint
	bin/golangci-lint run ./...

format: bin/golangci-lint
	bin/golangci-lint fmt --diff ./...
