# The demo takes DEPLOYMENT=bygdens (the default) or DEPLOYMENT=hanbit.
.PHONY: build test race demo soak lint format fuzz

LINT_VERSION := v2.12.2
GOPLS_VERSION := v0.23.0

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

demo: build
	./scripts/demo.sh

# The soak takes SECONDS (of each run) and SEEDS, one after the other.
SECONDS ?= 40
SEEDS ?= 1
soak: build
	set -e; for seed in $(SEEDS); do ./scripts/soak.sh $(SECONDS) $$seed; done

bin/golangci-lint:
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

bin/gopls:
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: bin/golangci-lint
	bin/golangci-lint run ./...

format: bin/golangci-lint
	bin/golangci-lint fmt --diff ./...
