PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: test demo lint format prove soak measure bench capacity generate binary clean

$(VENV)/stamp: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

test: $(VENV)/stamp
	$(RUN) -m pytest -q

lint: $(VENV)/stamp
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/stamp
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: $(VENV)/stamp
	$(RUN) -m demo.cape_town

prove: $(VENV)/stamp
	$(RUN) -m tests.prove

soak: $(VENV)/stamp
	$(RUN) -m tests.soak --seeds 10

measure: $(VENV)/stamp
	$(RUN) -m benchmarks.measure

bench: $(VENV)/stamp
	$(RUN) -m benchmarks.bench

capacity: $(VENV)/stamp
	$(RUN) -m benchmarks.capacity
	$(RUN) -m benchmarks.memory
	$(RUN) -m benchmarks.flow_capacity

generate: $(VENV)/stamp
	$(RUN) -m grpc_tools.protoc -Iproto --python_out=bilberrypath/generated \
	  --grpc_python_out=bilberrypath/generated proto/upstream.proto
	sed -i 's/^import upstream_pb2/from bilberrypath.generated import upstream_pb2/' \
	  bilberrypath/generated/upstream_pb2_grpc.py

binary: $(VENV)/stamp
	mkdir -p dist
	$(VENV)/bin/shiv --output-file dist/bilberrypath --reproducible \
	  --entry-point bilberrypath.cli:main --quiet .

clean:
	rm -rf $(VENV) build dist out
