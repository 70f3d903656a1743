#!/usr/bin/env bash
# Builds the stand-in of case 9, after the build of the deploy file. Needs
# what that needs, and nothing else.
set -e
cd "$(dirname "$0")/.."
[ -f target/libplank.a ] || make -j4 BUILD=target target/libplank.a
mkdir -p target/review-4
PACKAGES="apr-1 json-c glib-2.0 libcurl libmicrohttpd libtirpc argtable2"
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Iplatform -Itests \
	$(pkg-config --cflags $PACKAGES) review/standin-4/plat.c tests/log_model.c \
	target/libplank.a $(pkg-config --libs $PACKAGES) -lpthread -lm \
	-o target/review-4/plat.new
mv target/review-4/plat.new target/review-4/plat
