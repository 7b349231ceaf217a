.PHONY: build test lint run sites soak

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/... ./examples/...

test:
	.ci/run

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && go tool staticcheck -checks all ./...

# Plays seeds of the soak beyond those of the tests, from FIRST on
SEEDS ?= 50
FIRST ?= 1
soak:
	go test ./cmd/gateway -count=1 -timeout 60m -run 'TestSoak$$' -v -soak.seeds=$(SEEDS) -soak.first=$(FIRST) | grep -v 'level='

# Runs a gateway among fake backends on this machine; ask it with: bin/fakebackends ask KEY
run: build
	bin/fakebackends & backends=$$!; trap 'kill $$backends' EXIT INT TERM; RELAY_CONFIG=examples/gateway.json bin/gateway

# Copies the files that the benches need beside our own deployments from the users' kit
KIT ?= ../given/kit
sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
