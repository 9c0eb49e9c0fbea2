# Java 17 and Maven are needed; CONFIG is the file that a router is started with.
CONFIG ?= deploy/example.json
# The same bounds as in deploy/balancer.toml, read from there so that they stand in one place.
RUN = $(shell sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)
BUILD = $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
SOURCES = $(shell git ls-files "*.java" .ci Makefile)

.PHONY: build test lint run clean

build:
	$(BUILD)

test:
	mvn -B verify

# Compiler warnings and lines over 110 characters are errors.
lint:
	mvn -q -B -Plint -DskipTests clean package
	@awk 'length > 110 { print FILENAME ":" FNR ": over 110 characters"; bad = 1 } END { exit bad }' $(SOURCES)

run: build
	NODE_CONFIG=$(CONFIG) $(RUN)

clean:
	mvn -q clean
