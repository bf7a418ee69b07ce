.PHONY: build test lint run ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# The toy world and one front door on loopback; Ctrl-C ends both.
run: build
	cargo build --release --locked -p quillramp-gateway --example toy
	@target/release/examples/toy & toy=$$!; \
	  trap 'kill $$toy 2>/dev/null; wait $$toy 2>/dev/null' EXIT; trap : INT TERM; \
	  sleep 0.2; EDGE_CONFIG=examples/configuration.json target/release/quillramp

ci:
	bash .ci/run
