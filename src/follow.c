#include "follow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "member.h"
#include "rpcfollow.h"
#include "fleet_text.h"
#include "snapshot.h"

enum {
	READ_MAX = 512,
	RETRY_MS = 250,
	/* Peers are queried after this long without an answer, which is longer
	   than a long poll of the log takes. */
	PLATFORM_SILENT_MS = 2 * LIMIT_LOG_WAIT_MS + 500,
	SNAPSHOT_POLL_MS = 30000,
	/* Minimum time between two snapshots that this process writes, so that
	   the first is read back before, and a platform that refuses it is not
	   called in a loop. */
	SNAPSHOT_WRITE_MS = 5000
};

struct follow {
	struct evloop *evloop;
	const struct clk *clk;
	struct platclient *platclient;
	struct replica *replica;
	const struct procconf *procconf;
	struct snapshot *snapshot;
	struct rpcfollow *rpcfollow;

	int64_t start_ms;
	bool loaded;  /* snapshots were read, or a peer's state applied */
	bool reading; /* a read of the fleet stream is in progress */
	bool gap;     /* the next records to read have passed retention */
	int64_t retry_ms;
	int64_t answered_ms; /* -1: never */
	bool platform_ok;
	bool from_peer;
	int64_t snapshot_poll_ms;
	int64_t snapshot_write_ms; /* of the last write; -1: never */
	int64_t retained; /* records in the log; -1: none has expired yet */
	int64_t snapshot_due_ms; /* when one became due; -1: not due */
	int64_t bytes_read;
};

static int64_t now(const struct follow *follow)
{
	return clk_now_ms(follow->clk);
}

static void record_answer(struct follow *follow)
{
	follow->answered_ms = now(follow);
	if (!follow->platform_ok)
		log_info("platform log answers, next offset %lld",
			 (long long)replica_next(follow->replica));
	follow->platform_ok = true;
	follow->from_peer = false;
}

static void become_ready(struct follow *follow, const char *source)
{
	if (replica_ready(follow->replica))
		return;
	replica_set_ready(follow->replica);
	log_info("state is ready from %s, next offset %lld", source,
		 (long long)replica_next(follow->replica));
}

static void install_state(struct follow *follow, const char *text, size_t len,
			  const char *source)
{
	struct err err = { .kind = ERR_OK };
	int status = replica_install_snapshot(follow->replica, text, len, &err);

	if (status == 0) {
		follow->bytes_read += (int64_t)len;
		log_info("took the state of %s, next offset %lld", source,
			 (long long)replica_next(follow->replica));
	} else if (status != ERR_GONE) {
		log_warn("state of %s is not valid: %s", source, err.text);
	}
}

static void on_snapshot(void *arg, int status, const char *text, size_t len)
{
	struct follow *follow = arg;

	if (status) {
		follow->retry_ms = now(follow) + RETRY_MS;
		return;
	}
	record_answer(follow);
	if (text)
		install_state(follow, text, len, "a snapshot");
	follow->loaded = true;
}

static void on_records(void *arg, int status,
		       const struct platclient_batch *batch)
{
	struct follow *follow = arg;

	follow->reading = false;
	if (status == ERR_UNAVAILABLE) {
		follow->retry_ms = now(follow) + RETRY_MS;
		return;
	}
	record_answer(follow);
	if (status == ERR_GONE) {
		if (!follow->gap)
			log_error("records from offset %lld on have passed "
				  "retention; the log begins at %lld",
				  (long long)replica_next(follow->replica),
				  (long long)batch->first);
		follow->gap = true;
		follow->loaded = false;
		follow->retry_ms = now(follow) + RETRY_MS;
		return;
	}
	for (uint32_t i = 0; i < batch->count; i++) {
		follow->bytes_read += (int64_t)batch->records[i].len;
		replica_apply(follow->replica, batch->records[i].offset,
			      batch->records[i].data, batch->records[i].len);
	}
	replica_skip_to(follow->replica, batch->next);
	follow->gap = false;
	follow->retained = batch->first > 0 ? batch->next - batch->first : -1;
	if (batch->count < READ_MAX)
		become_ready(follow, "the log");
}

static void read_next(struct follow *follow)
{
	if (follow->reading || now(follow) < follow->retry_ms)
		return;
	if (!follow->loaded) {
		snapshot_load(follow->snapshot, on_snapshot, follow);
		return;
	}
	follow->reading = true;
	platclient_read(follow->platclient, "fleet",
			replica_next(follow->replica), READ_MAX,
			replica_ready(follow->replica) ? LIMIT_LOG_WAIT_MS : 0,
			on_records, follow);
}

static bool needs_peers(const struct follow *follow)
{
	return !follow->platform_ok || follow->gap;
}

/*
 * A process without a state waits until all peers have answered, for
 * start_wait_ms at most, because any of them may hold a newer state.
 */
static bool may_start_from_peer(const struct follow *follow,
				const struct rpcfollow_result *result)
{
	return replica_ready(follow->replica) ||
	       result->answered == follow->procconf->peer_count ||
	       now(follow) - follow->start_ms >=
		       follow->procconf->start_wait_ms;
}

static void apply_peer_result(struct follow *follow,
			      struct rpcfollow_result *result)
{
	if (!needs_peers(follow) || !may_start_from_peer(follow, result))
		return;
	if (result->snapshot) {
		install_state(follow, result->snapshot, result->snapshot_len,
			      "a peer");
		follow->from_peer = true;
	}
	for (u_int i = 0; i < result->tail.records.records_len; i++) {
		const proto_record *record =
			&result->tail.records.records_val[i];

		follow->bytes_read += record->data.data_len;
		replica_apply(follow->replica, record->offset,
			      record->data.data_val, record->data.data_len);
	}
	if (result->has_tail) {
		replica_skip_to(follow->replica, result->tail.next);
		follow->from_peer = true;
	}
	/* The peer's snapshot may be a few seconds old; the records after it
	   are fetched in the next rounds. */
	if (result->has_status &&
	    replica_next(follow->replica) >= result->status.next) {
		become_ready(follow, "a peer");
		/* Reading continues with records: a snapshot could skip a
		   record that this process has proposed, and with it the
		   result. */
		follow->loaded = true;
	}
}

static void follow_peers(struct follow *follow)
{
	struct rpcfollow_hello hello = {
		.enabled = needs_peers(follow),
		/* A process without a state must not start from an older state
		   than one that a peer already acts on. */
		.query_all = !replica_ready(follow->replica),
		.name = "",
		.data_centre = follow->procconf->data_centre,
		.next = replica_next(follow->replica),
		.hosts_version = -1,
	};
	struct rpcfollow_result result;

	if (!follow->rpcfollow)
		return;
	if (rpcfollow_take_result(follow->rpcfollow, &result)) {
		apply_peer_result(follow, &result);
		rpcfollow_result_clear(&result);
		hello.next = replica_next(follow->replica);
	}
	rpcfollow_set_hello(follow->rpcfollow, &hello);
}

/*
 * With a short retention a snapshot is due earlier, so that the records since
 * the last snapshot are still retained if the next member has to write one.
 */
static bool snapshot_due(const struct follow *follow)
{
	int64_t newest = snapshot_newest(follow->snapshot);
	int64_t records =
		replica_next(follow->replica) - (newest < 0 ? 0 : newest);

	return records >= follow->procconf->snapshot_records ||
	       (follow->retained >= 0 && records > follow->retained / 4);
}

/*
 * Members take turns by rank to write a snapshot, which spreads the work; the
 * next rank writes if none appears in time.
 */
static void write_snapshot(struct follow *follow)
{
	const struct fleet *fleet = replica_state(follow->replica);
	int64_t newest = snapshot_newest(follow->snapshot);
	char subject[32];
	int64_t rank;
	char *text;
	size_t len;

	if (!snapshot_due(follow)) {
		follow->snapshot_due_ms = -1;
		return;
	}
	if (follow->snapshot_due_ms < 0)
		follow->snapshot_due_ms = now(follow);
	snprintf(subject, sizeof(subject), "snapshot %lld", (long long)newest);
	rank = member_rank(fleet, follow->procconf->name, subject);
	if (now(follow) - follow->snapshot_due_ms <
		    rank * SNAPSHOT_POLL_MS * 2 ||
	    snapshot_busy(follow->snapshot) ||
	    (follow->snapshot_write_ms >= 0 &&
	     now(follow) - follow->snapshot_write_ms < SNAPSHOT_WRITE_MS))
		return;
	text = fleet_text_encode(fleet, &len);
	if (!text)
		return;
	log_info("writing a snapshot of %zu bytes at offset %lld", len,
		 (long long)fleet->next);
	follow->snapshot_write_ms = now(follow);
	snapshot_write(follow->snapshot, text, len, fleet->next);
}

static void update_snapshots(struct follow *follow)
{
	if (!replica_ready(follow->replica) || !follow->platform_ok ||
	    !follow->loaded)
		return;
	if (now(follow) - follow->snapshot_poll_ms >= SNAPSHOT_POLL_MS) {
		follow->snapshot_poll_ms = now(follow);
		snapshot_poll(follow->snapshot);
		return;
	}
	write_snapshot(follow);
}

void follow_tick(struct follow *follow)
{
	if (follow->platform_ok &&
	    now(follow) - follow->answered_ms > PLATFORM_SILENT_MS) {
		follow->platform_ok = false;
		log_warn("platform log does not answer");
	}
	read_next(follow);
	follow_peers(follow);
	update_snapshots(follow);
}

static void wake(void *arg)
{
	evloop_wake(((struct follow *)arg)->evloop);
}

static void start_peers(struct follow *follow)
{
	uint32_t count = follow->procconf->peer_count;
	struct rpcfollow_target *targets = calloc(count + 1, sizeof(*targets));
	struct rpcfollow_config config = {
		.clk = follow->clk,
		.policy = RPCFOLLOW_NEWEST,
		.targets = targets,
		.target_count = count,
		.interval_ms = LIMIT_FOLLOW_INTERVAL_MS,
		.wake = wake,
		.arg = follow,
	};

	for (uint32_t i = 0; targets && i < count; i++) {
		targets[i].address = follow->procconf->peers[i].address;
		targets[i].port = (uint16_t)follow->procconf->peers[i].port;
	}
	if (count && targets)
		follow->rpcfollow = rpcfollow_create(&config);
	free(targets);
}

static bool is_valid_state(const char *text, size_t len, int64_t fleet_next)
{
	struct fleet *fleet = fleet_text_decode(text, len, NULL);
	bool valid = fleet && fleet->next == fleet_next;

	fleet_destroy(fleet);
	return valid;
}

struct follow *follow_create(struct evloop *evloop,
			     struct platclient *platclient,
			     struct replica *replica, struct rnd *rnd,
			     const struct procconf *procconf)
{
	struct follow *follow = calloc(1, sizeof(*follow));

	if (!follow)
		return NULL;
	follow->evloop = evloop;
	follow->clk = evloop_clk(evloop);
	follow->platclient = platclient;
	follow->replica = replica;
	follow->procconf = procconf;
	follow->snapshot = snapshot_create(platclient, rnd, is_valid_state);
	follow->start_ms = now(follow);
	follow->answered_ms = -1;
	follow->snapshot_due_ms = -1;
	follow->snapshot_write_ms = -1;
	follow->retained = -1;
	follow->snapshot_poll_ms = follow->start_ms;
	start_peers(follow);
	return follow;
}

void follow_destroy(struct follow *follow)
{
	if (!follow)
		return;
	rpcfollow_destroy(follow->rpcfollow);
	snapshot_destroy(follow->snapshot);
	free(follow);
}

void follow_get_status(const struct follow *follow,
		       struct follow_status *status)
{
	*status = (struct follow_status){
		.platform_ok = follow->platform_ok,
		.platform_age_ms = follow->answered_ms < 0
					   ? -1
					   : now(follow) - follow->answered_ms,
		.gap = follow->gap,
		.from_peer = follow->from_peer,
		.snapshot_next = snapshot_newest(follow->snapshot),
		.snapshots_invalid = snapshot_invalid(follow->snapshot),
		.bytes_read = follow->bytes_read,
	};
}
