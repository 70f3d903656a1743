/*
 * Unit tests of messages and records that another writer may leave: deep nesting,
 * numbers out of range. They are refused and end no process.
 */

#include <malloc.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_text.h"
#include "host_plan.h"
#include "index.h"
#include "jcursor.h"
#include "job.h"
#include "json.h"
#include "nodeconf.h"
#include "odd_text.h"
#include "place.h"
#include "record.h"
#include "suite.h"
#include "teamconf.h"
#include "wire.h"
#include "wire_report.h"
enum {
	DEEP_LEVELS = 300000,
};

#define JOB_ID "0123456789abcdef"

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
	char *open = odd_text_repeat(shapes[_i].open, DEEP_LEVELS);
	char *close = odd_text_repeat(shapes[_i].close, DEEP_LEVELS);
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
	char *deep = odd_text_repeat("[", DEEP_LEVELS);
	char *text = g_strconcat("/***/ ", deep, " /* */ {}", NULL);
	struct err err = { .kind = ERR_OK };

	json_object_put(jcursor_parse(text, strlen(text), &err));
	err.kind = ERR_OK;
	json_object_put(jcursor_parse_bytes(text, strlen(text), &err));
	g_free(deep);
	g_free(text);
}
END_TEST

/* A body whose decoded form is larger than counted exceeds the memory for
   clients; single quotes and comments must not hide a part of it. */
START_TEST(decoded_form_is_no_larger_than_counted)
{
	static const char *const parts[] = {
		"{}",	 "[]",	    "{\"a\":1}",       "1",
		"\"a\"", "'\"',{}", "/*\"*/{},'\\\"'", "//\"\n{}",
	};
	enum { REPEATS = 20000 };

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		GString *text = g_string_new("[0");
		struct json_object *value;
		size_t before;
		size_t after;

		for (int n = 0; n < REPEATS; n++) {
			g_string_append_c(text, ',');
			g_string_append(text, parts[i]);
		}
		g_string_append_c(text, ']');
		before = mallinfo2().uordblks + mallinfo2().hblkhd;
		value = json_parse(text->str, text->len);
		after = mallinfo2().uordblks + mallinfo2().hblkhd;
		ck_assert_ptr_nonnull(value);
		ck_assert_int_le((int64_t)after - (int64_t)before,
				 json_decoded_bytes(text->str, text->len));
		json_object_put(value);
		g_string_free(text, TRUE);
	}
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

static void check_checkpoint(const struct worker_checkpoint *checkpoint,
			     const char *kept)
{
	ck_assert_int_eq(checkpoint->left_out, !kept);
	ck_assert_int_eq(!checkpoint->text, !kept);
	if (kept)
		ck_assert_str_eq(checkpoint->text, kept);
}

/* Reads a report of a run and an end, each with the checkpoint. */
static void check_report_with(const char *checkpoint, const char *kept)
{
	struct err err = { .kind = ERR_OK };
	struct worker_report report = { 0 };
	char *text =
		g_strdup_printf(REPORT(ROW "7,\"%s\",41]]" END
					   "3,\"t\",5,\"stopped\",\"%s\"]]"),
				checkpoint, checkpoint);

	ck_assert_int_eq(wire_decode_report(text, strlen(text), &report, &err),
			 0);
	ck_assert_int_eq(report.run_count, 1);
	ck_assert_int_eq(report.runs[0].run, 7);
	ck_assert_int_eq(report.runs[0].percent, 41);
	check_checkpoint(&report.runs[0].checkpoint, kept);
	ck_assert_int_eq(report.end_count, 1);
	ck_assert_int_eq(report.ends[0].number, 3);
	ck_assert_int_eq(report.ends[0].how, END_STOPPED);
	check_checkpoint(&report.ends[0].checkpoint, kept);
	worker_report_clear(&report);
	g_free(text);
}

/*
 * Guards against a checkpoint that fits no record: kept, the next owner could read none
 * of the job's tasks, and would start them anew; refused with its report, the worker's
 * lease would lapse with all runs there.
 */
START_TEST(checkpoints_beyond_a_record_are_left_out)
{
	static const size_t too_long[] = { JOB_CHECKPOINT_BYTES, 4096,
					   1024 * 1024 };
	char *longest = odd_text_repeat("c", JOB_CHECKPOINT_BYTES - 1);

	check_report_with(longest, longest);
	g_free(longest);
	for (size_t i = 0; i < G_N_ELEMENTS(too_long); i++) {
		char *text = odd_text_repeat("c", too_long[i]);

		check_report_with(text, NULL);
		g_free(text);
	}
	check_report_with("a\\u0000b", NULL);
	/* Decoded, it would not be the one that the worker listed. */
	check_report_with("a\\ud800b", NULL);
	check_report_with("a\\udc00", NULL);
	check_report_with("\\ud83d\\ude00", "\xf0\x9f\x98\x80");
}
END_TEST

enum {
	ROOM_REPORTS = 40,
	ROOM_RUNS = 64,
	ROOM_BYTES = 1024 * 1024,
	KEPT_BYTES = JOB_CHECKPOINT_BYTES /* with the final null byte */
};

/* Reads a report of such runs, but for its end; returns its reader. */
static struct wire_report *read_runs(struct wire_report_room *room)
{
	struct wire_report *reader = wire_report_create(room);
	char *longest = odd_text_repeat("c", JOB_CHECKPOINT_BYTES - 1);
	static const char head[] =
		"{\"clockMs\":5,\"running\":[[\"t\",1,\"\",0]";

	wire_report_feed(reader, head, strlen(head));
	for (int i = 0; i < ROOM_RUNS; i++) {
		char *row = g_strdup_printf(",[\"t\",1,\"%s\",0]", longest);

		wire_report_feed(reader, row, strlen(row));
		g_free(row);
	}
	g_free(longest);
	return reader;
}

static int64_t count_kept(struct wire_report *reader)
{
	struct err err = { .kind = ERR_OK };
	struct worker_report report = { 0 };
	int64_t kept = 0;

	wire_report_feed(reader, "]}", 2);
	ck_assert_int_eq(wire_report_finish(reader, &report, &err), 0);
	ck_assert_uint_eq(report.run_count, 1 + ROOM_RUNS);
	for (uint32_t i = 1; i < report.run_count; i++) {
		const struct worker_checkpoint *checkpoint =
			&report.runs[i].checkpoint;

		ck_assert_int_eq(checkpoint->left_out, !checkpoint->text);
		kept += checkpoint->text != NULL;
	}
	worker_report_clear(&report);
	return kept;
}

/*
 * Guards against a node that runs out of memory as the reports of many workers, each
 * with many checkpoints of the longest kind, arrive side by side; and against workers
 * none of whose progress is kept for the sake of others.
 */
START_TEST(reports_side_by_side_hold_bounded_memory)
{
	struct wire_report_room room = { .max_bytes = ROOM_BYTES };
	struct wire_report *readers[ROOM_REPORTS];
	int64_t kept = 0;

	for (int i = 0; i < ROOM_REPORTS; i++)
		readers[i] = read_runs(&room);
	ck_assert_int_le(room.held_bytes,
			 ROOM_BYTES + ROOM_REPORTS * WIRE_REPORT_SHARE_BYTES);
	for (int i = 0; i < ROOM_REPORTS; i++) {
		int64_t of_one = count_kept(readers[i]);

		ck_assert_int_ge(of_one, WIRE_REPORT_SHARE_BYTES / KEPT_BYTES);
		kept += of_one;
	}
	ck_assert_int_ge(kept, ROOM_BYTES / KEPT_BYTES);
	ck_assert_int_eq(room.held_bytes, 0);
	ck_assert_int_eq(count_kept(read_runs(&room)), ROOM_RUNS);
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

	ck_assert_int_eq(job_apply_submission(store, JOB_ID, "", 0, submission,
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

		ck_assert_msg(job_apply_submission(store, JOB_ID, "", 0, text,
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

static void add_tests(Suite *suite)
{
	TCase *tcase = tcase_create("messages");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, deep_nesting_ends_no_decoder, 0, 11);
	tcase_add_test(tcase, comments_do_not_hide_deep_nesting);
	tcase_add_test(tcase, decoded_form_is_no_larger_than_counted);
	tcase_add_test(tcase, reports_out_of_range_are_refused);
	tcase_add_test(tcase, figures_of_runs_are_limited);
	tcase_add_test(tcase, checkpoints_beyond_a_record_are_left_out);
	tcase_add_test(tcase, reports_side_by_side_hold_bounded_memory);
	tcase_add_test(tcase, jobs_out_of_range_are_refused);
	tcase_add_test(tcase, largest_accepted_numbers_do_not_overflow);
	tcase_add_test(tcase, odd_progress_of_a_job_is_read_safely);
	tcase_add_test(tcase, odd_records_of_nodes_are_refused);
	tcase_add_test(tcase, records_are_not_read_beyond_their_end);
	tcase_add_test(tcase, configurations_out_of_range_are_refused);
	tcase_add_test(tcase, waves_out_of_range_are_refused);
	suite_add_tcase(suite, tcase);
}

int main(void)
{
	Suite *suite = suite_create("odd messages");

	apr_initialize();
	add_tests(suite);
	return suite_run(suite);
}
