/*
 * Unit tests of owners whose reads of the log come late, as when other nodes take
 * up the rate at which the log sends, and of owners whose records others hide.
 * They use no network.
 */

#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "front.h"
#include "log.h"
#include "nodeconf.h"
#include "pool_fixture.h"
#include "pool_int.h"
#include "suite.h"

enum { START_MS = 1000000, MAX_AGE_MS = 2500, LEASE_MS = 4000 };

static struct clk clk;
static struct pool_fixture fixture;
static struct pool_env env;
static struct bound_table bounds;
static struct pool *pool;
static struct tail *tail;
static struct index *states;
static struct host_plans *plans;
static stream_batch_fn *answer; /* of the read in progress */
static void *answer_arg;

/* An append in progress. */
struct kept_append {
	stream_append_fn *fn;
	void *arg;
};

static GArray *appends; /* struct kept_append */

static void keep_append(void *io, const struct stream_append *append,
			stream_append_fn *fn, void *arg)
{
	struct kept_append kept = { fn, arg };

	(void)io;
	(void)append;
	g_array_append_val(appends, kept);
}

/* Ends the appends in progress, which frees their writers. */
static void fail_appends(void)
{
	const struct stream_append_result result = { .outcome =
							     STREAM_UNKNOWN };

	for (guint i = 0; i < appends->len; i++) {
		struct kept_append *kept =
			&g_array_index(appends, struct kept_append, i);

		kept->fn(kept->arg, &result);
	}
	g_array_free(appends, TRUE);
}

static void keep_read(void *io, struct stream_id id, int64_t from,
		      int64_t wait_ms, stream_batch_fn *fn, void *arg)
{
	(void)io;
	(void)id;
	(void)from;
	(void)wait_ms;
	answer = fn;
	answer_arg = arg;
}

static void keep_newest(void *io, struct stream_id id, const char *after_key,
			stream_batch_fn *fn, void *arg)
{
	(void)after_key;
	keep_read(io, id, 0, 0, fn, arg);
}

static void add_record(GByteArray *buffer, const char *key, const char *value,
		       size_t value_len)
{
	(void)key;
	(void)value;
	g_byte_array_set_size(buffer, buffer->len + (guint)value_len + 1);
}

static const struct stream_io stream = {
	.append = keep_append,
	.read = keep_read,
	.newest = keep_newest,
	.add_record = add_record,
};

static const char one_task[] =
	"{\"spec\":\"t\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":10,"
	"\"estMs\":500}]}";

static const struct stream_id jobs_stream = { "jobs", 0 };

static struct writer *create_writer(void)
{
	struct writer_config config = {
		.io = &stream,
		.clk = &clk,
		.id = jobs_stream,
		.producer = "test",
		.max_bytes = 1000000,
	};

	return writer_create(&config);
}

static void ignore_record(void *arg, const struct stream_record *record)
{
	(void)arg;
	(void)record;
}

static void answer_read(void)
{
	struct stream_batch batch = { .outcome = STREAM_OK };

	answer(answer_arg, &batch);
}

/* Lets the owner read the stream to its end. */
static void read_to_the_end(void)
{
	tail_tick(tail);
	answer_read();
}

static void setup(void)
{
	struct share share = { .pool = "pool", .count = 1 };
	struct ownership_stream jobs = { .id = jobs_stream };
	struct tail_config config = {
		.io = &stream,
		.clk = &clk,
		.id = jobs_stream,
		.on_record = ignore_record,
	};

	pool_fixture_setup(&fixture);
	clk = clk_manual(START_MS);
	appends = g_array_new(FALSE, FALSE, sizeof(struct kept_append));
	tail = tail_create(&config);
	jobs.tail = tail;
	states = index_create();
	bound_table_init(&bounds);
	plans = host_plans_create();
	env = (struct pool_env){
		.clk = &clk,
		.stream = &stream,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.plans = plans,
		.bounds = &bounds,
		.index = states,
		.publisher = create_writer(),
		.cfg = (const struct cfg *const *)&fixture.cfg,
		.record_bytes = NODECONF_RECORD_BYTES,
		.lease_ms = LEASE_MS,
		.max_stream_age_ms = MAX_AGE_MS,
	};
	pool = pool_create(&env, &share, &jobs);
	pool->ownership.state = OWNERSHIP_HELD;
	pool->ownership.slots[0].writer = create_writer();
	/* No renewal is due, which would need a worker's interface. */
	pool->ownership.authority_end_ms = 0;
}

static void teardown(void)
{
	pool_destroy(pool);
	writer_destroy(env.publisher);
	fail_appends();
	tail_destroy(tail);
	index_destroy(states);
	host_plans_destroy(plans);
	bound_table_clear(&bounds);
	pool_fixture_teardown(&fixture);
}

static struct job *submit(void)
{
	return pool_fixture_submit(&fixture, "672a48d34c5231d8", one_task);
}

static void add_worker(void)
{
	struct worker *worker =
		pool_fixture_add_worker(&fixture, "w1", NULL, 4000);

	worker->last_report_ms = clk_now_ms(&clk);
}

static int starts_sent;

static void count_start(void *io, const struct worker_entry *worker,
			const struct order_start *start, order_fn *fn,
			void *arg)
{
	(void)io;
	(void)worker;
	(void)start;
	(void)fn;
	g_free(arg);
	starts_sent++;
}

static const struct order_io orders = { .start = count_start };

static bool is_placed(const struct job *job)
{
	return job_task_at(job, 0, 0, 0)->state == TASK_PLACED;
}

/* Guards against tasks that start though a cancel of their job was confirmed. */
START_TEST(no_task_is_placed_while_the_jobs_read_are_old)
{
	struct job *job = submit();

	read_to_the_end();
	clk.manual_ms += MAX_AGE_MS + 1;
	add_worker();
	pool_tick(pool);
	ck_assert(!is_placed(job));
	read_to_the_end();
	pool_tick(pool);
	ck_assert(is_placed(job));
}
END_TEST

START_TEST(tasks_are_placed_while_the_jobs_read_are_recent)
{
	struct job *job = submit();

	read_to_the_end();
	clk.manual_ms += MAX_AGE_MS;
	add_worker();
	pool_tick(pool);
	ck_assert(is_placed(job));
}
END_TEST

static void keep_outcome(void *arg, const struct front_answer *answer_given)
{
	*(int *)arg = (int)answer_given->outcome;
}

/*
 * Hands in a job at a node that knows no worker. If known is set, the read that the
 * node makes before it refuses shows that another node has accepted the job.
 *
 * RETURN VALUE
 *	An enum front_outcome; -1 if the job waits for its record to be stored.
 */
static int submit_without_workers(bool jobs_loaded, bool known)
{
	struct share_layout layout = { .shares = 1, .parts = 1 };
	struct err err = { .kind = ERR_OK };
	struct backlogs backlogs;
	struct front_env front_env = {
		.record_bytes = NODECONF_RECORD_BYTES,
		.clk = &clk,
		.cfg = (const struct cfg *const *)&fixture.cfg,
		.layout = &layout,
		.jobs_loaded = &jobs_loaded,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.index = states,
		.backlogs = &backlogs,
		.index_tail = tail,
		.index_writer = env.publisher,
		.job_writers = { pool_writer(pool) },
	};
	struct front *front = front_create(&front_env);
	struct front_request request = {
		.kind = FRONT_SUBMIT,
		.tenant = "",
		.queue = cfg_queue_find(fixture.cfg, "q"),
		.id = "672a48d34c5231d8",
		.body = one_task,
		.len = strlen(one_task),
	};
	int outcome = -1;

	backlogs_init(&backlogs);
	read_to_the_end();
	answer = NULL;
	front_request(front, &request, keep_outcome, &outcome);
	if (known)
		index_apply(states, request.id, "q q", strlen("q q"), &err);
	/* The read before a refusal, if the node makes one. */
	if (answer)
		answer_read();
	front_destroy(front);
	backlogs_clear(&backlogs);
	return outcome;
}

/* Guards against refusals by a node that starts and has not read the workers yet. */
START_TEST(job_is_not_refused_before_the_workers_are_known)
{
	ck_assert_int_eq(submit_without_workers(true, false), FRONT_OVERLOADED);
	ck_assert_int_eq(submit_without_workers(false, false), -1);
}
END_TEST

/* Guards against "will not run" for a job that is stored. */
START_TEST(job_that_another_node_has_accepted_is_not_refused)
{
	ck_assert_int_eq(submit_without_workers(true, true), FRONT_ACCEPTED);
}
END_TEST

/*
 * Guards against a start order that is sent late for a task placed in time: its
 * placement was stored late, or earlier orders had no answer.
 */
START_TEST(no_start_is_sent_while_the_jobs_read_are_old)
{
	struct job *job = submit();
	struct worker *worker;

	env.orders = &orders;
	starts_sent = 0;
	read_to_the_end();
	add_worker();
	pool_tick(pool);
	ck_assert(is_placed(job));
	job_task_at(job, 0, 0, 0)->phase = PHASE_STARTING;
	job_task_at(job, 0, 0, 0)->since_ms = 0;
	clk.manual_ms += MAX_AGE_MS + 1;
	worker = worker_find(fixture.workers, "w1");
	worker->last_report_ms = clk_now_ms(&clk);
	worker->clock_at_ms = clk_now_ms(&clk);
	pool->ownership.authority_end_ms = clk_now_ms(&clk) + LEASE_MS;
	pool_send_starts(pool, job);
	ck_assert_int_eq(starts_sent, 0);
	pool_stored_read(pool);
	answer_read();
	pool_send_starts(pool, job);
	ck_assert_int_eq(starts_sent, 1);
}
END_TEST

/* Whether the owner publishes its share's load, by a writer of its own. */
static bool publishes_load(void)
{
	writer_destroy(env.publisher);
	env.publisher = create_writer();
	pool_tick(pool);
	return !writer_idle(env.publisher);
}

/*
 * Guards against nodes that refuse jobs for good by the load of an earlier owner:
 * its record was appended late, and the load has not changed since.
 */
START_TEST(unchanged_load_is_published_again)
{
	read_to_the_end();
	/* Not even a worker is there: equal to no record at all. */
	ck_assert(publishes_load());
	clk.manual_ms += 1000;
	ck_assert(!publishes_load());
	clk.manual_ms += 1000;
	ck_assert(publishes_load());
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stream age");
	TCase *tcase = tcase_create("stream age");

	apr_initialize();
	log_init("test_stream_age", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, no_task_is_placed_while_the_jobs_read_are_old);
	tcase_add_test(tcase, tasks_are_placed_while_the_jobs_read_are_recent);
	tcase_add_test(tcase, job_is_not_refused_before_the_workers_are_known);
	tcase_add_test(tcase, no_start_is_sent_while_the_jobs_read_are_old);
	tcase_add_test(tcase, unchanged_load_is_published_again);
	tcase_add_test(tcase,
		       job_that_another_node_has_accepted_is_not_refused);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
