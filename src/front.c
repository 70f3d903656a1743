#include "front.h"

#include <string.h>

#include "log.h"

enum {
	/* The log has not answered an append for so long: refuse at once. */
	FRONT_STALLED_MS = 400,
	/* Before the caller's deadline, for the answer's way. */
	FRONT_ANSWER_MS = 150,
	/* Expected to take so much of its objective, a job is refused; the
	   estimates are rough, hence the room beyond it. */
	FRONT_LATE_PERCENT = 130,
	FRONT_RETRY_UNAVAILABLE_MS = 1000,
	FRONT_RETRY_OVERLOAD_MS = 1000
};

/* An ask that waits for the log. */
struct waiting {
	struct front *front;
	struct front_ask ask;
	/* The configuration may change meanwhile. */
	char queue[LIMIT_NAME_BYTES];
	int64_t asked_ms;
	int64_t number; /* of the record; 0: waits for a read */
	front_fn *fn;
	void *arg;
};

struct front {
	struct front_env *env;
	int64_t all_milli; /* most processor time that was ever listed */
	GPtrArray *waiting;
};

struct front *front_create(struct front_env *env)
{
	struct front *front = g_new0(struct front, 1);

	front->env = env;
	front->waiting = g_ptr_array_new();
	return front;
}

void front_destroy(struct front *front)
{
	if (!front)
		return;
	g_ptr_array_set_free_func(front->waiting, g_free);
	g_ptr_array_free(front->waiting, TRUE);
	g_free(front);
}

uint32_t front_waiting(const struct front *front)
{
	return front->waiting->len;
}

static struct waiting *wait_for(struct front *front,
				const struct front_ask *ask, front_fn *fn,
				void *arg)
{
	struct waiting *waiting = g_new0(struct waiting, 1);

	waiting->front = front;
	waiting->asked_ms = clk_now_ms(front->env->clk);
	waiting->ask = *ask;
	waiting->ask.queue = NULL;
	if (ask->queue)
		g_strlcpy(waiting->queue, ask->queue->name,
			  sizeof(waiting->queue));
	waiting->fn = fn;
	waiting->arg = arg;
	g_ptr_array_add(front->waiting, waiting);
	return waiting;
}

static void finish(struct waiting *waiting, const struct front_answer *answer)
{
	front_fn *fn = waiting->fn;
	void *arg = waiting->arg;

	g_ptr_array_remove(waiting->front->waiting, waiting);
	g_free(waiting);
	fn(arg, answer);
}

static void answer_unavailable(struct front *front, const char *id,
			       front_fn *fn, void *arg)
{
	struct front_answer answer = {
		.outcome = FRONT_UNAVAILABLE,
		.retry_after_ms = FRONT_RETRY_UNAVAILABLE_MS,
	};

	front->env->counts.refused_unavailable++;
	log_info("refused id=%s why=log-unavailable "
		 "stalled_ms=%" G_GINT64_FORMAT,
		 id, writer_stalled_ms(front->env->writer));
	fn(arg, &answer);
}

static void on_stored(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct waiting *waiting = arg;
	struct front_answer answer = { .outcome = FRONT_DONE };
	struct front_env *env = waiting->front->env;

	(void)end;
	if (outcome != WRITER_STORED) {
		/* Nobody else writes under this process's name. */
		answer.outcome = FRONT_UNDECIDED;
		env->counts.undecided++;
	} else if (waiting->ask.kind == FRONT_HAND_IN) {
		env->counts.handed_in++;
		histo_add(&env->hand_in_ms,
			  clk_now_ms(env->clk) - waiting->asked_ms);
		log_info("job-accepted id=%s queue=%s", waiting->ask.id,
			 waiting->queue);
	} else {
		env->counts.cancelled++;
		log_info("cancel-accepted id=%s", waiting->ask.id);
	}
	finish(waiting, &answer);
}

/* Whether the pool's accepted work leaves the job a chance to be in time. */
static bool overloaded(struct front *front, const struct front_ask *ask,
		       const struct job_spec *spec)
{
	struct front_env *env = front->env;
	struct job probe = { .spec = *spec };
	struct place place = {
		.pool = ask->queue->pool,
		.cfg = *env->cfg,
		.jobs = env->jobs,
		.workers = env->workers,
		.wall_ms = clk_wall_ms(env->clk),
	};
	int64_t chain_ms = job_chain_ms(&probe);
	int64_t objective_ms =
		ask->queue->slack_ms +
		(int64_t)(ask->queue->stretch * (double)chain_ms);

	if (spec->steps[0].long_running || spec->repeat_count > 0)
		return false;
	return place_backlog_ms(&place, front->all_milli) + chain_ms >
	       objective_ms * FRONT_LATE_PERCENT / 100;
}

static void hand_in(struct front *front, const struct front_ask *ask,
		    front_fn *fn, void *arg)
{
	struct front_env *env = front->env;
	struct front_answer answer = { .outcome = FRONT_DONE };
	struct err err = { .kind = ERR_OK };
	struct waiting *waiting;
	struct job_spec spec;
	char key[JOB_ID_BYTES + 2];
	char *record;
	size_t len;

	if (job_find(env->jobs, ask->id)) {
		fn(arg, &answer);
		return;
	}
	if (env->jobs->decode(ask->body, ask->len, &spec, &err) < 0) {
		env->counts.refused_invalid++;
		log_info("refused id=%s why=invalid text=%s", ask->id,
			 err.text);
		answer.outcome = FRONT_INVALID;
		answer.text = err.text;
		fn(arg, &answer);
		return;
	}
	if (overloaded(front, ask, &spec)) {
		job_spec_clear(&spec);
		env->counts.refused_overload++;
		log_info("refused id=%s why=overload queue=%s", ask->id,
			 ask->queue->name);
		answer.outcome = FRONT_OVERLOADED;
		answer.retry_after_ms = FRONT_RETRY_OVERLOAD_MS;
		fn(arg, &answer);
		return;
	}
	job_spec_clear(&spec);
	record = job_given_record(ask->queue->name, ask->queue->pool,
				  clk_wall_ms(env->clk), ask->body, ask->len,
				  &len);
	g_snprintf(key, sizeof(key), "j:%s", ask->id);
	waiting = wait_for(front, ask, fn, arg);
	waiting->number =
		writer_add(env->writer, key, record, len, on_stored, waiting);
	g_free(record);
}

static void cancel(struct front *front, const struct front_ask *ask,
		   front_fn *fn, void *arg)
{
	struct waiting *waiting = wait_for(front, ask, fn, arg);
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "c:%s", ask->id);
	waiting->number =
		writer_add(front->env->writer, key, "1", 1, on_stored, waiting);
}

static void answer_known(struct front *front, const struct front_ask *ask,
			 const struct job *job, front_fn *fn, void *arg)
{
	struct front_answer answer = { .outcome = FRONT_SHOWN };

	answer.state = job->shown;
	if (job->cancel_asked && !job_ended(job->shown))
		answer.state = JOB_CANCELLED;
	if (ask->kind == FRONT_STATE) {
		fn(arg, &answer);
	} else if (job->cancel_asked || job_ended(job->shown)) {
		answer.outcome = FRONT_DONE;
		fn(arg, &answer);
	} else {
		cancel(front, ask, fn, arg);
	}
}

static void on_synced(void *arg, bool complete)
{
	struct waiting *waiting = arg;
	struct front *front = waiting->front;
	struct front_ask ask = waiting->ask;
	front_fn *fn = waiting->fn;
	void *fn_arg = waiting->arg;
	struct front_answer answer = { .outcome = FRONT_NO_JOB };
	const struct job *job;

	g_ptr_array_remove(front->waiting, waiting);
	g_free(waiting);
	if (!fn)
		return;
	job = job_find(front->env->jobs, ask.id);
	if (job)
		answer_known(front, &ask, job, fn, fn_arg);
	else if (complete)
		fn(fn_arg, &answer);
	else
		answer_unavailable(front, ask.id, fn, fn_arg);
}

static void count(struct front *front, const struct front_ask *ask,
		  front_fn *fn, void *arg)
{
	struct job_store *jobs = front->env->jobs;
	struct front_answer answer = { .outcome = FRONT_COUNTED };

	for (guint i = 0; i < jobs->live->len; i++) {
		const struct job *job = jobs->live->pdata[i];

		answer.count += job->has_spec && !job->started &&
				!job->cancel_asked &&
				!strcmp(job->queue, ask->queue->name);
	}
	fn(arg, &answer);
}

void front_ask(struct front *front, const struct front_ask *ask, front_fn *fn,
	       void *arg)
{
	struct front_env *env = front->env;
	const struct job *job = NULL;

	if (ask->kind == FRONT_COUNT) {
		count(front, ask, fn, arg);
		return;
	}
	job = job_find(env->jobs, ask->id);
	if (ask->kind != FRONT_STATE &&
	    writer_stalled_ms(env->writer) > FRONT_STALLED_MS) {
		answer_unavailable(front, ask->id, fn, arg);
	} else if (ask->kind == FRONT_HAND_IN) {
		hand_in(front, ask, fn, arg);
	} else if (job) {
		answer_known(front, ask, job, fn, arg);
	} else {
		/* It may have been handed in elsewhere a moment ago. */
		tail_sync(env->tail, on_synced, wait_for(front, ask, fn, arg));
	}
}

/* A record that was not sent is taken back; then the refusal is final. */
static void give_up(struct waiting *waiting)
{
	struct front *front = waiting->front;
	struct front_answer answer = { .outcome = FRONT_UNDECIDED };

	if (writer_withdraw(front->env->writer, waiting->number)) {
		front_fn *fn = waiting->fn;
		void *arg = waiting->arg;
		char id[JOB_ID_BYTES];

		g_strlcpy(id, waiting->ask.id, sizeof(id));
		g_ptr_array_remove(front->waiting, waiting);
		g_free(waiting);
		answer_unavailable(front, id, fn, arg);
		return;
	}
	front->env->counts.undecided++;
	log_info("undecided id=%s stalled_ms=%" G_GINT64_FORMAT,
		 waiting->ask.id, writer_stalled_ms(front->env->writer));
	finish(waiting, &answer);
}

void front_tick(struct front *front)
{
	struct writer *writer = front->env->writer;
	int64_t now_ms = clk_now_ms(front->env->clk);
	bool stalled = writer_stalled_ms(writer) > FRONT_STALLED_MS;

	front->all_milli =
		MAX(front->all_milli, place_listed_milli(front->env->workers));
	for (guint i = front->waiting->len; i > 0; i--) {
		struct waiting *waiting = front->waiting->pdata[i - 1];

		if (!waiting->number)
			continue;
		if (now_ms > waiting->ask.deadline_ms - FRONT_ANSWER_MS) {
			give_up(waiting);
		} else if (stalled &&
			   !writer_is_sent(writer, waiting->number)) {
			give_up(waiting);
		}
	}
}
