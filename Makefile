# Build, test, lint and run; the README tells more.
GW_CONFIG ?= deploy/rehearsal.json

.PHONY: build test lint format run peer bench clean

build:
	mvn -B -ntp -q -DskipTests package
	sh deploy/archive.sh

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -q -DskipTests clean verify

format:
	mvn -B -ntp -q spotless:apply

run: build
	GW_CONFIG=$(GW_CONFIG) sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

peer: build
	java -jar target/topazladder.jar experiment peer --out target/peer.md

# Nanoseconds and bytes allocated a request and a tick, by classes and tenants; into target/bench.txt.
bench:
	mvn -B -ntp -q -Pbench -DskipTests test-compile dependency:build-classpath -Dmdep.outputFile=target/bench.classpath
	java -cp target/test-classes:target/classes:$$(cat target/bench.classpath) org.openjdk.jmh.Main -prof gc -rf text \
	    -rff target/bench.txt Benchmark

clean:
	mvn -B -ntp -q clean
