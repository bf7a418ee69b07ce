.PHONY: build test lint run ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# The example backends with their services and one front door on loopback; Ctrl-C ends both.
run: build
	cargo build --release --locked -p quillramp-gateway --example example_backend
	@target/release/examples/example_backend & example=$$!; \
	  trap 'kill $$example 2>/dev/null; wait $$example 2>/dev/null' EXIT; trap : INT TERM; \
	  sleep 0.2; EDGE_CONFIG=examples/configuration.json target/release/quillramp

ci:
	bash .ci/run
