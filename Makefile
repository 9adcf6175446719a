# The front door of the project. Every target works from a fresh clone with
# only a Go toolchain and access to the module proxy.

GO       ?= go
TOOL     := $(GO) tool -modfile=tools/go.mod
PACKAGES := ./...

.PHONY: all build test unit race fmt fmt-check lint vet demo bench experiment soak scale clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# test runs everything CI runs, except for the formatter and linter.
test: build
	$(GO) test -race -count=1 $(PACKAGES)

fmt:
	$(TOOL) gofumpt -w cmd internal pkg test

fmt-check:
	@out="$$($(TOOL) gofumpt -l cmd internal pkg test)"; \
	if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi

lint:
	$(TOOL) revive -config revive.toml -set_exit_status $(PACKAGES)

vet:
	$(GO) vet $(PACKAGES)

# demo brings up the whole path on loopback and sends real requests.
demo: build
	./bin/standin demo -binary ./bin/filbertusher

bench: build
	./bin/standin bench -binary ./bin/filbertusher

clean:
	rm -rf bin out
