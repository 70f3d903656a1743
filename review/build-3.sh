#!/usr/bin/env bash
# Builds the stand-ins of the scripts that use lib-3.sh, into target/review-3.
# Called by build-2.sh.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-3
PACKAGES="apr-1 json-c glib-2.0 libcurl libmicrohttpd libtirpc argtable2"
SHARED="tests/standin.c tests/standin_log.c tests/standin_answer.c
	tests/standin_room.c tests/log_model.c tests/worker_model.c"
mkdir -p $OUT
make -s -j6 BUILD=target target/libplank.a
# build NAME WORKERS: a stand-in with these workers
build() {
	gcc -std=gnu11 -O2 -g -Wall -Wextra -Wno-format-truncation \
		-Wno-cast-function-type -D_GNU_SOURCE -Isrc -Iplatform -Itests \
		$(pkg-config --cflags $PACKAGES) "$2" $SHARED target/libplank.a \
		$(pkg-config --libs $PACKAGES) -lpthread -lm -o "$OUT/$1"
}
build standin tests/standin_worker.c
build saver review/standin-3/saver.c
