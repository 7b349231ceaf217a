.PHONY: build test lint run sites soak

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/... ./examples/...

test:
	.ci/run

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && go tool staticcheck -checks all ./...

# Plays seeds of the soak beyond those of the tests, from FIRST on, beside LOAD processes that play fleet tests with the race
# detector until it is over
SEEDS ?= 50
FIRST ?= 1
LOAD ?= 0
soak:
	mkdir -p bin && go test -c -o bin/soak.test ./cmd/gateway
	[ $(LOAD) = 0 ] || go test -race -c -o bin/load.test ./cmd/gateway
	cd cmd/gateway && loads=; trap 'kill $$loads 2>/dev/null' EXIT INT TERM; \
	for i in $$(seq $(LOAD)); do ../../bin/load.test -test.run 'TestNoAttemptTo' -test.count=1000 >/dev/null 2>&1 & loads="$$loads $$!"; done; \
	../../bin/soak.test -test.timeout 60m -test.run 'TestSoak$$' -test.v -soak.seeds=$(SEEDS) -soak.first=$(FIRST) | grep -v 'level='

# Runs a gateway among fake backends on this machine; ask it with: bin/fakebackends ask KEY
run: build
	bin/fakebackends & backends=$$!; trap 'kill $$backends' EXIT INT TERM; RELAY_CONFIG=examples/gateway.json bin/gateway

# Copies the files that the benches need beside our own deployments from the users' kit
KIT ?= ../given/kit
sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
