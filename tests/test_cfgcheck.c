/* Unit tests of what plankctl check-config finds in a configuration. */

#include <string.h>

#include <check.h>

#include "cfgcheck.h"
#include "suite.h"
#include "wire.h"

#define QUEUE(name, host, prefix, pool, rest)                                  \
	"{\"name\":\"" name "\",\"host\":\"" host "\",\"prefix\":\"" prefix    \
	"\",\"service\":\"" pool "\"" rest "}"
#define POOLS                                                                  \
	"\"services\":[{\"name\":\"p\"},{\"name\":\"s\",\"standby\":true}]"
#define CFG(version, queues, rest)                                             \
	"{\"version\":" #version ",\"routes\":[" queues "]," POOLS rest "}"
#define Q1 QUEUE("q", "h", "/q/", "p", "")

static struct cfg *decode(const char *text)
{
	struct err err = { .kind = ERR_OK };
	struct cfg *cfg = NULL;
	int status = wire_decode_cfg(text, strlen(text), &cfg, &err);

	ck_assert_msg(status == 0, "%s", err.text);
	return cfg;
}

/* Findings as lines "level path: text". */
static char *find(const char *text, const char *before,
		  const struct cfg_room *task, const struct cfg_room *workers)
{
	struct cfgcheck_input input = { .cfg = decode(text) };
	GString *lines = g_string_new("");
	GPtrArray *findings;

	if (before)
		input.in_force = decode(before);
	if (task)
		input.largest_task = *task;
	if (workers)
		input.workers = *workers;
	findings = cfgcheck_run(&input);
	for (guint i = 0; i < findings->len; i++) {
		const struct cfgcheck_finding *finding = findings->pdata[i];

		g_string_append_printf(lines, "%s %s: %s\n",
				       cfgcheck_level_name(finding->level),
				       finding->path, finding->text);
	}
	g_ptr_array_unref(findings);
	cfg_destroy((struct cfg *)input.cfg);
	cfg_destroy((struct cfg *)input.in_force);
	return g_string_free(lines, FALSE);
}

static void expect_found(char *lines, const char *wanted)
{
	ck_assert_msg(strstr(lines, wanted) != NULL, "%s not in:\n%s", wanted,
		      lines);
	g_free(lines);
}

static void expect_nothing(char *lines)
{
	ck_assert_str_eq(lines, "");
	g_free(lines);
}

/* Guards against findings in a configuration that is as it should be. */
START_TEST(sound_configuration_has_no_findings)
{
	static const char sound[] = CFG(
		2,
		Q1
		"," QUEUE("r", "h", "/q/r/", "p",
			  ",\"sloMs\":900,\"timeoutMs\":900") "," QUEUE("o",
									"other",
									"/q/",
									"p",
									",\"pub"
									"lic\":"
									"true"),
		",\"tenants\":[{\"name\":\"a\",\"keys\":[\"secret\"],"
		"\"maxCount\":{\"cpu\":4000}}]");
	static const struct cfg_room task = { .cpu_milli = 4000 };
	static const struct cfg_room workers = { .cpu_milli = 4000 };

	expect_nothing(find(sound, NULL, &task, &workers));
}
END_TEST

/* Guards against entries that never match and are not reported. */
START_TEST(entries_that_cannot_match_are_errors)
{
	expect_found(find(CFG(1, Q1 "," QUEUE("r", "H", "/q/", "p", ""), ""),
			  NULL, NULL, NULL),
		     "error routes[1].prefix: /q/ given");
	expect_found(find(CFG(1, QUEUE("r", "h:80", "/q/", "p", ""), ""), NULL,
			  NULL, NULL),
		     "error routes[0].host: h:80 given");
	expect_found(find(CFG(1, QUEUE("r", "h", "q/", "p", ""), ""), NULL,
			  NULL, NULL),
		     "error routes[0].prefix: q/ given");
	expect_found(find(CFG(1, QUEUE("r", "h", "/q/", "x", ""), ""), NULL,
			  NULL, NULL),
		     "error routes[0].service: x given");
	expect_found(find(CFG(1, QUEUE("r", "h", "/q/", "s", ""), ""), NULL,
			  NULL, NULL),
		     "error routes[0].service: s given");
	expect_found(find(CFG(1, Q1 "," QUEUE("q", "h", "/o/", "p", ""), ""),
			  NULL, NULL, NULL),
		     "error routes[1].name: q given");
	expect_found(find(CFG(1, "", ""), NULL, NULL, NULL),
		     "warning services[0].name: p given");
}
END_TEST

/* Guards against limits that contradict each other. */
START_TEST(limits_that_contradict_each_other_are_warnings)
{
	static const struct cfg_room task = { .mem_mib = 801 };
	static const struct cfg_room workers = { .mem_mib = 1000 };
	static const char tenants[] =
		CFG(1, Q1,
		    ",\"tenants\":[{\"name\":\"a\",\"keys\":[\"k1\"],"
		    "\"maxCount\":{\"memMb\":800}},{\"name\":\"b\",\"keys\":"
		    "[\"k2\"],\"maxCount\":{\"memMb\":900}},{\"name\":\"c\","
		    "\"keys\":[\"k3\"],\"maxCount\":{\"memMb\":1001}}]");

	expect_found(find(CFG(1,
			      QUEUE("q", "h", "/q/", "p",
				    ",\"sloMs\":900,\"timeoutMs\":899"),
			      ""),
			  NULL, NULL, NULL),
		     "warning routes[0].timeoutMs: 899 given, at least sloMs "
		     "(900) wanted");
	expect_found(find(tenants, NULL, &task, NULL),
		     "warning tenants[0].maxCount.memMb: 800 given");
	expect_found(find(tenants, NULL, NULL, &workers),
		     "warning tenants[2].maxCount.memMb: 1001 given");
	expect_found(find(tenants, NULL, NULL, &workers),
		     "warning tenants: the sum of maxCount.memMb is 2701");
	expect_nothing(find(tenants, NULL, NULL, NULL));
}
END_TEST

/* Guards against organisations that nobody can act for. */
START_TEST(organisations_without_keys_are_warnings)
{
	expect_found(
		find(CFG(1, Q1, ",\"tenants\":[{\"name\":\"a\",\"keys\":[]}]"),
		     NULL, NULL, NULL),
		"warning tenants[0].keys: none given");
	expect_found(find(CFG(1, Q1, ",\"tenants\":[]"), NULL, NULL, NULL),
		     "warning routes[0].public: false given");
}
END_TEST

/* Guards against a change for clients that is not named, and a key that is. */
START_TEST(changes_are_named_without_keys)
{
	static const char before[] = CFG(
		7, Q1 "," QUEUE("gone", "h", "/gone/", "p", ""),
		",\"limits\":{\"maxBodyBytes\":5},\"tenants\":[{\"name\":\"a\","
		"\"weight\":3,\"keys\":[\"secret1\",\"secret2\"]},"
		"{\"name\":\"removed\",\"keys\":[\"secret3\"]}]");
	static const char after[] = CFG(
		8,
		QUEUE("q", "h", "/q2/", "p",
		      ",\"public\":true,\"sloMs\":5") "," QUEUE("new", "h",
								"/n/", "p", ""),
		",\"limits\":{\"maxBodyBytes\":6},\"tenants\":[{\"name\":\"a\","
		"\"weight\":4,\"keys\":[\"secret2\",\"secret3\",\"secret4\"],"
		"\"maxCount\":{\"gpu\":2}}]");
	static const char *const wanted[] = {
		"change routes[0].prefix: q: h/q/ -> h/q2/",
		"change routes[0].public: q: requests need no key",
		"change routes[0].sloMs: q: 0 -> 5",
		"change routes[1].name: new is new",
		"change routes: gone is removed",
		"change limits.maxBodyBytes: 5 -> 6",
		"change tenants[0].keys: a: 2 added, 1 removed",
		"change tenants[0].weight: a: 3 -> 4",
		"change tenants[0].maxCount.gpu: a: 0 -> 2",
		"change tenants: removed is removed",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(wanted); i++)
		expect_found(find(after, before, NULL, NULL), wanted[i]);
	{
		char *lines = find(after, before, NULL, NULL);

		ck_assert_ptr_null(strstr(lines, "secret"));
		g_free(lines);
	}
	expect_found(find(before, after, NULL, NULL),
		     "error version: 7 given, a number above 8 wanted");
	expect_found(find(CFG(9, Q1, ""), before, NULL, NULL),
		     "change tenants: keys are not checked any more");
}
END_TEST

/* Guards against errors of the decoder that do not tell which field is wrong. */
START_TEST(errors_of_the_decoder_have_a_path)
{
	static const struct {
		const char *text;
		const char *error;
	} rows[] = {
		{ "{", "not valid JSON" },
		{ "{}", "version: a number from 0 wanted" },
		{ CFG(1, Q1 "," QUEUE("r", "h", "/", "p", ",\"sloMs\":-1"), ""),
		  "routes[1].sloMs: -1 given, a number from 0 " },
		{ CFG(1, "{\"name\":\"q\",\"host\":[7]}", ""),
		  "routes[0].host: [7] given, a text in UTF-8 of 1 to 255 " },
		{ CFG(1, QUEUE("", "h", "/", "p", ""), ""),
		  "routes[0].name: \"\" given" },
		{ CFG(1, "7", ""), "routes[0].name: nothing given" },
		{ CFG(1, QUEUE("r", "h", "/", "p", ",\"stretch\":-2"), ""),
		  "routes[0].stretch: -2 given" },
		{ "{\"version\":1,\"services\":[{\"name\":null}]}",
		  "services[0].name: nothing given" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct err err = { .kind = ERR_OK };
		struct cfg *cfg = NULL;

		ck_assert_int_lt(wire_decode_cfg(rows[i].text,
						 strlen(rows[i].text), &cfg,
						 &err),
				 0);
		ck_assert_msg(!strncmp(err.text, rows[i].error,
				       strlen(rows[i].error)),
			      "%s", err.text);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cfgcheck");
	TCase *tcase = tcase_create("cfgcheck");

	tcase_add_test(tcase, sound_configuration_has_no_findings);
	tcase_add_test(tcase, entries_that_cannot_match_are_errors);
	tcase_add_test(tcase, limits_that_contradict_each_other_are_warnings);
	tcase_add_test(tcase, organisations_without_keys_are_warnings);
	tcase_add_test(tcase, changes_are_named_without_keys);
	tcase_add_test(tcase, errors_of_the_decoder_have_a_path);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
