#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/ to target/review-4/, with
# the objects of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
make -s -j4 BUILD=target target/libplank.a
packages="apr-1 json-c glib-2.0 libcurl libmicrohttpd libtirpc argtable2"
gcc -D_GNU_SOURCE -Isrc -Iplatform -Itests $(pkg-config --cflags $packages) \
	-std=gnu11 -O2 -g -Wall -Wextra -Wno-cast-function-type \
	review/standin-2/fleet.c tests/log_model.c tests/standin_log.c \
	tests/standin_answer.c target/libplank.a \
	$(pkg-config --libs $packages) -lpthread -lm -o $out/fleet
echo "built $out/fleet"
bash review/build-3.sh
echo "built target/review-3/standin, target/review-3/saver"
bash review/build-4.sh
echo "built target/review-4/plat"
