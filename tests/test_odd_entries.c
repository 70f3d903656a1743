/*
 * Unit tests of what another writer may leave where workers, operators, callers
 * or nodes write: deep nesting, numbers out of range, odd addresses and keys.
 * Such an entry names no worker, ends no process, and the others hold.
 */

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>
#include <check.h>

#include "call.h"
#include "evloop.h"
#include "fleet_play.h"
#include "fleet_sim.h"
#include "fleet_text.h"
#include "host_api.h"
#include "host_plan.h"
#include "index.h"
#include "jcursor.h"
#include "job.h"
#include "node_int.h"
#include "place.h"
#include "nodeconf.h"
#include "record.h"
#include "store.h"
#include "suite.h"
#include "teamconf.h"
#include "wire.h"

enum {
	DEEP_LEVELS = 300000,
	LONG_DIGITS = 5000,
	HUGE_BYTES = 1024 * 1024,
	KEY_MAX_BYTES = 255, /* of a record of the log service */
	REWRITES = 100,
	CALL_TIMEOUT_MS = 2000,
	REQUEST_BYTES = 4096,
	START_MS = 3000,
	JOB_MS = 30000,
	STEP_MS = 100,
	REWRITE_MS = 1000,
	ODD_MS = 8000 /* longer than a lease of a worker or a pool */
};

#define JOB_ID "0123456789abcdef"

static const struct {
	const char *name;
	const char *value;
} good_fields[] = {
	{ "service", "\"pool\"" },
	{ "addr", "\"127.0.0.1:4000\"" },
	{ "zone", "\"z\"" },
	{ "version", "\"v1\"" },
	{ "slots", "4" },
	{ "state", "\"ready\"" },
	{ "coldLeftMs", "0" },
	{ "seq", "7" },
	{ "born", "1796472506000" },
	{ "machine", "\"m1\"" },
	{ "capacity", "{\"cpu\":4000,\"memMb\":1000,\"gpu\":0}" },
	{ "labels", "[\"small\",\"r1-3\"]" },
};

/* A worker's entry with another value of one field; NULL: without it. */
static char *make_entry(const char *field, const char *value)
{
	GString *text = g_string_new("{");

	for (size_t i = 0; i < G_N_ELEMENTS(good_fields); i++) {
		bool odd = !strcmp(good_fields[i].name, field);

		if (odd && !value)
			continue;
		g_string_append_printf(text, "%s\"%s\":%s",
				       text->len > 1 ? "," : "",
				       good_fields[i].name,
				       odd ? value : good_fields[i].value);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static char *repeat(const char *piece, size_t count)
{
	GString *text = g_string_new(NULL);

	while (count--)
		g_string_append(text, piece);
	return g_string_free(text, FALSE);
}

static int decode_worker(const char *id, const char *text,
			 struct worker_entry *entry)
{
	struct err err = { .kind = ERR_OK };

	return wire_decode_worker(id, text, strlen(text), entry, &err);
}

static const struct {
	const char *field;
	const char *value; /* NULL: missing */
} odd_fields[] = {
	{ "addr", "\"127.0.0.1:0\"" },
	{ "addr", "\"127.0.0.1:65536\"" },
	{ "addr", "\"127.0.0.1:99999\"" },
	{ "addr", "\"127.0.0.1:4294971296\"" },
	{ "addr", "\"127.0.0.1:18446744073709555616\"" },
	{ "addr", "\"127.0.0.1:-1\"" },
	{ "addr", "\"127.0.0.1:+80\"" },
	{ "addr", "\"127.0.0.1: 80\"" },
	{ "addr", "\"127.0.0.1:http\"" },
	{ "addr", "\"127.0.0.1:80x\"" },
	{ "addr", "\"127.0.0.1:80 \"" },
	{ "addr", "\"127.0.0.1:0x50\"" },
	{ "addr", "\"127.0.0.1:80/x\"" },
	{ "addr", "\"127.0.0.1:80\\u0000\"" },
	{ "addr", "\"127.0.0.1:80\\r\\n\"" },
	{ "addr", "\"127.0.0.1:\"" },
	{ "addr", "\"127.0.0.1\"" },
	{ "addr", "\"127.0.0.1:80:81\"" },
	{ "addr", "\"a@127.0.0.1:80\"" },
	{ "addr", "\"127.0.0.1/:80\"" },
	{ "addr", "\"127.0.0.1#:80\"" },
	{ "addr", "\"a b:80\"" },
	{ "addr", "\"h\xff:80\"" },
	{ "addr", "\":80\"" },
	{ "addr", "\":\"" },
	{ "addr", "\"\"" },
	{ "addr", "80" },
	{ "addr", "null" },
	{ "addr", "[\"127.0.0.1:80\"]" },
	{ "addr", NULL },
	{ "service", "\"pool\\u0000x\"" },
	{ "service", "\"po\xfful\"" },
	{ "service", "\"po\xe2\x82\"" },
	{ "service", "\"\"" },
	{ "service", "5" },
	{ "service", NULL },
	{ "zone", "\"z\\u0000\"" },
	{ "zone", "{}" },
	{ "zone", NULL },
	{ "state", "\"ready\\u0000x\"" },
	{ "state", "\"READY\"" },
	{ "state", "\"gone\"" },
	{ "state", "true" },
	{ "state", "null" },
	{ "state", NULL },
	{ "born", "-1" },
	{ "born", "\"1796472506000\"" },
	{ "born", "9007199254740993" },
	{ "born", "9223372036854775807" },
	{ "born", "9223372036854775808" },
	{ "born", "-9223372036854775809" },
	{ "born", "1e400" },
	{ "born", "-1e400" },
	{ "born", "NaN" },
	{ "born", "[5]" },
	{ "machine", "5" },
	{ "machine", "\"m1\\u0000x\"" },
	{ "machine", "\"m\xff\"" },
	{ "machine", "{}" },
	{ "capacity", NULL },
	{ "capacity", "null" },
	{ "capacity", "4000" },
	{ "capacity", "{\"cpu\":-1,\"memMb\":1}" },
	{ "capacity", "{\"cpu\":1,\"memMb\":-2147483649}" },
	{ "capacity", "{\"cpu\":-1e400,\"memMb\":1}" },
	{ "capacity", "{\"cpu\":NaN,\"memMb\":1}" },
	{ "capacity", "{\"cpu\":\"4000\",\"memMb\":1}" },
	{ "labels", "\"small\"" },
	{ "labels", "{}" },
	{ "labels", "[5]" },
	{ "labels", "[null]" },
	{ "labels", "[[\"small\"]]" },
	{ "labels", "[\"small\\u0000x\"]" },
	{ "labels", "[\"sm\xff\"]" },
	{ "slots", "\"four\"" },
	{ "seq", "[]" },
	{ "coldLeftMs", "\"0\"" },
};

/*
 * Guards against an entry with an odd field that names a worker: orders would
 * go to another address, and capacity that does not exist would be counted.
 */
START_TEST(entries_with_an_odd_field_are_refused)
{
	struct worker_entry entry;
	char *text = make_entry(odd_fields[_i].field, odd_fields[_i].value);

	ck_assert_msg(decode_worker("w1", text, &entry) < 0,
		      "taken as a worker: %s", text);
	g_free(text);
}
END_TEST

/* Guards against a check that refuses entries of workers. */
START_TEST(entries_of_workers_are_read)
{
	static const struct {
		const char *field;
		const char *value;
	} rows[] = {
		{ "", NULL },
		{ "addr", "\"127.0.0.1:1\"" },
		{ "addr", "\"127.0.0.1:65535\"" },
		{ "addr", "\"worker-3.rack_1.example:80\"" },
		{ "addr", "\"[::1]:80\"" },
		{ "state", "\"draining\"" },
		{ "machine", NULL },
		{ "machine", "null" },
		{ "labels", NULL },
		{ "labels", "[]" },
		{ "labels", "[\"caf\xc3\xa9\"]" },
		{ "born", NULL },
		{ "born", "0" },
		{ "seq", "18446744073709551616" },
		{ "capacity", "{\"cpu\":1000000000,\"memMb\":0}" },
		{ "capacity", "{\"cpu\":1e400,\"memMb\":4294967297}" },
		{ "capacity", "{\"cpu\":4e3,\"memMb\":1000.5,\"gpu\":null}" },
		{ "version", "{\"other\":[1]}" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct worker_entry entry;
		char *text = make_entry(rows[i].field, rows[i].value);

		ck_assert_msg(decode_worker("w1", text, &entry) == 0, "%s",
			      text);
		ck_assert_str_eq(entry.pool, "pool");
		g_free(text);
	}
}
END_TEST

/*
 * Guards against text that is read only in part, so that its end is ignored,
 * and against values that are not entries at all.
 */
START_TEST(bytes_that_are_no_entry_are_refused)
{
	struct worker_entry entry;
	char *good = make_entry("", NULL);
	char *texts[] = {
		g_strdup(""),
		g_strdup(" "),
		g_strdup("null"),
		g_strdup("[]"),
		g_strdup("5"),
		g_strdup("\"w1\""),
		g_strdup("\xff\xfe"),
		g_strndup(good, strlen(good) - 1),
		g_strconcat(good, "x", NULL),
		g_strconcat(good, good, NULL),
		g_strconcat(good, " }", NULL),
		g_strconcat("[", good, "]", NULL),
		repeat("x", HUGE_BYTES),
		repeat("[", HUGE_BYTES),
		repeat("{\"a\":", HUGE_BYTES / 5),
		repeat("9", LONG_DIGITS),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		ck_assert_msg(decode_worker("w1", texts[i], &entry) < 0,
			      "case %zu: %.200s", i, texts[i]);
		g_free(texts[i]);
	}
	g_free(good);
}
END_TEST

/* Guards against a text of a megabyte, or a number of thousands of digits. */
START_TEST(huge_fields_are_refused)
{
	static const char *const fields[] = { "service", "addr", "zone",
					      "machine" };
	struct worker_entry entry;
	char *huge = repeat("x", HUGE_BYTES);
	char *digits = repeat("9", LONG_DIGITS);

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		char *value = g_strdup_printf("\"%s:80\"", huge);
		char *text = make_entry(fields[i], value);

		ck_assert_msg(decode_worker("w1", text, &entry) < 0, "%s",
			      fields[i]);
		g_free(value);
		g_free(text);
	}
	for (int i = 0; i < 2; i++) {
		char *value = g_strdup_printf("{\"cpu\":%s%s,\"memMb\":%s.5}",
					      i ? "-" : "", digits, digits);
		char *text = make_entry("capacity", value);

		ck_assert_int_eq(decode_worker("w1", text, &entry) < 0, i);
		/* Not a small or a negative one, see test_room.c. */
		if (!i)
			ck_assert_int_eq(entry.cpu_milli, INT32_MAX);
		g_free(value);
		g_free(text);
	}
	g_free(huge);
	g_free(digits);
}
END_TEST

/*
 * Guards against an id that cannot be sent in a header, that no record of a job
 * can name, or that is taken for another one.
 */
START_TEST(entries_under_an_odd_id_are_refused)
{
	static const char *const ids[] = {
		"",	 "w 1",	      "w\r\nX-Header: 1", "w\x01",
		"w\x7f", "w\xff\xfe", "w\xc3\xa9",
	};
	struct worker_entry entry;
	char *text = make_entry("", NULL);
	char *id = repeat("w", LIMIT_NAME_BYTES);

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		ck_assert_msg(decode_worker(ids[i], text, &entry) < 0, "id %zu",
			      i);
	ck_assert_int_lt(decode_worker(id, text, &entry), 0);
	id[LIMIT_NAME_BYTES - 1] = 0;
	ck_assert_int_eq(decode_worker(id, text, &entry), 0);
	ck_assert_int_eq(decode_worker("w-1.a_b:c/d~e", text, &entry), 0);
	g_free(id);
	g_free(text);
}
END_TEST

/* A node that holds only what the records of the registry touch. */
struct registry {
	struct node node;
	int64_t offset;
};

static void registry_open(struct registry *registry)
{
	memset(registry, 0, sizeof(*registry));
	registry->node.workers = worker_table_create();
	registry->node.config.decoders.worker = wire_decode_worker;
}

static void registry_put(struct registry *registry, const char *key,
			 size_t key_len, const char *value)
{
	struct stream_record record = {
		.offset = registry->offset++,
		.key = key,
		.key_len = key_len,
		.value = value,
		.value_len = value ? strlen(value) : 0,
	};

	node_on_worker_record(&registry->node, &record);
}

static bool is_listed(const struct worker_table *workers, const char *id)
{
	const struct worker *worker = worker_find(workers, id);

	return worker && worker->listed;
}

/*
 * Guards against a key with a zero byte that is taken for the id before that
 * byte: its entry replaced or removed the one of a worker.
 */
START_TEST(a_key_with_a_zero_byte_is_no_other_id)
{
	struct registry registry;
	char *good = make_entry("", NULL);
	char *other = make_entry("addr", "\"127.0.0.1:5000\"");
	struct worker_table *workers;

	registry_open(&registry);
	workers = registry.node.workers;
	registry_put(&registry, "w1", 2, good);
	registry_put(&registry, "w1\0x", 4, "{");
	ck_assert(is_listed(workers, "w1"));
	registry_put(&registry, "w1\0x", 4, NULL);
	ck_assert(is_listed(workers, "w1"));
	registry_put(&registry, "w1\0x", 4, other);
	ck_assert_str_eq(worker_find(workers, "w1")->entry.address,
			 "127.0.0.1:4000");
	ck_assert_uint_eq(workers->list->len, 1);
	worker_table_destroy(workers);
	g_free(good);
	g_free(other);
}
END_TEST

/*
 * Guards against an odd entry under the id of a worker after which its tasks
 * are no longer known to be there, or after which it cannot come back.
 */
START_TEST(an_odd_entry_of_a_worker_keeps_its_state)
{
	struct registry registry;
	char *good = make_entry("", NULL);
	struct worker *worker;

	registry_open(&registry);
	registry_put(&registry, "w1", 2, good);
	worker = worker_find(registry.node.workers, "w1");
	worker->tasks = 2;
	worker->lease_end_ms = 700;
	for (size_t i = 0; i < G_N_ELEMENTS(odd_fields); i++) {
		char *odd =
			make_entry(odd_fields[i].field, odd_fields[i].value);

		registry_put(&registry, "w1", 2, odd);
		ck_assert_msg(!worker->listed, "%s", odd);
		ck_assert_str_eq(worker->entry.address, "127.0.0.1:4000");
		ck_assert_int_eq(worker->entry.cpu_milli, 4000);
		ck_assert_int_eq(worker->tasks, 2);
		ck_assert_int_eq(worker->lease_end_ms, 700);
		registry_put(&registry, "w1", 2, good);
		ck_assert(worker->listed);
		g_free(odd);
	}
	ck_assert(worker_find(registry.node.workers, "w1") == worker);
	worker_table_destroy(registry.node.workers);
	g_free(good);
}
END_TEST

static int decoded_cfgs;

static int count_cfg(const char *text, size_t len, struct cfg **cfg,
		     struct err *err)
{
	(void)text;
	(void)len;
	(void)cfg;
	decoded_cfgs++;
	return err_set(err, ERR_INVALID, "a test");
}

/*
 * Guards against records of operators under a key with a zero byte that is taken
 * for the key before that byte, and under a key that is empty.
 */
START_TEST(an_odd_key_is_no_configuration)
{
	static const struct {
		const char *key;
		size_t len;
	} keys[] = { { "", 0 },	   { "config\0x", 8 }, { "confi", 5 },
		     { "wav", 3 }, { "\0", 1 },	       { "config", 6 } };
	struct node node = {
		.config.decoders.cfg = count_cfg,
		.config.streams = { .cfg_key = "config",
				    .wave_prefix = "wave/" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		struct stream_record record = { .key = keys[i].key,
						.key_len = keys[i].len,
						.value = "{",
						.value_len = 1 };

		node_on_operator_record(&node, &record);
	}
	ck_assert_int_eq(decoded_cfgs, 1);
}
END_TEST

static int rejections; /* lines about rejected entries */
static bool raw_bytes; /* one of them holds control characters */

static GLogWriterOutput count_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer arg)
{
	(void)level;
	(void)arg;
	for (gsize i = 0; i < count; i++) {
		const char *text = fields[i].value;

		if (strcmp(fields[i].key, "MESSAGE") ||
		    !strstr(text, "rejected"))
			continue;
		rejections++;
		for (; *text; text++)
			raw_bytes |= (unsigned char)*text < ' ' ||
				     (unsigned char)*text > '~';
	}
	return G_LOG_WRITER_HANDLED;
}

/*
 * Guards against a log that one odd entry fills, rewritten each second, and
 * against an id that writes lines of its own into it.
 */
START_TEST(a_rewritten_odd_entry_is_logged_once)
{
	struct registry registry;
	char *good = make_entry("", NULL);

	registry_open(&registry);
	for (int i = 0; i < REWRITES; i++)
		registry_put(&registry, "w1", 2, "{");
	ck_assert_int_eq(rejections, 1);
	/* What is odd anew is logged again. */
	registry_put(&registry, "w1", 2, good);
	registry_put(&registry, "w1", 2, "{");
	registry_put(&registry, "w1", 2, NULL);
	registry_put(&registry, "w1", 2, "{");
	ck_assert_int_eq(rejections, 3);
	registry_put(&registry, "w\n2\xff", 4, "{");
	registry_put(&registry, "w1\0x", 4, "{");
	ck_assert_int_eq(rejections, 5);
	ck_assert(!raw_bytes);
	worker_table_destroy(registry.node.workers);
	g_free(good);
}
END_TEST

/* Guards against ids that differ each time and fill the memory. */
START_TEST(rejected_ids_are_remembered_in_bounded_number)
{
	struct registry registry;

	registry_open(&registry);
	for (int i = 0; i < 20000; i++) {
		char id[LIMIT_NAME_BYTES];

		snprintf(id, sizeof(id), "w%d", i);
		registry_put(&registry, id, strlen(id), "{");
	}
	ck_assert_uint_le(g_hash_table_size(registry.node.workers->rejected),
			  WORKER_MAX_REJECTED);
	ck_assert_uint_eq(registry.node.workers->list->len, 0);
	worker_table_destroy(registry.node.workers);
}
END_TEST

/* Decodes the text as each kind of message; none may be valid. */
static void refuse_everywhere(const char *text, size_t len)
{
	struct err err = { .kind = ERR_OK };
	struct cfg *cfg = NULL;
	struct job_spec spec;
	struct worker_entry entry;
	struct worker_report report;
	struct host_wave wave;
	struct nodeconf nodeconf;
	struct record rec;
	struct host_plans *plans = host_plans_create();

	ck_assert_int_lt(wire_decode_cfg(text, len, &cfg, &err), 0);
	ck_assert_int_lt(wire_decode_spec(text, len, &spec, &err), 0);
	ck_assert_int_lt(wire_decode_worker("w1", text, len, &entry, &err), 0);
	ck_assert_int_lt(wire_decode_report(text, len, &report, &err), 0);
	ck_assert_int_lt(wire_decode_wave(text, len, &wave, &err), 0);
	ck_assert_int_lt(nodeconf_parse(text, len, &nodeconf, &err), 0);
	ck_assert_int_lt(record_parse(&rec, text, len, &err), 0);
	ck_assert_ptr_null(teamconf_parse(text, len, &err));
	ck_assert_ptr_null(fleet_text_decode(text, len, &err));
	ck_assert_int_lt(
		host_plan_apply(plans, "m1", 1, text, len, false, 1, &err), 0);
	host_plans_destroy(plans);
}

/*
 * Guards against deep nesting that ends the process: a parser or the release of
 * what it has read that calls itself for each level exhausts the stack.
 */
START_TEST(deep_nesting_ends_no_decoder)
{
	static const struct {
		const char *before, *open, *close, *after;
	} shapes[] = {
		{ "", "[", "", "" },
		{ "", "[", "]", "" },
		{ "", "{\"a\":", "", "" },
		{ "", "{\"a\":", "}", "" },
		{ "", "[{\"a\":", "}]", "" },
		{ "{\"labels\":", "[", "]", "}" },
		{ "{\"capacity\":", "{\"cpu\":", "}", "}" },
		{ "{\"clockMs\":1,\"running\":", "[", "]", "}" },
		{ "{\"steps\":", "[", "]", "}" },
		{ "{\"version\":1,\"routes\":", "[", "", "" },
		{ "{\"wave\":1,\"machines\":", "[", "]", "}" },
	};
	char *open = repeat(shapes[_i].open, DEEP_LEVELS);
	char *close = repeat(shapes[_i].close, DEEP_LEVELS);
	char *text = g_strconcat(shapes[_i].before, open, close,
				 shapes[_i].after, NULL);

	refuse_everywhere(text, strlen(text));
	g_free(open);
	g_free(close);
	g_free(text);
}
END_TEST

/*
 * Guards against a comment that ends elsewhere for json-c than for the scan of
 * keys: the scan then sees nesting that was never checked for its depth.
 */
START_TEST(comments_do_not_hide_deep_nesting)
{
	char *deep = repeat("[", DEEP_LEVELS);
	char *text = g_strconcat("/***/ ", deep, " /* */ {}", NULL);
	struct err err = { .kind = ERR_OK };

	json_object_put(jcursor_parse(text, strlen(text), &err));
	err.kind = ERR_OK;
	json_object_put(jcursor_parse_bytes(text, strlen(text), &err));
	g_free(deep);
	g_free(text);
}
END_TEST

#define REPORT(rest) "{\"clockMs\":5,\"born\":6" rest "}"
#define ROW ",\"running\":[[\"" JOB_ID ".0.0.0\","
#define END ",\"finished\":[["

/*
 * Guards against a report whose numbers overflow in sums, lose their upper bits
 * so that one run looks like another, or cannot be read back from a record.
 */
START_TEST(reports_out_of_range_are_refused)
{
	static const char *const texts[] = {
		"{\"clockMs\":9223372036854775807}",
		"{\"clockMs\":9007199254740993}",
		"{\"clockMs\":1e400}",
		"{\"clockMs\":-1}",
		"{\"clockMs\":\"5\"}",
		"{\"clockMs\":5,\"born\":9223372036854775807}",
		"{\"clockMs\":5,\"born\":-1}",
		"{\"clockMs\":5,\"born\":\"6\"}",
		REPORT(",\"running\":{}"),
		REPORT(",\"finished\":\"\""),
		REPORT(",\"running\":[5]"),
		REPORT(",\"running\":[[]]"),
		REPORT(",\"finished\":[5]"),
		REPORT(",\"finished\":[null]"),
		REPORT(",\"finished\":[{}]"),
		REPORT(ROW "4294967297,\"\",0]]"),
		REPORT(ROW "-1,\"\",0]]"),
		REPORT(ROW "1e400,\"\",0]]"),
		REPORT(ROW "\"1\",\"\",0]]"),
		REPORT(ROW "1,5,0]]"),
		REPORT(ROW "1,\"a\\u0000b\",0]]"),
		REPORT(",\"running\":[[5,1,\"\",0]]"),
		REPORT(",\"running\":[[\"\",1,\"\",0]]"),
		REPORT(",\"running\":[[\"" JOB_ID ".0.0.0\\u0000\",1,\"\",0]]"),
		REPORT(END "9223372036854775807,\"t\",1,\"done\",\"\"]]"),
		REPORT(END "1e400,\"t\",1,\"done\",\"\"]]"),
		REPORT(END "\"1\",\"t\",1,\"done\",\"\"]]"),
		REPORT(END "1,\"t\",4294967297,\"done\",\"\"]]"),
		REPORT(END "1,\"t\",1,5,\"\"]]"),
		REPORT(END "1,5,1,\"done\",\"\"]]"),
		REPORT(END "1,\"t\",1]]"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct err err = { .kind = ERR_OK };
		struct worker_report report = { 0 };
		int status = wire_decode_report(texts[i], strlen(texts[i]),
						&report, &err);

		worker_report_clear(&report);
		ck_assert_msg(status < 0, "%s", texts[i]);
	}
}
END_TEST

/*
 * Guards against figures that overflow in later differences, and against a
 * report that is lost for the sake of such a figure.
 */
START_TEST(figures_of_runs_are_limited)
{
	static const struct {
		const char *rest;
		int32_t percent, load;
	} rows[] = {
		{ "41,7", 41, 7 },
		{ "41", 41, 0 },
		{ "2147483648,4294967297", INT32_MAX, INT32_MAX },
		{ "-9223372036854775808,-1", 0, 0 },
		{ "1e400,-1e400", INT32_MAX, 0 },
		{ "NaN,[]", 0, 0 },
		{ "null,null", 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct err err = { .kind = ERR_OK };
		struct worker_report report = { 0 };
		char *text = g_strdup_printf(REPORT(ROW "1,\"\",%s]]"),
					     rows[i].rest);

		ck_assert_msg(wire_decode_report(text, strlen(text), &report,
						 &err) == 0,
			      "%s", text);
		ck_assert_int_eq(report.run_count, 1);
		ck_assert_int_eq(report.runs[0].percent, rows[i].percent);
		ck_assert_int_eq(report.runs[0].load_metric, rows[i].load);
		worker_report_clear(&report);
		g_free(text);
	}
}
END_TEST

/*
 * Guards against a checkpoint that fits no record: the next owner could read
 * none of the job's tasks, and would start them anew.
 */
START_TEST(checkpoints_beyond_a_record_are_refused)
{
	for (int i = 0; i < 2; i++) {
		struct err err = { .kind = ERR_OK };
		struct worker_report report = { 0 };
		char *checkpoint = repeat("c", JOB_MAX_SPEC_BYTES - 1 + i);
		char *text =
			g_strdup_printf(REPORT(ROW "1,\"%s\",0]]"), checkpoint);
		int status =
			wire_decode_report(text, strlen(text), &report, &err);

		worker_report_clear(&report);
		ck_assert_int_eq(status < 0, i);
		g_free(checkpoint);
		g_free(text);
	}
}
END_TEST

#define SPEC(rest) "{\"spec\":\"t\",\"steps\":[{\"count\":1}]" rest "}"
#define STEP(rest) "{\"spec\":\"t\",\"steps\":[{\"count\":1" rest "}]}"

/* Guards against times of a job that overflow, and fields of another type. */
START_TEST(jobs_out_of_range_are_refused)
{
	static const char *const texts[] = {
		SPEC(",\"repeatCount\":3,\"startAtMs\":9223372036854775807,"
		     "\"intervalMs\":5"),
		SPEC(",\"repeatCount\":3,\"intervalMs\":9223372036854775807"),
		SPEC(",\"repeatCount\":3,\"startAtMs\":1e400"),
		SPEC(",\"repeatCount\":3,\"startAtMs\":-1e400"),
		SPEC(",\"repeatCount\":99999999999"),
		STEP(",\"cpu\":1e400,\"dependsOn\":[\"x\"]"),
		STEP(",\"dependsOn\":[null]"),
		STEP(",\"dependsOn\":[1e400]"),
		STEP(",\"dependsOn\":[4294967296]"),
		STEP(",\"image\":\"a\\u0000b\""),
		"{\"spec\":\"a\\u0000b\",\"steps\":[{\"count\":1}]}",
		"{\"spec\":\"t\",\"steps\":[null]}",
		"{\"spec\":\"t\",\"steps\":{}}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct err err = { .kind = ERR_OK };
		struct job_spec spec;
		int status = wire_decode_spec(texts[i], strlen(texts[i]), &spec,
					      &err);

		if (status == 0)
			job_spec_clear(&spec);
		ck_assert_msg(status < 0, "%s", texts[i]);
	}
}
END_TEST

/*
 * Guards against sums of the largest accepted numbers that overflow, seen by the
 * sanitizer: times of a job, its objective, and the clock of a worker.
 */
START_TEST(largest_accepted_numbers_do_not_overflow)
{
	static const char job_text[] =
		SPEC(",\"repeatCount\":20000,\"startAtMs\":9007199254740992,"
		     "\"intervalMs\":450359962737");
	static const char cfg_text[] =
		"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
		"\"prefix\":\"/\",\"service\":\"pool\",\"stretch\":1e6,"
		"\"sloMs\":9007199254740992}],\"services\":[]}";
	static const char report_text[] =
		"{\"clockMs\":9007199254740992,\"born\":9007199254740992}";
	struct err err = { .kind = ERR_OK };
	struct job job = { .occurrences = 20000,
			   .queue = "q",
			   .accepted_ms = LIMIT_NUMBER_MAX };
	struct worker worker = { 0 };
	struct worker_report report;
	struct cfg *cfg = NULL;

	ck_assert_int_eq(
		wire_decode_spec(job_text, strlen(job_text), &job.spec, &err),
		0);
	job.spec.steps[0].estimate_ms = INT32_MAX;
	ck_assert_int_gt(job_due_ms(&job, 19999), LIMIT_NUMBER_MAX);
	ck_assert_int_eq(
		wire_decode_cfg(cfg_text, strlen(cfg_text), &cfg, &err), 0);
	ck_assert_int_gt(place_target_ms(cfg, &job), LIMIT_NUMBER_MAX);
	ck_assert_int_eq(wire_decode_report(report_text, strlen(report_text),
					    &report, &err),
			 0);
	worker.clock_ms = report.clock_ms;
	ck_assert_int_gt(worker_clock_ms(&worker, 1000), report.clock_ms);
	worker_report_clear(&report);
	job_spec_clear(&job.spec);
	cfg_destroy(cfg);
}
END_TEST

#define CFG(field)                                                             \
	"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\","           \
	"\"prefix\":\"/\",\"service\":\"pool\"," field "}],\"services\":[]}"

/* Guards against an objective of a queue that is no time. */
START_TEST(configurations_out_of_range_are_refused)
{
	static const char *const fields[] = {
		"\"stretch\":NaN",
		"\"stretch\":1e400",
		"\"stretch\":-1",
		"\"stretch\":1e300",
		"\"sloMs\":9223372036854775807",
		"\"sloMs\":-1e400",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		struct err err = { .kind = ERR_OK };
		struct cfg *cfg = NULL;
		char *text = g_strdup_printf(CFG("%s"), fields[i]);
		int status = wire_decode_cfg(text, strlen(text), &cfg, &err);

		cfg_destroy(cfg);
		ck_assert_msg(status < 0, "%s", text);
		g_free(text);
	}
}
END_TEST

#define WAVE(hosts, time)                                                      \
	"{\"wave\":1,\"machines\":[" hosts "],\"completeByS\":" time "}"

/* Guards against a wave whose time overflows, or hosts that are no names. */
START_TEST(waves_out_of_range_are_refused)
{
	static const char *const texts[] = {
		WAVE("\"m\"", "9223372036854775807"),
		WAVE("\"m\"", "-1e400"),
		"{\"wave\":9223372036854775807,\"machines\":[\"m\"]}",
		"{\"wave\":1,\"machines\":[5]}",
		"{\"wave\":1,\"machines\":[{}]}",
		"{\"wave\":1,\"machines\":[null]}",
		"{\"wave\":1,\"machines\":[\"m\\u0000x\"]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct err err = { .kind = ERR_OK };
		struct host_wave wave;
		int status = wire_decode_wave(texts[i], strlen(texts[i]), &wave,
					      &err);

		if (status == 0)
			g_free(wave.hosts);
		ck_assert_msg(status < 0, "%s", texts[i]);
	}
}
END_TEST

/* Serves one request with a fixed body. */
struct server {
	int fd;
	char address[32];
	const char *body;
	char request[REQUEST_BYTES];
	pthread_t thread;
};

static void *serve(void *arg)
{
	struct server *server = arg;
	int fd = accept(server->fd, NULL, NULL);
	size_t len = 0;
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\nConnection: close\r\n"
				     "Content-Length: %zu\r\n\r\n",
				     strlen(server->body));

	while (len + 1 < sizeof(server->request) &&
	       !strstr(server->request, "\r\n\r\n")) {
		ssize_t count = recv(fd, server->request + len,
				     sizeof(server->request) - len - 1, 0);

		if (count <= 0)
			break;
		len += (size_t)count;
	}
	ck_assert_int_gt(send(fd, head, strlen(head), MSG_NOSIGNAL), 0);
	ck_assert_int_ge(
		send(fd, server->body, strlen(server->body), MSG_NOSIGNAL), 0);
	close(fd);
	g_free(head);
	return NULL;
}

static void server_start(struct server *server, const char *body)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);

	memset(server, 0, sizeof(*server));
	server->body = body;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_ge(server->fd, 0);
	ck_assert_int_eq(bind(server->fd, (struct sockaddr *)&at, sizeof(at)),
			 0);
	ck_assert_int_eq(listen(server->fd, 1), 0);
	ck_assert_int_eq(getsockname(server->fd, (struct sockaddr *)&at, &len),
			 0);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
		 ntohs(at.sin_port));
	pthread_create(&server->thread, NULL, serve, server);
}

static void server_stop(struct server *server)
{
	pthread_join(server->thread, NULL);
	close(server->fd);
}

/* What a call brought, copied as far as the tests look at it. */
struct answer {
	struct evloop *evloop;
	bool done;
	int outcome;
	uint32_t count;
	size_t key_len;
	bool connected;
	int status;
};

static void answer_done(struct answer *answer)
{
	answer->done = true;
	evloop_stop(answer->evloop);
}

static void on_batch(void *arg, const struct stream_batch *batch)
{
	struct answer *answer = arg;

	answer->outcome = batch->outcome;
	answer->count = batch->count;
	if (batch->count)
		answer->key_len = batch->records[0].key_len;
	answer_done(answer);
}

static void on_hosts(void *arg, const struct host_page *page)
{
	struct answer *answer = arg;

	answer->outcome = page->outcome;
	answer->count = page->count;
	answer_done(answer);
}

static void on_response(void *arg, const struct call_response *response)
{
	struct answer *answer = arg;

	answer->status = response->status;
	answer->connected = response->connected;
	answer_done(answer);
}

/*
 * Reads a page of the newest records that continues after a key, or if from is not
 * negative the records from that offset on.
 */
static struct answer read_store(struct server *server, const char *after_key,
				int64_t from)
{
	const struct stream_id id = { "keyed.servers", 0 };
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct store *store = store_create(client, server->address);
	const struct stream_io *io = store_io(store);
	struct answer answer = { .evloop = evloop };

	if (from < 0)
		io->newest(io->io, id, after_key, on_batch, &answer);
	else
		io->read(io->io, id, from, 0, on_batch, &answer);
	evloop_run(evloop);
	ck_assert(answer.done);
	store_destroy(store);
	call_client_destroy(client);
	evloop_destroy(evloop);
	return answer;
}

/*
 * Guards against a key at the end of a page that is too long for the path of
 * the next request: the page is refused or repeated, and the stream is never
 * followed.
 */
START_TEST(a_page_continues_after_the_longest_key)
{
	struct server server;
	char *key = repeat("\xff", KEY_MAX_BYTES);
	char *escaped = repeat("%FF", KEY_MAX_BYTES);

	server_start(&server, "{\"items\":[],\"more\":false,\"end\":3}");
	ck_assert_int_eq(read_store(&server, key, -1).outcome, STREAM_OK);
	server_stop(&server);
	ck_assert_msg(strstr(server.request, escaped) != NULL, "%.300s",
		      server.request);
	g_free(key);
	g_free(escaped);
}
END_TEST

/* Guards against an odd item that hides the others of its page. */
START_TEST(odd_items_of_a_page_hide_no_others)
{
	static const char body[] =
		"{\"items\":[{\"key\":\"w\\u00001\",\"value\":\"e30=\","
		"\"offset\":0},{\"key\":\"\xff\",\"value\":\"e30=\","
		"\"offset\":1},{\"key\":5},null,7,{\"key\":\"w2\",\"value\":"
		"\"!!\",\"offset\":1e400}],\"more\":false,\"end\":3}";
	struct server server;
	struct answer answer;

	server_start(&server, body);
	answer = read_store(&server, NULL, -1);
	server_stop(&server);
	ck_assert_int_eq(answer.outcome, STREAM_OK);
	ck_assert_uint_ge(answer.count, 3);
	/* The key is not cut at its zero byte. */
	ck_assert_uint_eq(answer.key_len, 3);
}
END_TEST

/*
 * Guards against records that are never read: they were deleted while a read waited
 * for them, and its answer begins with the first offset that is left.
 */
START_TEST(records_deleted_during_a_read_are_not_passed_over)
{
	/* End and first offset, whose bytes are all 1. */
	static const char body[] = "\1\1\1\1\1\1\1\1\1\1\1\1\1\1\1\1";
	const int64_t first = 0x0101010101010101;
	struct server server;

	server_start(&server, body);
	ck_assert_int_eq(read_store(&server, NULL, first - 1).outcome,
			 STREAM_DELETED);
	server_stop(&server);
	server_start(&server, body);
	ck_assert_int_eq(read_store(&server, NULL, first).outcome, STREAM_OK);
	server_stop(&server);
}
END_TEST

static struct answer list_hosts(const char *body)
{
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct answer answer = { .evloop = evloop };
	struct server server;
	struct host_api *api;
	const struct host_io *io;

	server_start(&server, body);
	api = host_api_create(client, server.address);
	io = host_api_io(api);
	io->list(io->io, NULL, on_hosts, &answer);
	evloop_run(evloop);
	ck_assert(answer.done);
	server_stop(&server);
	host_api_destroy(api);
	call_client_destroy(client);
	evloop_destroy(evloop);
	return answer;
}

#define HOST "\"pool\":\"p\",\"zone\":\"z\",\"state\":\"up\""

/*
 * Guards against a list that cannot be read and is taken for a complete one
 * without hosts, and against an odd row that hides the others.
 */
START_TEST(odd_lists_of_hosts_are_refused)
{
	static const char *const bodies[] = {
		"",
		"{",
		"null",
		"[]",
		"{\"machines\":5}",
		"{\"machines\":{}}",
		"{}",
	};
	static const char *const rows[] = {
		"{" HOST ",\"machine\":\"m1\",\"capacity\":{\"cpu\":1}}",
		"{" HOST ",\"machine\":\"m2\",\"capacity\":{\"cpu\":-1}}",
		"{" HOST ",\"machine\":\"m3\",\"capacity\":{\"cpu\":1e400}}",
		"{" HOST ",\"machine\":5}",
		"{" HOST ",\"machine\":\"m\\u0000\"}",
		"{" HOST ",\"machine\":\"m4\",\"id\":5}",
		"null",
		"[]",
	};
	GString *body = g_string_new("{\"machines\":[");
	struct answer answer;

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		ck_assert_msg(list_hosts(bodies[i]).outcome == HOST_INVALID,
			      "%s", bodies[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(body, "%s%s", i ? "," : "", rows[i]);
	g_string_append(body, "]}");
	answer = list_hosts(body->str);
	g_string_free(body, TRUE);
	ck_assert_int_eq(answer.outcome, HOST_OK);
	/* m1, m2 and m3: a capacity may be unknown. */
	ck_assert_uint_eq(answer.count, 3);
}
END_TEST

/* Guards against a call to an odd address that ends the process or never ends. */
START_TEST(calls_to_odd_addresses_end)
{
	static const char *const addresses[] = {
		"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:x", ":80", "",
		"a b:80",	   "h\xff:80",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		struct evloop *evloop = evloop_create(clk_system());
		struct call_client *client = call_client_create(evloop);
		struct answer answer = { .evloop = evloop, .status = -1 };
		struct call_request request = {
			.method = "GET",
			.address = addresses[i],
			.path = "/",
			.timeout_ms = CALL_TIMEOUT_MS,
		};

		call_send(client, &request, on_response, &answer);
		evloop_run(evloop);
		ck_assert(answer.done);
		ck_assert_int_eq(answer.status, 0);
		call_client_destroy(client);
		evloop_destroy(evloop);
	}
}
END_TEST

static char *deep_entry(void)
{
	char *open = repeat("{\"a\":", DEEP_LEVELS / 10);
	char *text = make_entry("capacity", open);

	g_free(open);
	return text;
}

/* Writes odd entries: each under an id of its own, and one under each known. */
static void write_odd_entries(struct sim *sim, int round)
{
	char *deep = deep_entry();

	for (size_t i = 0; i < G_N_ELEMENTS(odd_fields); i++) {
		char *text =
			make_entry(odd_fields[i].field, odd_fields[i].value);
		char id[LIMIT_NAME_BYTES];

		snprintf(id, sizeof(id), "odd%zu", i);
		log_model_put(sim->log, "workers", id, text, strlen(text));
		g_free(text);
	}
	log_model_put(sim->log, "workers", "", deep, strlen(deep));
	log_model_put(sim->log, "workers", "odd", deep, strlen(deep));
	if (round % 2)
		log_model_put(sim->log, "workers",
			      sim->workers[round % sim->worker_count].entry.id,
			      deep, strlen(deep));
	g_free(deep);
}

static void check_odd_unlisted(const struct sim *sim)
{
	for (int n = 0; n < sim->node_count; n++) {
		const struct worker_table *workers =
			sim->nodes[n].node->workers;

		for (guint i = 0; i < workers->list->len; i++) {
			const struct worker *worker = workers->list->pdata[i];

			ck_assert_msg(
				!g_str_has_prefix(worker->entry.id, "odd"),
				"%s: %s", worker->entry.id,
				worker->entry.address);
		}
	}
}

/*
 * Guards against nodes that stop following the registry past an odd entry, use
 * what it names, or lose the tasks of a worker under whose id it was written
 * and start them elsewhere meanwhile.
 */
START_TEST(jobs_run_beside_odd_entries)
{
	struct sim *sim = sim_create((uint64_t)_i + 1, 3, 6);
	struct sim_job *jobs[3];
	int64_t end_ms;
	int round = 0;

	sim->task_ms = 4000;
	write_odd_entries(sim, 0);
	sim_run_for(sim, START_MS);
	for (int i = 0; i < 3; i++)
		jobs[i] = sim_submit_job(sim, i, 2, 3);
	end_ms = sim->clk.manual_ms + JOB_MS;
	while (sim->clk.manual_ms < end_ms) {
		write_odd_entries(sim, ++round);
		sim_run_for(sim, REWRITE_MS / 2);
		for (int i = 0; i < sim->worker_count; i++)
			sim_set_worker_listed(sim, i, true);
		sim_run_for(sim, REWRITE_MS / 2);
	}
	check_odd_unlisted(sim);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(sim_get_job_state(sim, i, jobs[i]->id),
				 JOB_DONE);
	ck_assert_str_eq(sim->broken, "");
}
END_TEST

/* The newest run of the job's task on the worker; 0: none. */
static int32_t find_run(const struct sim *sim, int worker, const char *task)
{
	const GArray *runs = sim->workers[worker].model.runs;

	for (guint i = 0; i < runs->len; i++) {
		const struct model_run *run =
			&g_array_index(runs, struct model_run, i);

		if (!strcmp(run->task, task))
			return run->run;
	}
	return 0;
}

/*
 * Guards against tasks that are lost, stopped or run twice while the entry of
 * their worker is odd, longer than their lease lasts.
 */
START_TEST(tasks_run_on_while_the_entry_of_their_worker_is_odd)
{
	static const char odd[] = "{\"service\":[[[[";
	struct sim *sim = sim_create((uint64_t)_i + 1, 3, 4);
	struct sim_job *job;
	char task[JOB_TASK_NAME_BYTES];
	int32_t run = 0;
	int at = 0;

	sim->task_ms = ODD_MS + 2 * START_MS;
	sim_run_for(sim, START_MS);
	job = sim_submit_job(sim, 0, 1, 1);
	sim_run_for(sim, START_MS);
	snprintf(task, sizeof(task), "%s.0.0.0", job->id);
	while (at < sim->worker_count && !(run = find_run(sim, at, task)))
		at++;
	ck_assert_int_gt(run, 0);
	for (int64_t ms = 0; ms < ODD_MS; ms += STEP_MS) {
		for (int i = 0; i < sim->worker_count; i++)
			log_model_put(sim->log, "workers",
				      sim->workers[i].entry.id, odd,
				      strlen(odd));
		sim_run_for(sim, STEP_MS);
		ck_assert_int_eq(find_run(sim, at, task), run);
	}
	for (int i = 0; i < sim->worker_count; i++)
		sim_set_worker_listed(sim, i, true);
	sim_run_for(sim, JOB_MS);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
	ck_assert_str_eq(sim->broken, "");
}
END_TEST

/* Guards against a node that cannot start while odd entries are newest. */
START_TEST(a_node_loads_the_registry_past_odd_entries)
{
	struct sim *sim = sim_create(1, 3, 4);
	struct sim_job *job;

	sim_run_for(sim, START_MS);
	write_odd_entries(sim, 0);
	for (int i = 0; i < sim->node_count; i++)
		sim_kill(sim, i);
	for (int i = 0; i < sim->node_count; i++)
		sim_start(sim, i);
	sim_run_for(sim, 3 * START_MS);
	job = sim_submit_job(sim, 0, 1, 3);
	sim_run_for(sim, JOB_MS);
	check_odd_unlisted(sim);
	ck_assert_int_eq(sim_get_job_state(sim, 1, job->id), JOB_DONE);
	ck_assert_str_eq(sim->broken, "");
}
END_TEST

#define PROGRESS(rest) "{\"state\":\"running\",\"parts\":" rest "}"
#define TASK(rest) PROGRESS("[[0,0,\"0\",[[" rest "]]]]")

/*
 * Guards against records of jobs that end the process when their tasks are read,
 * which happens only where the job's pool is taken over.
 */
START_TEST(odd_progress_of_a_job_is_read_safely)
{
	static const char submission[] =
		"{\"queue\":\"q\",\"pool\":\"pool\",\"at\":1}\n" SPEC("");
	static const char *const texts[] = {
		TASK("99999999999999999999,1,1,0,\"w\""),
		TASK("-1,1,1,0,\"w\""),
		TASK("1,1,1,0,\"w\""),
		TASK("0,2,1,0,\"w\""),
		TASK("0,1,2147483648,0,\"w\""),
		TASK("0,1,1e400,NaN,\"w\""),
		TASK("0,1,1,0,5"),
		TASK("0,1,1,0,\"w\\u0000\""),
		TASK("0,1,1,0,\"\""),
		TASK("0,1,1,0,\"w\",5"),
		TASK("0,1"),
		TASK("[[[[[[[[[[[[[[[[[[[["),
		PROGRESS("5"),
		PROGRESS("[[4294967296,0,\"0\",[]]]"),
		PROGRESS("[[0,32,\"0\",[]]]"),
		PROGRESS("[[0,0,\"zz\",[]]]"),
		PROGRESS("[[0,0,5,[]]]"),
		PROGRESS("[[0,0,\"0\",{}]]"),
		PROGRESS("[],\"boots\":[1e400,-1],\"crashes\":[[9,9,9,9,9,9,9]"
			 "]"),
		PROGRESS("[],\"boots\":{},\"crashes\":[5,[]]"),
		PROGRESS("[],\"crashes\":[[0,0,0,1,1,9223372036854775807,0]]"),
		PROGRESS("[]") "x",
		"{\"state\":\"running\"",
		"{\"state\":\"\xff\"}",
	};
	struct job_store *store = job_store_create(wire_decode_spec);
	struct err err = { .kind = ERR_OK };
	struct job *job;

	ck_assert_int_eq(job_apply_submission(store, JOB_ID, 0, submission,
					      strlen(submission), &err),
			 0);
	job = job_find(store, JOB_ID);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		job_apply_progress(store, JOB_ID, (int64_t)i + 1, texts[i],
				   strlen(texts[i]), false, &err);
		job_reload(store, job);
		ck_assert_uint_eq(job->occurrences, 1);
		ck_assert_uint_eq(job->tasks_per_occurrence, 1);
	}
	job_store_destroy(store);
}
END_TEST

/* Copies a record so that a read beyond its end fails. Never freed. */
static const char *at_end_of_memory(const char *record, size_t len)
{
	size_t page = (size_t)sysconf(_SC_PAGESIZE);
	char *pages = mmap(NULL, 2 * page, PROT_READ | PROT_WRITE,
			   MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);

	ck_assert_ptr_ne(pages, MAP_FAILED);
	ck_assert_int_eq(mprotect(pages + page, page, PROT_NONE), 0);
	return memcpy(pages + page - len, record, len);
}

/* Records have no zero byte at their end; a read beyond it ended the process. */
START_TEST(records_are_not_read_beyond_their_end)
{
	static const char progress[] = "{\"state\":\"running\",\"parts\":[]}";
	struct job_store *store = job_store_create(wire_decode_spec);
	struct index *index = index_create();
	struct err err = { .kind = ERR_OK };
	size_t len = strlen(progress);

	ck_assert_int_eq(job_apply_progress(store, JOB_ID, 1,
					    at_end_of_memory(progress, len),
					    len, false, &err),
			 0);
	ck_assert_int_eq(job_find(store, JOB_ID)->stored_state, JOB_RUNNING);
	ck_assert_int_eq(index_apply(index, JOB_ID,
				     at_end_of_memory("q cue", 5), 5, &err),
			 0);
	ck_assert_str_eq(index_find(index, JOB_ID)->queue, "cue");
	index_destroy(index);
	job_store_destroy(store);
}
END_TEST

#define HEAD(terms)                                                            \
	"{\"queue\":\"q\",\"pool\":\"p\",\"at\":1,\"terms\":" terms "}"
#define RESTART "\"work\":\"restart\",\"step\":\"asked\""

/* Guards against heads of submissions, plans and shares of another form. */
START_TEST(odd_records_of_nodes_are_refused)
{
	static const char *const heads[] = {
		"",
		"{",
		"null",
		"[]",
		"{\"queue\":5}",
		"{\"queue\":\"q\",\"pool\":\"p\",\"at\":1e400}",
		"{\"queue\":\"q\",\"pool\":\"p\",\"at\":-1}",
		"{\"queue\":\"q\",\"queue\":\"q\",\"pool\":\"p\",\"at\":1}",
		"{\"queue\":\"\",\"pool\":\"p\",\"at\":1}",
		"{\"queue\":\"q\",\"pool\":\"\",\"at\":1}",
		"{\"queue\":\"\xff\",\"pool\":\"p\",\"at\":1}",
		"{\"queue\":\"q\",\"pool\":\"\xff\",\"at\":1}",
		"{\"queue\":\"q\\u0000\",\"pool\":\"p\",\"at\":1}",
		HEAD("5"),
		HEAD("[0,4,0]"),
		HEAD("[0,0,0,1]"),
		HEAD("[0,-1,0,1]"),
		HEAD("[0,2147483648,0,1]"),
		HEAD("[0,1.5,0,1]"),
		HEAD("[\"0\",1,0,1]"),
		HEAD("[2147483648,1,0,1]"),
		HEAD("[0,1,-1,1]"),
		HEAD("[0,1,0,-1]"),
		HEAD("[0,1,0,1e7]"),
		HEAD("[0,1,0,1,0]"),
	};
	static const char *const plans[] = {
		"",
		"{",
		"null",
		"{\"work\":\"restart\"}",
		"{\"work\":\"x\",\"step\":\"asked\"}",
		"{\"work\":5,\"step\":\"asked\"}",
		"{" RESTART ",\"number\":9223372036854775807}",
		"{" RESTART ",\"fence\":-1}",
		"{\"work\":\"move\",\"step\":\"asked\",\"pool\":\"\xff\"}",
	};
	static const char *const counts[] = { "", "0", "99", "x", "-1", "1 " };
	struct share_layout layout;
	struct host_plans *kept = host_plans_create();

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		struct job_store *store = job_store_create(wire_decode_spec);
		char *text = g_strconcat(heads[i], "\n", SPEC(""), NULL);
		struct err err = { .kind = ERR_OK };

		ck_assert_msg(job_apply_submission(store, JOB_ID, 0, text,
						   strlen(text), &err) < 0,
			      "%s", text);
		job_store_destroy(store);
		g_free(text);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(plans); i++) {
		struct err err = { .kind = ERR_OK };

		ck_assert_msg(host_plan_apply(kept, "m1", 1, plans[i],
					      strlen(plans[i]), false, 1,
					      &err) < 0,
			      "%s", plans[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		ck_assert(!share_layout_parse(counts[i], strlen(counts[i]),
					      &layout));
	host_plans_destroy(kept);
}
END_TEST

static void add_worker_tests(Suite *suite)
{
	TCase *tcase = tcase_create("workers");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, entries_with_an_odd_field_are_refused, 0,
			    G_N_ELEMENTS(odd_fields));
	tcase_add_test(tcase, entries_of_workers_are_read);
	tcase_add_test(tcase, bytes_that_are_no_entry_are_refused);
	tcase_add_test(tcase, huge_fields_are_refused);
	tcase_add_test(tcase, entries_under_an_odd_id_are_refused);
	tcase_add_test(tcase, a_key_with_a_zero_byte_is_no_other_id);
	tcase_add_test(tcase, an_odd_entry_of_a_worker_keeps_its_state);
	tcase_add_test(tcase, an_odd_key_is_no_configuration);
	tcase_add_test(tcase, a_rewritten_odd_entry_is_logged_once);
	tcase_add_test(tcase, rejected_ids_are_remembered_in_bounded_number);
	tcase_add_loop_test(tcase, jobs_run_beside_odd_entries, 0, 3);
	tcase_add_loop_test(tcase,
			    tasks_run_on_while_the_entry_of_their_worker_is_odd,
			    0, 3);
	tcase_add_test(tcase, a_node_loads_the_registry_past_odd_entries);
	suite_add_tcase(suite, tcase);
}

static void add_message_tests(Suite *suite)
{
	TCase *tcase = tcase_create("messages");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, deep_nesting_ends_no_decoder, 0, 11);
	tcase_add_test(tcase, comments_do_not_hide_deep_nesting);
	tcase_add_test(tcase, reports_out_of_range_are_refused);
	tcase_add_test(tcase, figures_of_runs_are_limited);
	tcase_add_test(tcase, checkpoints_beyond_a_record_are_refused);
	tcase_add_test(tcase, jobs_out_of_range_are_refused);
	tcase_add_test(tcase, largest_accepted_numbers_do_not_overflow);
	tcase_add_test(tcase, odd_progress_of_a_job_is_read_safely);
	tcase_add_test(tcase, odd_records_of_nodes_are_refused);
	tcase_add_test(tcase, records_are_not_read_beyond_their_end);
	tcase_add_test(tcase, configurations_out_of_range_are_refused);
	tcase_add_test(tcase, waves_out_of_range_are_refused);
	tcase_add_test(tcase, a_page_continues_after_the_longest_key);
	tcase_add_test(tcase, odd_items_of_a_page_hide_no_others);
	tcase_add_test(tcase,
		       records_deleted_during_a_read_are_not_passed_over);
	tcase_add_test(tcase, odd_lists_of_hosts_are_refused);
	tcase_add_test(tcase, calls_to_odd_addresses_end);
	suite_add_tcase(suite, tcase);
}

int main(void)
{
	Suite *suite = suite_create("odd entries");

	apr_initialize();
	g_log_set_writer_func(count_line, NULL, NULL);
	add_worker_tests(suite);
	add_message_tests(suite);
	return suite_run(suite);
}
