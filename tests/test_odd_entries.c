/*
 * Unit tests of what another writer may leave in the registry of workers: deep
 * nesting, numbers out of range, odd keys. Such an entry names no worker, ends no
 * process, and the others hold.
 */

#include <stdio.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "node_int.h"
#include "odd_text.h"
#include "suite.h"
#include "wire.h"
enum {
	DEEP_LEVELS = 300000,
	LONG_DIGITS = 5000,
	HUGE_BYTES = 1024 * 1024,
	REWRITES = 100,
	START_MS = 3000,
	JOB_MS = 30000,
	STEP_MS = 100,
	REWRITE_MS = 1000,
	ODD_MS = 8000 /* longer than a lease of a worker or a pool */
};

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
 * Guards against a worker that is out of service for good as one of its labels is long,
 * and against jobs that ask for a label which fits them and no worker.
 */
START_TEST(long_labels_cost_no_worker)
{
	struct worker worker = { 0 };
	char *fits =
		odd_text_repeat("l", sizeof(((struct job_step *)0)->label) - 1);
	char *too_long = odd_text_repeat("l", 1000);
	char *labels = g_strdup_printf("[\"small\",\"%s\",\"%s\",\"r1-3\"]",
				       too_long, fits);
	char *text = make_entry("labels", labels);

	ck_assert_int_eq(decode_worker("w1", text, &worker.entry), 0);
	ck_assert_uint_eq(worker.entry.label_count, 3);
	ck_assert(worker_has_label(&worker, "small"));
	ck_assert(worker_has_label(&worker, "r1-3"));
	ck_assert(worker_has_label(&worker, fits));
	g_free(text);
	g_free(labels);
	g_free(too_long);
	g_free(fits);
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
		odd_text_repeat("x", HUGE_BYTES),
		odd_text_repeat("[", HUGE_BYTES),
		odd_text_repeat("{\"a\":", HUGE_BYTES / 5),
		odd_text_repeat("9", LONG_DIGITS),
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
	char *huge = odd_text_repeat("x", HUGE_BYTES);
	char *digits = odd_text_repeat("9", LONG_DIGITS);

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
	char *id = odd_text_repeat("w", LIMIT_NAME_BYTES);

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
	registry->node.config.clk = clk_system();
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

static char *deep_entry(void)
{
	char *open = odd_text_repeat("{\"a\":", DEEP_LEVELS / 10);
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

static void add_tests(Suite *suite)
{
	TCase *tcase = tcase_create("workers");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, entries_with_an_odd_field_are_refused, 0,
			    G_N_ELEMENTS(odd_fields));
	tcase_add_test(tcase, entries_of_workers_are_read);
	tcase_add_test(tcase, long_labels_cost_no_worker);
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

int main(void)
{
	Suite *suite = suite_create("odd entries");

	apr_initialize();
	g_log_set_writer_func(count_line, NULL, NULL);
	add_tests(suite);
	return suite_run(suite);
}
