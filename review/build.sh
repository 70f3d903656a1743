#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/, after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
PACKAGES="apr-1 json-c glib-2.0 libcurl libmicrohttpd libtirpc argtable2"
# shellcheck disable=SC2046
gcc -std=gnu11 -O2 -g -Wall -Wextra -Wno-format-truncation -D_GNU_SOURCE \
	-Isrc -Iplatform -Itests $(pkg-config --cflags $PACKAGES) \
	review/standin/stage.c tests/log_model.c tests/worker_model.c \
	target/libplank.a $(pkg-config --libs $PACKAGES) -lpthread -lm \
	-o target/review-stage
