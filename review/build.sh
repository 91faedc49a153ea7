#!/bin/sh
# Compiles the stand-ins of the review cases with the JDK alone. Nothing is downloaded and no dependency is used.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standins/*.java
