# Build, test, lint and run; the README tells more.
GW_CONFIG ?= deploy/rehearsal.json

.PHONY: build test lint run peer clean

build:
	mvn -B -ntp -q -DskipTests package
	sh deploy/archive.sh

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q -DskipTests clean verify checkstyle:check

run: build
	GW_CONFIG=$(GW_CONFIG) sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

peer: build
	java -jar target/topazladder.jar experiment peer --out target/peer.md

clean:
	mvn -B -ntp -q clean
