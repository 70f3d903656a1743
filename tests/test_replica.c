/*
 * Unit tests of the replica, snapshots and the proposer. The platform client is
 * replaced by streams in memory; the test decides when calls are answered.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "platclient.h"
#include "propose.h"
#include "replica.h"
#include "fleet_text.h"
#include "snapshot.h"
#include "suite.h"

enum { MAX_RECORDS = 4096, MAX_CALLS = 16 };

struct stream {
	int64_t first;
	int64_t next;
	char *records[MAX_RECORDS];
};

struct call {
	struct stream *stream;
	int64_t from; /* of a read; -1: an append */
	int status;
	void (*on_append)(void *arg, int status, int64_t offset);
	void (*on_read)(void *arg, int status,
			const struct platclient_batch *batch);
	void *arg;
};

static struct stream fleet, snapshots;
static struct call calls[MAX_CALLS];
static uint32_t call_count;
static int append_status; /* ERR_UNKNOWN: appended, and the answer is lost */
static struct clk clk;
static struct rnd rnd;
static struct replica *replica;
static struct propose *propose;
static struct snapshot *snapshot;
static struct err err;
static struct err outcome;
static int outcome_count, accepted_count, load_count;
static char *loaded;

static struct stream *find_stream(const char *name)
{
	return strcmp(name, "fleet") ? &snapshots : &fleet;
}

static void add(struct stream *stream, const char *text)
{
	ck_assert_int_lt(stream->next, MAX_RECORDS);
	stream->records[stream->next++] = strdup(text);
}

void platclient_append(struct platclient *platclient, const char *name,
		       const char *data, size_t len,
		       void (*fn)(void *arg, int status, int64_t offset),
		       void *arg)
{
	(void)platclient;
	(void)len;
	if (append_status == 0 || append_status == ERR_UNKNOWN)
		add(find_stream(name), data);
	ck_assert_uint_lt(call_count, MAX_CALLS);
	calls[call_count++] = (struct call){
		.stream = find_stream(name),
		.from = -1,
		.status = append_status,
		.on_append = fn,
		.arg = arg,
	};
}

void platclient_read(struct platclient *platclient, const char *name,
		     int64_t from, uint32_t max, int64_t wait_ms,
		     void (*fn)(void *arg, int status,
				const struct platclient_batch *batch),
		     void *arg)
{
	(void)platclient;
	(void)max;
	(void)wait_ms;
	ck_assert_uint_lt(call_count, MAX_CALLS);
	calls[call_count++] = (struct call){
		.stream = find_stream(name),
		.from = from,
		.on_read = fn,
		.arg = arg,
	};
}

static void answer_read(const struct call *call)
{
	static struct platclient_record records[MAX_RECORDS];
	struct stream *stream = call->stream;
	struct platclient_batch batch = {
		.first = stream->first,
		.next = stream->next,
		.records = records,
	};

	if (call->from < stream->first) {
		call->on_read(call->arg, ERR_GONE, &batch);
		return;
	}
	for (int64_t i = call->from; i < stream->next; i++) {
		struct platclient_record *record = &records[batch.count++];

		record->offset = i;
		record->data = stream->records[i];
		record->len = strlen(stream->records[i]);
	}
	call->on_read(call->arg, 0, &batch);
}

/* Answers up to max calls, including those made by the callbacks. */
static int answer_calls(int max)
{
	int answered = 0;

	while (call_count && answered < max) {
		struct call call = calls[0];

		memmove(calls, calls + 1, --call_count * sizeof(call));
		answered++;
		if (call.from >= 0)
			answer_read(&call);
		else
			call.on_append(call.arg, call.status,
				       call.stream->next - 1);
	}
	return answered;
}

static void on_applied(void *arg, int64_t offset, const struct record *rec,
		       const struct err *result)
{
	(void)arg;
	accepted_count += result->kind == ERR_OK;
	if (rec)
		propose_observe(propose, offset, rec, result);
}

static void on_loaded(void *arg, int status, const char *text, size_t len)
{
	(void)arg;
	ck_assert_int_eq(status, 0);
	free(loaded);
	loaded = text ? strndup(text, len) : NULL;
	load_count++;
}

static void on_done(void *arg, const struct err *result, int64_t offset,
		    int64_t created_ms)
{
	(void)arg;
	(void)offset;
	(void)created_ms;
	outcome = *result;
	outcome_count++;
}

static void setup(void)
{
	clk = clk_manual(1000);
	rnd_init(&rnd, 7);
	replica = replica_create();
	replica_on_applied(replica, on_applied, NULL);
	propose = propose_create(&clk, NULL, &rnd, "e0");
	snapshot = snapshot_create(NULL, &rnd, NULL);
	append_status = outcome_count = accepted_count = load_count = 0;
	call_count = 0;
}

static void clear(struct stream *stream)
{
	for (int64_t i = 0; i < stream->next; i++)
		free(stream->records[i]);
	memset(stream, 0, sizeof(*stream));
}

static void teardown(void)
{
	snapshot_destroy(snapshot);
	propose_destroy(propose);
	replica_destroy(replica);
	clear(&fleet);
	clear(&snapshots);
	free(loaded);
	loaded = NULL;
}

static void propose_settings(int64_t base)
{
	struct record rec = { .type = RECORD_SETTINGS, .base = base };

	snprintf(rec.team, sizeof(rec.team), "ads");
	rec.settings = strdup("{\"pools\":{\"proofs\":{\"hosts\":[\"h0\"],"
			      "\"min_available\":0}}}");
	ck_assert_int_eq(
		propose_submit(propose, NULL, &rec, 10000, on_done, NULL), 0);
}

/* Applies the records of the fleet stream from an offset on. */
static void follow(int64_t from)
{
	for (int64_t i = from; i < fleet.next; i++)
		replica_apply(replica, i, fleet.records[i],
			      strlen(fleet.records[i]));
}

static int64_t version(void)
{
	const struct fleet_team *team =
		fleet_team(replica_state(replica), "ads");

	return team ? team->version : -1;
}

static void advance_ms(int64_t ms)
{
	clk.manual_ms += ms;
	propose_tick(propose);
	answer_calls(MAX_CALLS);
}

/* XDR decodes a record without data as NULL, which memcpy must not get. */
START_TEST(empty_record_is_skipped)
{
	replica_apply(replica, 0, NULL, 0);
	ck_assert_int_eq(replica_next(replica), 1);
}
END_TEST

/* Guards against a record that takes effect twice after a lost answer. */
START_TEST(lost_answer_applies_once)
{
	append_status = ERR_UNKNOWN;
	propose_settings(-1);
	answer_calls(1);
	append_status = 0;
	advance_ms(5000);
	ck_assert_int_eq(fleet.next, 2);
	follow(0);
	ck_assert_int_eq(accepted_count, 1);
	ck_assert_int_eq(version(), 0);
	ck_assert_int_eq(outcome_count, 1);
	ck_assert_int_eq(outcome.kind, ERR_OK);
	ck_assert_uint_eq(propose_count(propose), 0);
}
END_TEST

/* Guards against the result "refused" for a change whose first copy was
   accepted among records that were skipped by loading a snapshot. */
START_TEST(duplicate_of_unseen_copy_is_unknown)
{
	struct replica *other = replica_create();
	size_t len;
	char *text;

	append_status = ERR_UNKNOWN;
	propose_settings(-1);
	answer_calls(1);
	replica_apply(other, 0, fleet.records[0], strlen(fleet.records[0]));
	text = fleet_text_encode(replica_state(other), &len);
	ck_assert_int_eq(replica_install_snapshot(replica, text, len, &err), 0);
	append_status = 0;
	advance_ms(5000);
	follow(1);
	ck_assert_int_eq(outcome_count, 1);
	ck_assert_int_eq(outcome.kind, ERR_UNKNOWN);
	ck_assert_int_eq(version(), 0);
	free(text);
	replica_destroy(other);
}
END_TEST

/* Guards against a repeated append after the state may have dropped the id. */
START_TEST(no_retry_after_log_advanced)
{
	struct record other = { .id = "other" };

	append_status = ERR_UNKNOWN;
	propose_settings(-1);
	answer_calls(1);
	propose_observe(propose, LIMIT_RECORD_IDS, &other,
			&(struct err){ .kind = ERR_OK });
	advance_ms(5000);
	ck_assert_int_eq(fleet.next, 1);
	advance_ms(10000);
	ck_assert_int_eq(outcome.kind, ERR_UNKNOWN);
}
END_TEST

/* Guards against the result "unavailable" for a record that may be stored. */
START_TEST(refused_append_is_unavailable)
{
	append_status = ERR_UNAVAILABLE;
	propose_settings(-1);
	answer_calls(1);
	advance_ms(10000);
	ck_assert_int_eq(outcome.kind, ERR_UNAVAILABLE);
	ck_assert_int_eq(fleet.next, 0);
	append_status = ERR_UNKNOWN;
	propose_settings(-1);
	answer_calls(1);
	advance_ms(10000);
	ck_assert_int_eq(outcome.kind, ERR_UNKNOWN);
	ck_assert_int_eq(outcome_count, 2);
}
END_TEST

static char *state_after(int64_t records, size_t *len)
{
	struct replica *other = replica_create();
	char *text;

	for (int64_t i = 0; i < records; i++)
		replica_apply(other, i, fleet.records[i],
			      strlen(fleet.records[i]));
	text = fleet_text_encode(replica_state(other), len);
	replica_destroy(other);
	return text;
}

/* Guards against an older state that replaces a newer one, a replica that is
   ready before the tail was applied, and an unchanged `changes` count. */
START_TEST(adopt_never_goes_back)
{
	uint64_t changes;
	size_t len;
	char *old, *newer;

	propose_settings(-1);
	propose_settings(0);
	answer_calls(MAX_CALLS);
	old = state_after(1, &len);
	changes = replica_state(replica)->changes;
	ck_assert_int_eq(replica_install_snapshot(replica, old, len, &err), 0);
	ck_assert(!replica_ready(replica));
	ck_assert_uint_ne(replica_state(replica)->changes, changes);
	follow(0);
	ck_assert_int_eq(version(), 1);
	ck_assert_int_eq(replica_install_snapshot(replica, old, len, &err),
			 ERR_GONE);
	newer = state_after(2, &len);
	ck_assert_int_eq(replica_install_snapshot(replica, newer, len, &err),
			 ERR_GONE);
	replica_skip_to(replica, 1);
	ck_assert_int_eq(replica_next(replica), 2);
	ck_assert_int_eq(version(), 1);
	free(old);
	free(newer);
}
END_TEST

/* Guards against a tail that silently omits records no longer stored. */
START_TEST(tail_reports_gone)
{
	const struct replica_record *out[LIMIT_TAIL_BATCH];
	size_t len;
	char *text;

	for (int64_t i = 0; i <= LIMIT_TAIL_RECORDS; i++)
		replica_apply(replica, i, "{}", 2);
	ck_assert_int_eq(replica_tail(replica, 0, LIMIT_TAIL_BATCH, out),
			 ERR_GONE);
	ck_assert_int_eq(replica_tail(replica, 1, LIMIT_TAIL_BATCH, out),
			 LIMIT_TAIL_BATCH);
	ck_assert_int_eq(out[0]->offset, 1);
	ck_assert_int_eq(replica_tail(replica, LIMIT_TAIL_RECORDS, 9, out), 1);
	ck_assert_int_eq(replica_tail(replica, LIMIT_TAIL_RECORDS + 1, 9, out),
			 0);
	text = fleet_text_encode(replica_state(replica), &len);
	replica_destroy(replica);
	replica = replica_create();
	ck_assert_int_eq(replica_install_snapshot(replica, text, len, &err), 0);
	ck_assert_int_eq(replica_tail(replica, LIMIT_TAIL_RECORDS, 9, out),
			 ERR_GONE);
	ck_assert_int_eq(replica_tail(replica, LIMIT_TAIL_RECORDS + 1, 9, out),
			 0);
	free(text);
}
END_TEST

static void put_part(const char *id, int64_t fleet_next, int part, bool last)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "{\"id\":\"%s\",\"fleet_next\":%d,\"part\":%d,\"last\":%s,"
		 "\"data\":\"%s%d\"}",
		 id, (int)fleet_next, part, last ? "true" : "false", id, part);
	add(&snapshots, text);
}

static void load(void)
{
	snapshot_load(snapshot, on_loaded, NULL);
	answer_calls(MAX_CALLS);
}

/* Guards against a snapshot that is lost because two writers overlap or a
   copy of its first part arrives late, and against an incomplete snapshot. */
START_TEST(snapshot_parts_are_assembled)
{
	put_part("a", 5, 0, false);
	put_part("b", 7, 0, false);
	put_part("a", 5, 1, false);
	put_part("a", 5, 0, false);
	put_part("a", 5, 2, true);
	put_part("b", 7, 2, true);
	put_part("c", 9, 1, true);
	load();
	ck_assert_int_eq(load_count, 1);
	ck_assert_str_eq(loaded, "a0a1a2");
	ck_assert_int_eq(snapshot_newest(snapshot), 5);
	snapshots.first = 4;
	snapshot_poll(snapshot);
	answer_calls(MAX_CALLS);
	ck_assert_int_eq(snapshot_newest(snapshot), -1);
	load();
	ck_assert_ptr_null(loaded);
}
END_TEST

/* Guards against a broken snapshot after lost answers, and a writer that
   appends endlessly while every answer is lost. */
START_TEST(snapshot_write_survives_lost_answers)
{
	size_t len = 70000;
	char *text = malloc(len + 1);
	int answered;

	memset(text, 'x', len);
	text[len] = 0;
	snapshot_write(snapshot, strdup(text), len, 11);
	answer_calls(1);
	append_status = ERR_UNKNOWN;
	answer_calls(1);
	append_status = 0;
	answer_calls(MAX_CALLS);
	ck_assert(!snapshot_busy(snapshot));
	ck_assert_int_eq(snapshot_newest(snapshot), 11);
	load();
	ck_assert_str_eq(loaded, text);
	append_status = ERR_UNKNOWN;
	snapshot_write(snapshot, text, len, 12);
	answered = answer_calls(1000);
	ck_assert_int_lt(answered, 1000);
	ck_assert(!snapshot_busy(snapshot));
	ck_assert_int_eq(snapshot_newest(snapshot), 11);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("replica");
	TCase *tcase = tcase_create("replica, snapshots, proposer");

	apr_initialize();
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, empty_record_is_skipped);
	tcase_add_test(tcase, lost_answer_applies_once);
	tcase_add_test(tcase, duplicate_of_unseen_copy_is_unknown);
	tcase_add_test(tcase, no_retry_after_log_advanced);
	tcase_add_test(tcase, refused_append_is_unavailable);
	tcase_add_test(tcase, adopt_never_goes_back);
	tcase_add_test(tcase, tail_reports_gone);
	tcase_add_test(tcase, snapshot_parts_are_assembled);
	tcase_add_test(tcase, snapshot_write_survives_lost_answers);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
