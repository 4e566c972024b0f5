# Both need Python 3.11 or newer on the PATH and set up what else they need in .venv.
.PHONY: test demo

# Lint, the format check, types and all tests.
test:
	@tools/test.sh

# The dispatcher under load on stand-in engines, one of them killed and one drained. ARGS="--json --seed 3"
demo:
	@tools/demo.sh $(ARGS)
