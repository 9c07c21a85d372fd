# Programs and checks of balsamknot. The README names the two commands that a newcomer needs: run and test.

MODULES := fleet platform balsamknot entry standin load soak demo
BIN := $(CURDIR)/.bin
LINT_VERSION := v2.15.0
TOOLS_VERSION := v0.52.0
ARGS ?=

# The build line of deploy/system.toml, as the users' machines run it.
DEPLOY := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)

.PHONY: run test test-units test-scenarios build deploy names unused lint format generate events fleet measure bench fuzz soak

run: ## a small but complete site in one process; ARGS=--once sends a few requests and exits
	@go run ./demo $(ARGS)

test: test-units test-scenarios ## every test of every module

# The exhaustive search for a way to run a call twice needs 20 minutes of processor time. On a busy machine it exceeds the ten
# minutes after which go test aborts a test by default.
TEST_TIMEOUT := 40m

test-units: ## the tests of all modules but demo and soak
	go test -timeout $(TEST_TIMEOUT) ./fleet/... ./platform/... ./balsamknot/... ./entry/... ./standin/... ./load/...

test-scenarios: ## tests with sites of separate processes, which need an otherwise idle machine
	go test -timeout $(TEST_TIMEOUT) -parallel 3 ./demo/...
	go test -timeout $(TEST_TIMEOUT) ./soak/...

build: ## the programs, into .bin
	go build -o $(BIN)/ ./balsamknot ./standin ./load ./demo

deploy: ## the program for the users' machines, into target
	$(DEPLOY)

names: ## checks that no name of the users' platform is used outside platform/
	scripts/wire-names

unused: $(BIN)/deadcode ## fails if a function is called by no program and no test
	@unused=$$($(BIN)/deadcode -test $(MODULES:%=./%/...)) || exit 1; if [ -n "$$unused" ]; then echo "$$unused"; exit 1; fi

lint: $(BIN)/golangci-lint ## formatter and linter
	for m in $(MODULES); do (cd $$m && $(BIN)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

format: $(BIN)/golangci-lint
	for m in $(MODULES); do (cd $$m && $(BIN)/golangci-lint fmt --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

$(BIN)/golangci-lint:
	GOWORK=off GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(BIN)/deadcode:
	GOWORK=off GOBIN=$(BIN) go install golang.org/x/tools/cmd/deadcode@$(TOOLS_VERSION)

generate: ## the code of the protocol between nodes, from fleet/proto
	cd tools/gen && GOWORK=off go build -o $(BIN)/ tool
	cd fleet && PATH=$(BIN):$$PATH buf generate

events: ## docs/EVENTS.md from the catalogue
	go run ./balsamknot/event/catalogue > docs/EVENTS.md

fleet: build ## 8 nodes, 10 engines and 4 runners as separate processes, until interrupted
	scripts/fleet $(ARGS)

measure: build ## measures the figures in the table of docs/MEASURED.md, in under four minutes
	scripts/measure $(ARGS)

bench: ## the benchmarks whose results docs/CAPACITY.md uses
	go test -run '^$$' -bench . -benchmem $(MODULES:%=./%/...)

SEED ?= 1
MINUTES ?= 5

soak: ## random faults on entry hosts that run as processes; SEED=n MINUTES=m, each run takes the next seed
	go build -o $(BIN)/ ./entry ./soak
	$(BIN)/soak --seed $(SEED) --minutes $(MINUTES) --program $(BIN)/entry $(ARGS)

fuzz: ## each fuzz target with a limited number of inputs
	scripts/fuzz
