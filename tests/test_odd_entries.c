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
};

static char *repeat(const char *piece, size_t count)
{
	GString *text = g_string_new(NULL);

	while (count--)
		g_string_append(text, piece);
	return g_string_free(text, FALSE);
}

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

static void add_message_tests(Suite *suite)
{
	TCase *tcase = tcase_create("messages");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, deep_nesting_ends_no_decoder, 0, 11);
	tcase_add_test(tcase, comments_do_not_hide_deep_nesting);
	suite_add_tcase(suite, tcase);
}

int main(void)
{
	Suite *suite = suite_create("odd entries");

	apr_initialize();
	g_log_set_writer_func(count_line, NULL, NULL);
	add_message_tests(suite);
	return suite_run(suite);
}
