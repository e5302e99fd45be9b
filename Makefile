# Entry points for users and CI; the build itself is CMake's.

BUILD ?= build
JOBS ?= 8
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
SOURCES = $(shell git ls-files 'packages/*.h' 'packages/*.cpp')

.PHONY: all packages build test demo package format-check lint

all: build

# Installs the Debian packages of packages.txt unless all are there.
packages:
	@dpkg -s $$(cat packages.txt) >/dev/null 2>&1 || \
	  (apt-get update -qq && apt-get install -y -qq --no-install-recommends $$(cat packages.txt) >/dev/null)

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

# Runs a deployment on loopback addresses: DEPLOYMENT=inyenyeri or hormas.
DEPLOYMENT ?= inyenyeri
demo: build
	@$(BUILD)/packages/testing/demo --tree=examples/$(DEPLOYMENT)/tree.yaml

# Builds a Debian package of the two binaries, examples and documents in $(BUILD).
package: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) --target jaylane-entry jaylanectl
	@cd $(BUILD) && cpack -G DEB

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@git ls-files 'packages/*/src/*.cpp' | xargs -P $(JOBS) -n 2 clang-tidy -p $(BUILD) --quiet 2>/dev/null
