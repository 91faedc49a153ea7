#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (sources in review/standins-2) into target/review-2. To be run behind the
# build of the deploy file, from anywhere; it needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -Xlint:none -d target/review-2 -cp 'target/topazladder.jar:target/lib/*:target/extra/*' review/standins-2/*.java
