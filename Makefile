.PHONY: build test lint run sites

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/... ./examples/...

test:
	.ci/run

lint:
	test -z "$$(gofmt -l .)" && go vet ./...

# A gateway among stand-ins on this machine; ask it with: bin/toy ask KEY
run: build
	bin/toy & toy=$$!; trap 'kill $$toy' EXIT INT TERM; RELAY_CONFIG=examples/gateway.json bin/laurelring

# What must lie beside our own deployments for the benches, from the users' kit
KIT ?= ../given/kit
sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
