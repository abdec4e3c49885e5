VENV ?= .venv
BIN = $(VENV)/bin
RUN_LOG ?= build/gladedrumd.log

.PHONY: run serve test lint thrift docs bench soak clean

run: $(VENV)/installed  ## Start a box on embedded stand-ins and serve a short and a long prompt at once.
	@mkdir -p build
	@$(BIN)/gladedrumd --config examples/embedded.ini >$(RUN_LOG) 2>&1 & box=$$!; \
	$(BIN)/gladedrumctl status --wait 20 && $(BIN)/gladedrumctl try; code=$$?; \
	kill -TERM $$box; wait $$box; \
	echo "The box has stopped; its log is $(RUN_LOG). To keep one running: make serve"; exit $$code

serve: $(VENV)/installed  ## Keep a box on embedded stand-ins running, for your own clients.
	$(BIN)/gladedrumd --config examples/embedded.ini

test: $(VENV)/installed  ## Run all tests.
	$(BIN)/python -m pytest
	$(BIN)/python -m behave --format progress features

lint: $(VENV)/installed  ## Check format and lint.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

thrift:  ## Make the code for calls between boxes; needs the thrift compiler 0.17.
	mkdir -p build && thrift --gen py:twisted,slots -o build gladedrum/peers/peer.thrift
	thrift --gen py:twisted,slots -o build gladedrum/gossip/work.thrift
	cp build/gen-py.twisted/gladedrum/peers/wire/*.py gladedrum/peers/wire/
	cp build/gen-py.twisted/gladedrum/gossip/wire/*.py gladedrum/gossip/wire/

docs: $(VENV)/installed  ## Make the pages that are made from the code.
	$(BIN)/gladedrumctl settings reference > docs/operators/settings.md
	$(BIN)/gladedrumctl settings sample > examples/sample.ini

$(VENV)/installed: pyproject.toml requirements.lock
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps -e .
	touch $@

bench: $(VENV)/installed  ## Measure everything that a page quotes; takes about a quarter of an hour.
	$(BIN)/python -m benchmarks.box_overhead
	$(BIN)/python -m benchmarks.capacity_roles
	$(BIN)/python -m benchmarks.capacity_idle
	$(BIN)/python -m benchmarks.policies
	$(BIN)/python -m benchmarks.capacity_page
	$(BIN)/python -m benchmarks.policies_page

soak: $(VENV)/installed  ## Play random faults against real processes: SEEDS fresh seeds, SOAK="--seed N ..." for more.
	$(BIN)/python -m soak --seeds $(or $(SEEDS),5) $(SOAK)

clean:
	rm -rf build $(VENV)
