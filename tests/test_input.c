/* Unit tests of external input: settings, records, snapshots. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "procconf.h"
#include "fleet.h"
#include "record.h"
#include "rnd.h"
#include "fleet_text.h"
#include "suite.h"
#include "teamconf.h"

enum { ROUNDS = 4000, SEED = 20261204 };

#define ID "0123456789abcdef0123456789abcdef"
#define REC(type, rest)                                                        \
	"{\"type\":\"" type "\",\"id\":\"" ID "\",\"author\":\"a\","           \
	"\"at_ms\":1," rest "}"
#define FLEET(rest)                                                            \
	"{\"name\":\"e0\",\"data_centre\":\"suva\",\"address\":\"127.0.0.1\"," \
	"\"http_port\":80,\"rpc_port\":81,"                                    \
	"\"platform_url\":\"http://h:1\"" rest "}"
#define OPERATOR(name, token)                                                  \
	"{\"name\":\"" name "\",\"team\":\"*\",\"token\":\"" token "\"}"
#define DEEP "[[[[[[[[[[[[[[[[[[[["

static const char settings[] =
	"{\"quota\":{\"slots\":9},\"weights\":{\"spare\":1.5},"
	"\"spare_pool\":\"p\",\"pools\":{\"p\":{\"hosts\":[\"h0\",\"h1\"],"
	"\"min_available\":1},\"q\":{\"hosts\":[],\"min_available\":0}},"
	"\"batches\":{\"b\":{\"hosts\":[\"h0\"],\"support_ends\":"
	"\"2027-01-31\"}},\"waves\":{\"w\":{\"batch\":\"b\",\"action\":"
	"\"retire\",\"start\":\"2026-12-01\",\"canary\":1,\"paused\":true}}}";

static const char *const records[] = {
	REC("drain", "\"host\":\"h0\",\"reason\":\"caf\\u00e9 / \\\"x\\\"\""),
	REC("member", "\"member\":\"e0\",\"incarnation\":7,\"seq\":1,"
		      "\"data_centre\":\"suva\",\"address\":\"127.0.0.1\","
		      "\"port\":9"),
	REC("host", "\"host\":\"h0\",\"data_centre\":\"suva\",\"rack\":\"r\","
		    "\"address\":\"127.0.0.1\",\"port\":80,\"cpu_milli\":1,"
		    "\"mem_mib\":1,\"accelerators\":0,\"slots\":8,"
		    "\"connections\":64"),
	REC("settings", "\"team\":\"t\",\"base\":-1,\"settings\":{\"pools\":{"
			"\"p\":{\"hosts\":[\"h0\"],\"min_available\":0}}}"),
	REC("drain", "\"host\":\"h0\",\"reason\":\"x\""),
};

enum { RECORD_COUNT = sizeof(records) / sizeof(records[0]) };

/* A text and a part of the expected error; NULL: the text is accepted. */
struct row {
	const char *text;
	const char *error;
};

static const struct row team_rows[] = {
	{ settings, NULL },
	{ "", "not valid JSON" },
	{ "null", "(root): null given" },
	{ "[]", "(root): [] given, an object wanted" },
	{ "{} x", "text after the JSON value" },
	{ "{\"pool\":{}}", "pool: {} given, unknown key; one of quota" },
	{ "{\"quota\":{\"slots\":\"9\"}}", "quota.slots: \"9\" given, a whole "
					   "number from 1 to 1000000 wanted" },
	{ "{\"quota\":{\"slots\":0}}", "quota.slots: 0 given" },
	{ "{\"quota\":{\"slots\":99999999999999999999999}}", "quota.slots: " },
	{ "{\"weights\":{\"moves\":1e999}}", "weights.moves: 1e999 given" },
	{ "{\"weights\":{\"moves\":NaN}}", "weights.moves: NaN given" },
	{ "{\"quota\":{},\"quota\":{}}", "quota: a second key" },
	{ "{\"quota\":{},\"q\\u0075ota\":{}}", "quota: a second key" },
	{ "{\"quota\\u0000x\":{}}", "quota: a key with a zero byte" },
	{ "{\"pools\":{\"p\":{\"hosts\":[\"h\"],\"hosts\":[]}}}",
	  "pools.p.hosts: a second key" },
	{ "{\"pools\":{\"a/b\":{}}}", "pools.a/b: {} given, a valid name" },
	{ "{\"pools\":{\"p\":{\"hosts\":[\"h\",5],\"min_available\":0}}}",
	  "pools.p.hosts[1]: 5 given" },
	{ "{\"pools\":{\"p\":{\"hosts\":[\"h\"],\"min_available\":2}}}",
	  "pools.p.min_available: 2 given, at most the 1 hosts" },
	{ "{\"pools\":{\"p\":{\"hosts\":[\"h\"],\"min_available\":0},"
	  "\"q\":{\"hosts\":[\"h\"],\"min_available\":0}}}",
	  "pools.q.hosts[0]: \"h\" given, a host that pools.p" },
	{ "{\"spare_pool\":\"p\"}", "spare_pool: \"p\" given, one of" },
	{ "{\"batches\":{\"b\":{\"hosts\":[\"h\"],\"support_ends\":"
	  "\"2027-01-31\"}}}",
	  "batches.b.hosts[0]: \"h\" given, a host of one" },
	{ "{\"batches\":{\"b\":{\"hosts\":[],\"support_ends\":"
	  "\" 2027-1-+1\"}}}",
	  "batches.b.support_ends: \" 2027-1-+1\" given, a date" },
	{ "{\"waves\":{\"w\":{\"batch\":\"b\",\"action\":\"reboot\","
	  "\"start\":\"2026-12-01\"}}}",
	  "waves.w.batch: \"b\" given, one of" },
	{ "{\"waves\":" DEEP, "nesting too deep" },
	{ "{\"spare_pool\":\"\xff\"}", "not valid JSON" },
};

static const struct row process_rows[] = {
	{ FLEET(""), NULL },
	{ "null", "(root): null given" },
	{ FLEET(",\"fleet\":[]"), "fleet: [] given, unknown key" },
	{ FLEET(",\"lease_ms\":1.5"), "lease_ms: 1.5 given, a whole number" },
	{ FLEET(",\"lease_ms\":2000000000"), "lease_ms: 2000000000 given" },
	{ FLEET(",\"lease_ms\":60000"), "expire_ms: nothing given, heartbeat" },
	{ FLEET(",\"name\":\"e1\""), "name: a second key" },
	{ FLEET(",\"peers\":[{\"address\":\"h\",\"port\":1,"
		"\"data_centre\":\"d\"}]"),
	  "peers[0].address: \"h\" given, an IPv4 address" },
	{ FLEET(",\"operators\":[" OPERATOR("a", "secret") "]"),
	  "operators[0].token: (not shown) given, a token of 8" },
	{ FLEET(",\"operators\":[" OPERATOR("a", "secret-1") "," OPERATOR(
		  "b", "secret-1") "]"),
	  "operators[1].token: (not shown) given" },
	{ FLEET(",\"operators\":[" OPERATOR("a", "secret-1") "," OPERATOR(
		  "a", "secret-2") "]"),
	  "operators[1].name: \"a\" given" },
	{ "{\"name\":\"\xc3\"}", "not valid JSON" },
};

static const struct row record_rows[] = {
	{ REC("undrain", "\"host\":\"h\",\"reason\":\"x\""), NULL },
	{ "null", "(root): null given" },
	{ "17", "(root): 17 given, an object" },
	{ REC("blend", "\"host\":\"h\""), "type: \"blend\" given, a known" },
	{ REC("undrain", "\"host\":\"h\",\"reason\":\"x\",\"z\":1"),
	  "z: 1 given, unknown key" },
	{ REC("undrain", "\"host\":\"a b\",\"reason\":\"x\""),
	  "host: \"a b\" given, a name" },
	{ REC("undrain", "\"host\":\"h\",\"reason\":\"a\\u0000b\""),
	  "reason: " },
	{ REC("reboot", "\"host\":\"h\",\"drain\":9223372036854775807"),
	  "drain: 9223372036854775807 given" },
	{ REC("reboot", "\"host\":\"h\",\"drain\":18446744073709551615"),
	  "drain: " },
	{ REC("reboot", "\"host\":\"h\",\"drain\":-5"), "drain: -5 given" },
	{ REC("undrain", "\"host\":\"h\",\"reason\":\"\xe2\x82\""),
	  "not valid JSON" },
};

#define SNAPSHOT(lists) "{\"next\":1," lists "}"
#define NO_TEAM "\"teams\":[],"
#define NO_MORE "\"members\":[],\"ids\":[],\"audit\":[]"
static const struct row snapshot_rows[] = {
	{ SNAPSHOT(NO_TEAM "\"hosts\":[]," NO_MORE), NULL },
	{ "null", "(root): null given" },
	{ SNAPSHOT(NO_TEAM NO_MORE), "hosts: nothing given, a list" },
	{ SNAPSHOT(NO_TEAM "\"hosts\":[]," NO_MORE ",\"x\":1"), "x: 1 given" },
	{ SNAPSHOT("\"teams\":[{\"name\":\"t\",\"version\":0,\"settings\":{},"
		   "\"x\":1}],\"hosts\":[]," NO_MORE),
	  "teams[0].x: 1 given, unknown key" },
	{ SNAPSHOT("\"teams\":[{\"name\":\"t\",\"version\":0,\"settings\":"
		   "{\"x\":1}}],\"hosts\":[]," NO_MORE),
	  "teams[0].settings: {\"x\":1} given, valid settings (x: 1 given" },
	{ SNAPSHOT(NO_TEAM "\"hosts\":[{\"name\":\"h\"}]," NO_MORE),
	  "hosts[0].drain_offset: nothing given" },
};

typedef bool parse_fn(const char *text, size_t len, struct err *err,
		      char **reencoded);

/* Each parser returns what it accepted, encoded again. */
static bool parse_team(const char *text, size_t len, struct err *err,
		       char **reencoded)
{
	struct teamconf *teamconf = teamconf_parse(text, len, err);

	if (teamconf)
		*reencoded = strdup(teamconf->text);
	teamconf_destroy(teamconf);
	return teamconf != NULL;
}

static bool parse_process(const char *text, size_t len, struct err *err,
			  char **reencoded)
{
	struct procconf *procconf =
		procconf_parse(text, len, PROCCONF_FLEET, err);

	if (procconf)
		*reencoded = strndup(text, len);
	procconf_destroy(procconf);
	return procconf != NULL;
}

static bool parse_record(const char *text, size_t len, struct err *err,
			 char **reencoded)
{
	struct record rec;

	if (record_parse(&rec, text, len, err))
		return false;
	*reencoded = record_encode(&rec);
	record_clear(&rec);
	return true;
}

static bool parse_snapshot(const char *text, size_t len, struct err *err,
			   char **reencoded)
{
	struct fleet *fleet = fleet_text_decode(text, len, err);

	if (fleet)
		*reencoded = fleet_text_encode(fleet, &len);
	fleet_destroy(fleet);
	return fleet != NULL;
}

static const struct {
	parse_fn *parse;
	const struct row *rows;
	size_t count;
} tables[] = {
	{ parse_team, team_rows, sizeof(team_rows) / sizeof(struct row) },
	{ parse_process, process_rows,
	  sizeof(process_rows) / sizeof(struct row) },
	{ parse_record, record_rows, sizeof(record_rows) / sizeof(struct row) },
	{ parse_snapshot, snapshot_rows,
	  sizeof(snapshot_rows) / sizeof(struct row) },
};

/*
 * Guards against invalid input that is accepted, or refused without its path.
 */
START_TEST(wrong_input_is_refused_with_its_path)
{
	for (size_t i = 0; i < tables[_i].count; i++) {
		const struct row *row = &tables[_i].rows[i];
		struct err err = { .kind = ERR_OK };
		char *reencoded = NULL;
		bool valid = tables[_i].parse(row->text, strlen(row->text),
					      &err, &reencoded);

		free(reencoded);
		ck_assert_msg(valid == !row->error, "%s: %s", row->text,
			      err.text);
		if (row->error)
			ck_assert_msg(strstr(err.text, row->error) != NULL,
				      "%s: \"%s\" wanted, \"%s\" seen",
				      row->text, row->error, err.text);
	}
}
END_TEST

/* Guards against a size limit that is checked only after parsing. */
START_TEST(oversize_input_is_refused)
{
	size_t len = LIMIT_SNAPSHOT_BYTES + 1;
	char *text = malloc(len);
	struct err err;
	struct record rec;

	memset(text, ' ', len);
	ck_assert_ptr_null(
		teamconf_parse(text, LIMIT_SETTINGS_BYTES + 1, &err));
	ck_assert_int_eq(err.kind, ERR_TOO_LARGE);
	ck_assert_int_eq(record_parse(&rec, text, LIMIT_RECORD_BYTES + 1, &err),
			 ERR_TOO_LARGE);
	ck_assert_ptr_null(fleet_text_decode(text, len, &err));
	ck_assert_int_eq(err.kind, ERR_TOO_LARGE);
	free(text);
}
END_TEST

/* Applies records and returns the state's text, which the caller frees. */
static char *state_text(const char *const *texts, size_t count)
{
	struct fleet *fleet = fleet_create();
	struct err err;
	size_t len;
	char *text;

	for (size_t i = 0; i < count; i++) {
		struct record rec;

		ck_assert_int_eq(
			record_parse(&rec, texts[i], strlen(texts[i]), &err),
			0);
		rec.id[0] = (char)('0' + i);
		fleet_apply(fleet, (int64_t)i, &rec, &err);
		record_clear(&rec);
	}
	text = fleet_text_encode(fleet, &len);
	fleet_destroy(fleet);
	return text;
}

/*
 * Guards against an error message that is truncated inside a character: it goes
 * into the audit trail, and no process could read a snapshot that contains it.
 */
START_TEST(audit_text_stays_utf8)
{
	char value[128] = "", text[512];
	const char *texts[] = { text };
	struct err err = { .kind = ERR_OK };
	char *state, *reencoded = NULL;

	for (size_t pad = 0; pad < 3; pad++) {
		memset(value, 'x', pad);
		for (size_t i = 0; i < 30; i++)
			memcpy(value + pad + 3 * i, "\xe2\x82\xac", 4);
		snprintf(text, sizeof(text),
			 REC("settings", "\"team\":\"t\",\"base\":-1,"
					 "\"settings\":{\"z\":\"%s\"}"),
			 value);
		state = state_text(texts, 1);
		ck_assert_ptr_nonnull(strstr(state, "unknown key"));
		ck_assert_msg(
			parse_snapshot(state, strlen(state), &err, &reencoded),
			"%s: %s", state, err.text);
		free(state);
		free(reencoded);
	}
}
END_TEST

/* Replaces or inserts a few bytes, or cuts a piece. */
static size_t mutate(struct rnd *rnd, char *text, size_t len, size_t cap)
{
	static const char *const pieces[] = {
		"null",	   "{}",
		"[",	   "]",
		"}",	   "\"",
		",",	   ":",
		"\\u0000", "\xff",
		"-1",	   "0",
		"1e999",   "9223372036854775807",
		"/*",	   "//",
		"\\",	   "18446744073709551616",
		"true",	   "\xe2\x82",
		"'",	   "NaN",
		"",
	};
	uint32_t changes = 1 + (uint32_t)rnd_below(rnd, 3);

	for (uint32_t i = 0; i < changes; i++) {
		const char *piece = pieces[rnd_below(
			rnd, sizeof(pieces) / sizeof(pieces[0]))];
		size_t at = rnd_below(rnd, (uint32_t)len + 1);
		size_t cut = rnd_below(rnd, 6);
		size_t add = strlen(piece);

		if (rnd_below(rnd, 8) == 0)
			cut = rnd_below(rnd, (uint32_t)len + 1);
		if (cut > len - at)
			cut = len - at;
		if (len - cut + add >= cap)
			continue;
		memmove(text + at + add, text + at + cut, len - at - cut);
		/* NOLINTNEXTLINE(bugprone-not-null-terminated-result) */
		memcpy(text + at, piece, add);
		len += add - cut;
	}
	return len;
}

/*
 * Guards against a parser that crashes, or that accepts what it cannot encode
 * and parse again: two processes would then hold different states.
 */
START_TEST(mutated_input_is_refused_or_kept)
{
	char *state = state_text(records, RECORD_COUNT);
	const char *const seeds[] = { settings,
				      FLEET(",\"operators\":[" OPERATOR(
					      "a", "secret-1") "]"),
				      records[_i % RECORD_COUNT], state };
	size_t table = (size_t)_i % 4;
	size_t cap = strlen(seeds[table]) + 256;
	uint32_t accepted = 0;
	struct rnd rnd;

	rnd_init(&rnd, SEED + (uint64_t)_i);
	for (int round = 0; round < ROUNDS; round++) {
		/* Memory of the exact size lets the sanitizer detect a read
		   past the end. */
		char *text = malloc(cap);
		struct err err = { .kind = ERR_OK };
		char *first = NULL, *second = NULL, *exact;
		size_t len = strlen(seeds[table]);

		memcpy(text, seeds[table], len + 1);
		len = mutate(&rnd, text, len, cap);
		exact = malloc(len ? len : 1);
		/* Intentionally without a final zero byte. */
		memcpy(exact, text, len); /* NOLINT(bugprone-not-null-*) */
		if (tables[table].parse(exact, len, &err, &first)) {
			accepted++;
			ck_assert_msg(tables[table].parse(first, strlen(first),
							  &err, &second),
				      "%.*s: %s", (int)len, exact, err.text);
			ck_assert_str_eq(first, second);
		} else {
			ck_assert_int_lt(err.kind, ERR_OK);
		}
		free(first);
		free(second);
		free(exact);
		free(text);
	}
	ck_assert_uint_gt(accepted, 0);
	free(state);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("input");
	TCase *tcase = tcase_create("parsers");

	apr_initialize();
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, wrong_input_is_refused_with_its_path, 0, 4);
	tcase_add_test(tcase, oversize_input_is_refused);
	tcase_add_test(tcase, audit_text_stays_utf8);
	tcase_add_loop_test(tcase, mutated_input_is_refused_or_kept, 0, 20);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
