# make        builds the programs into build/
# make check  runs every test; make demo shows the whole path
# make prove  writes docs/PROOF.md
# make deps   installs the packages that are missing

CC = gcc
PACKAGES = apr-1 json-c glib-2.0 libcurl libmicrohttpd libtirpc argtable2
DEBIAN_PACKAGES = gcc make pkg-config libapr1-dev libjson-c-dev libglib2.0-dev \
	libcurl4-openssl-dev libmicrohttpd-dev libtirpc-dev libargtable2-dev \
	check curl
LINT_PACKAGES = clang-format clang-tidy

BUILD = build
CORES = $(shell nproc)
SANITIZE =
CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wno-format-truncation \
	-Wno-cast-function-type $(SANITIZE)
CPPFLAGS = -D_GNU_SOURCE -Isrc -Iplatform $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
LDLIBS = $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lpthread -lm

CORE = err clk rnd counters table jcursor field record teamconf fleet \
	fleet_settings fleet_host fleet_member fleet_text member route \
	route_share route_result plan plan_survey plan_check admit claim \
	claim_record claim_window
AROUND = log file procconf cmd evloop budget budget_counters web web_request \
	web_body web_budget web_linger tcp \
	platclient propose replica snapshot follow hostlist reboot rpcserver \
	rpcfollow view admin admin_change proxy proxy_read proxy_claim \
	proxy_queue proxy_send claim_log entry_counters admin_client \
	ctl_command ctl_config ctl_print report histo arrival load_report
NODE = lag cfg job job_cancel job_open job_room job_run job_record job_range job_index worker share index backlog speed avail place rtt writer tail order ownership \
	pool job_view pool_order pool_sent pool_life pool_renew pool_reading pool_report pool_lost \
	pool_empty pool_slow pool_pace pace pool_crash \
	pool_away pool_write pool_unplaced pool_stored pool_publish pool_bound bound crash place_account place_backlog place_room place_quarantine place_tenants place_reserve place_reserve_find reserve estimate \
	host_plan quota quota_use quota_plan pool_quota maint_quota \
	maint maint_bound maint_wave maint_sizing sizing liveness host_view nodeconf \
	auth rate fair cfgcheck front front_pending front_late group \
	standby node_metrics node_records node_pools node_view node
PLATFORM = conn call json json_stream store wire wire_report wire_tenants order_api host_api ingress platform
GENERATED = proto_xdr proto_clnt
LIBRARY = $(BUILD)/libplank.a
PROGRAMS = $(BUILD)/plank-entryd $(BUILD)/plank-fleetd $(BUILD)/plankctl \
	$(BUILD)/plank-load $(BUILD)/plank-noded
STANDINS = $(BUILD)/platformd $(BUILD)/workerd $(BUILD)/faultd \
	$(BUILD)/standin $(BUILD)/crowd

all: $(PROGRAMS)

$(BUILD):
	mkdir -p $@

$(BUILD)/%.o: src/%.c $(wildcard src/*.h) Makefile | $(BUILD)
	@echo "  CC $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

$(BUILD)/%.o: platform/%.c $(wildcard src/*.h platform/*.h) Makefile | $(BUILD)
	@echo "  CC $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

# Generated code is compiled as it comes.
$(GENERATED:%=$(BUILD)/%.o): CFLAGS += -w

$(LIBRARY): $(CORE:%=$(BUILD)/%.o) $(AROUND:%=$(BUILD)/%.o) \
		$(NODE:%=$(BUILD)/%.o) $(PLATFORM:%=$(BUILD)/%.o) \
		$(GENERATED:%=$(BUILD)/%.o)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/plank-entryd: $(BUILD)/entryd.o $(LIBRARY)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) $^ $(LDLIBS) -o $@
$(BUILD)/plank-fleetd: $(BUILD)/fleetd.o $(LIBRARY)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) $^ $(LDLIBS) -o $@
# Only the bench runs this one: round robin with unbounded queues.
$(BUILD)/plank-entryd-baseline: src/entryd.c $(LIBRARY)
	@echo "  CC $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -DPLANK_QUEUE_BASELINE $^ $(LDLIBS) -o $@
$(BUILD)/plankctl: $(BUILD)/plankctl.o $(LIBRARY)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/plank-noded: $(BUILD)/noded.o $(LIBRARY)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/plank-load: $(BUILD)/load.o $(LIBRARY)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) $^ $(LDLIBS) -lm -o $@

$(BUILD)/%: tests/%.c $(LIBRARY)
	@echo "  CC $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(filter %.c,$^) $(LIBRARY) $(LDLIBS) \
		-lcheck -lm -lsubunit -lrt -o $@

SESSION_SOURCES = tests/session.c tests/session_entry.c tests/session_guards.c \
	tests/session_log.c tests/schedule.c tests/oracle.c \
	tests/oracle_records.c

$(BUILD)/replay $(BUILD)/test_sessions: $(SESSION_SOURCES) \
	$(wildcard tests/*.h)
$(BUILD)/replay $(BUILD)/test_sessions: CPPFLAGS += -Itests

FLEET_SOURCES = tests/fleet_attempts.c tests/fleet_attempts.h \
	tests/fleet_callers.c tests/fleet_check.c tests/fleet_records.c \
	tests/fleet_capacity.c tests/fleet_capacity.h \
	tests/fleet_cut.c tests/fleet_cut.h tests/fleet_gang.c \
	tests/fleet_gang.h tests/fleet_hosts.c tests/fleet_limit.c \
	tests/fleet_limit.h tests/fleet_log.c tests/fleet_pace.c tests/fleet_pace.h \
	tests/fleet_orders.c tests/fleet_play.c tests/fleet_play.h \
	tests/fleet_restarts.c tests/fleet_restarts.h \
	tests/fleet_saved.c tests/fleet_saved.h \
	tests/fleet_sim.c tests/fleet_sim.h tests/fleet_sim_int.h tests/log_model.c tests/log_model.h \
	tests/worker_model.c tests/worker_model.h

FLEET_TESTS = $(BUILD)/test_node $(BUILD)/test_crash $(BUILD)/test_takeover \
	$(BUILD)/test_leaving $(BUILD)/test_burst $(BUILD)/test_capacity $(BUILD)/test_lasting \
	$(BUILD)/test_suspects $(BUILD)/test_retry $(BUILD)/test_reassigned \
	$(BUILD)/test_odd_entries $(BUILD)/test_cut $(BUILD)/test_reads \
	$(BUILD)/test_acceptance $(BUILD)/test_moves $(BUILD)/test_unanswered \
	$(BUILD)/test_moved_off \
	$(BUILD)/test_begin $(BUILD)/test_join $(BUILD)/test_many_ends \
	$(BUILD)/test_large_jobs $(BUILD)/test_terms $(BUILD)/test_tenures \
	$(BUILD)/test_tenure_cuts \
	$(BUILD)/test_cfg_age $(BUILD)/test_old_orders \
	$(BUILD)/test_attempts $(BUILD)/test_settled \
	$(BUILD)/test_late_starts $(BUILD)/test_lost_answers \
	$(BUILD)/test_limits $(BUILD)/test_pace $(BUILD)/test_submissions \
	$(BUILD)/test_schedules $(BUILD)/test_many_stops \
	$(BUILD)/test_checkpoints $(BUILD)/test_lost_for_good \
	$(BUILD)/test_unfit_workers

$(FLEET_TESTS) $(BUILD)/explore: $(FLEET_SOURCES)
$(BUILD)/test_writer: tests/log_model.c tests/log_model.h
$(BUILD)/test_writer: CPPFLAGS += -Itests
$(BUILD)/standin: tests/log_model.c tests/log_model.h \
	tests/standin_answer.c tests/standin_answer.h tests/standin_log.c \
	tests/standin_log.h tests/standin_room.c tests/standin_room.h \
	tests/standin_worker.c tests/standin_worker.h tests/worker_model.c \
	tests/worker_model.h
$(FLEET_TESTS) $(BUILD)/explore $(BUILD)/standin: CPPFLAGS += -Itests

POOL_FIXTURE = tests/pool_fixture.c tests/pool_fixture.h
POOL_TESTS = $(BUILD)/test_large_jobs $(BUILD)/test_terms $(BUILD)/test_jobs $(BUILD)/test_lease $(BUILD)/test_quarantine \
	$(BUILD)/test_room $(BUILD)/test_fair $(BUILD)/test_index $(BUILD)/test_stream_age $(BUILD)/test_cost \
	$(BUILD)/test_reserve $(BUILD)/test_schedules $(BUILD)/test_slow_reports \
	$(BUILD)/test_checkpoint_room
$(POOL_TESTS): $(POOL_FIXTURE)
$(POOL_TESTS): CPPFLAGS += -Itests
$(BUILD)/test_reserve: tests/reserve_model.c tests/reserve_model.h

$(BUILD)/bench_state: bench/state.c $(LIBRARY)
	@echo "  CC $@"
	@$(CC) $(CPPFLAGS) $(CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/bench_waves: bench/waves.c tests/sim.h $(LIBRARY)
	$(CC) $(CPPFLAGS) -Itests $(CFLAGS) $(filter-out %.h,$^) $(LDLIBS) -o $@

$(BUILD)/bench_nodes: bench/nodes.c $(FLEET_SOURCES) $(LIBRARY)
	@echo "  CC $@"
	@$(CC) $(CPPFLAGS) -Itests $(CFLAGS) $(filter-out %.h,$^) $(LDLIBS) -o $@

standins: $(STANDINS)

# Tests: unit tests by check, then process tests with the stand-ins.
UNIT_TESTS = $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_*.c))
# Crowd tests watch memory and descriptors; each runs alone.
CROWD_TESTS = $(wildcard tests/process_crowd_*.sh)
PROCESS_TESTS = $(filter-out $(CROWD_TESTS),$(wildcard tests/process_*.sh))

$(UNIT_TESTS): tests/suite.h

tests: all standins $(UNIT_TESTS)

# Process tests watch real time; few run side by side.
UNIT_JOBS = 4
PROCESS_JOBS = 3

run-unit: $(UNIT_TESTS)
	@bash tests/run.sh $(UNIT_JOBS) $(UNIT_TESTS)

run-process: all standins
	@PLANK_BUILD=$(BUILD) bash tests/run.sh $(PROCESS_JOBS) \
		$(PROCESS_TESTS:%="bash %")
	@PLANK_BUILD=$(BUILD) bash tests/run.sh 1 $(CROWD_TESTS:%="bash %")

SANITIZED = BUILD=build-sanitize \
	SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=all \
	-fno-omit-frame-pointer"

check: deps
	$(MAKE) -j$(CORES) tests
	$(MAKE) -j$(CORES) $(SANITIZED) tests
	$(MAKE) run-unit
	$(MAKE) $(SANITIZED) run-unit
	$(MAKE) run-process
	$(MAKE) $(SANITIZED) run-process

# Shows that each guard matters; its output is docs/PROOF.md.
prove: $(BUILD)/replay $(BUILD)/explore
	$(BUILD)/replay prove >$(BUILD)/PROOF.md; status=$$?; \
	$(BUILD)/explore $(BUILD)/nodes.md >$(BUILD)/explore.log || status=1; \
	cat $(BUILD)/nodes.md >>$(BUILD)/PROOF.md; \
	cat $(BUILD)/PROOF.md; cp $(BUILD)/PROOF.md docs/PROOF.md; exit $$status

demo: deps
	$(MAKE) all standins
	scripts/demo.sh

# Figures of docs/CAPACITY.md and docs/WAVES.md.
bench: all standins $(BUILD)/bench_state $(BUILD)/bench_waves \
		$(BUILD)/bench_nodes
	$(BUILD)/bench_nodes
	$(BUILD)/bench_state
	$(BUILD)/bench_waves
	PLANK_BUILD=$(BUILD) bash bench/processes.sh
	PLANK_BUILD=$(BUILD) bash bench/entries.sh

# Figures of docs/REQUESTS.md.
bench-queues: all standins $(BUILD)/plank-entryd-baseline
	PLANK_BUILD=$(BUILD) bash bench/queues.sh

SOURCES = $(filter-out src/proto%,$(wildcard src/*.c src/*.h)) \
	$(wildcard platform/*.c platform/*.h) \
	$(wildcard tests/*.c tests/*.h bench/*.c)

lint:
	clang-format --dry-run --Werror $(SOURCES)
	printf '%s\n' $(filter %.c,$(SOURCES)) | \
		xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- -std=gnu11 \
		$(CPPFLAGS) -Itests 2>/dev/null' lint

format:
	clang-format -i $(SOURCES)

deps:
	@missing=""; for package in $(DEBIAN_PACKAGES) $(NEEDS); do \
		dpkg -s $$package >/dev/null 2>&1 || missing="$$missing $$package"; \
	done; \
	if [ -n "$$missing" ]; then \
		echo "installing$$missing"; \
		apt-get update -q && apt-get install -q -y $$missing; \
	fi

# Only needed after a change of src/proto.x; the result is committed.
rpc:
	cd src && rm -f proto.h proto_xdr.c proto_clnt.c && \
	rpcgen -C -N -M -h -o proto.h proto.x && \
	rpcgen -C -N -M -c -o proto_xdr.c proto.x && \
	rpcgen -C -N -M -l -o proto_clnt.c proto.x

clean:
	rm -rf build build-*

.PHONY: all standins tests run-unit run-process check prove bench bench-queues \
	demo lint format deps rpc clean
.SECONDARY:
