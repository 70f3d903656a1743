#include "front.h"

#include <string.h>

#include "log.h"
#include "rnd.h"

enum {
	/* An append unanswered for longer, and for longer than several of its
	   answers take: the log is away. With half of the answers lost, an
	   append waits for more than 1 s in less than 1% of the cases. */
	FRONT_AWAY_MS = 1000,
	FRONT_AWAY_ANSWERS = 4,
	/* Answer this long before the deadline, for the way back. */
	FRONT_ANSWER_MARGIN_MS = 150,
	/* A job expected to take more than this part of its objective is
	   refused; above 100, as the estimates are rough. */
	FRONT_MAX_EXPECTED_PERCENT = 130,
	FRONT_RETRY_UNAVAILABLE_MS = 1000,
	FRONT_RETRY_OVERLOAD_MS = 1000,
	/* Between two sums of what all workers have. */
	FRONT_CAPACITY_GAP_MS = 100
};

/* A request that waits for the log; fn is NULL once it has been answered. */
struct pending {
	struct front *front;
	struct front_request request;
	/* A copy, as the configuration may change before the answer. */
	char queue[CFG_QUEUE_NAME_BYTES];
	int64_t start_ms;
	struct writer
		*writer; /* of the record awaited; NULL: waits for a read */
	int64_t number;	 /* of that record */
	bool stored;	 /* the job's record is; that of the index is not */
	front_fn *fn;
	void *arg;
};

struct front {
	struct front_env *env;
	int64_t next_capacity_ms;
	int64_t max_listed_milli; /* most processor time of all workers so far */
	int64_t end_ms; /* all requests are answered before; 0: none */
	GPtrArray *pending;
};

struct front *front_create(struct front_env *env)
{
	struct front *front = g_new0(struct front, 1);

	front->env = env;
	front->pending = g_ptr_array_new();
	return front;
}

void front_destroy(struct front *front)
{
	if (!front)
		return;
	g_ptr_array_set_free_func(front->pending, g_free);
	g_ptr_array_free(front->pending, TRUE);
	g_free(front);
}

uint32_t front_count_pending(const struct front *front)
{
	return front->pending->len;
}

static struct pending *pending_new(struct front *front,
				   const struct front_request *request,
				   front_fn *fn, void *arg)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->front = front;
	pending->start_ms = clk_now_ms(front->env->clk);
	pending->request = *request;
	pending->request.queue = NULL;
	if (request->queue)
		g_strlcpy(pending->queue, request->queue->name,
			  sizeof(pending->queue));
	pending->fn = fn;
	pending->arg = arg;
	g_ptr_array_add(front->pending, pending);
	return pending;
}

static void finish_request(struct pending *pending,
			   const struct front_answer *answer)
{
	front_fn *fn = pending->fn;
	void *arg = pending->arg;

	g_ptr_array_remove(pending->front->pending, pending);
	g_free(pending);
	fn(arg, answer);
}

/* Writer of the part that has a job's records. */
static struct writer *job_writer(const struct front *front, const char *id)
{
	const struct share_layout *layout = front->env->layout;
	struct job job = { .hash = rnd_hash_name(id) };

	return front->env->job_writers[share_part(
		layout, share_of_job(&job, layout->shares))];
}

/* For how long the log has not confirmed what a job's acceptance needs. */
static int64_t stalled_ms(const struct front *front, const char *id)
{
	if (!front->env->layout->shares)
		return 0;
	return MAX(writer_stalled_ms(job_writer(front, id)),
		   writer_stalled_ms(front->env->index_writer));
}

static bool is_away(const struct writer *writer)
{
	return writer_stalled_ms(writer) >
	       MAX(FRONT_AWAY_MS,
		   FRONT_AWAY_ANSWERS * writer_answer_ms(writer));
}

/*
 * Whether a record that has not been sent can be stored and published before
 * the deadline, as far as the log's answers so far tell.
 */
static bool log_answers_in_time(const struct front *front,
				const struct front_request *request)
{
	const struct writer *index = front->env->index_writer;
	const struct writer *jobs = job_writer(front, request->id);
	int64_t expected_ms =
		writer_expected_ms(jobs) + writer_expected_ms(index);
	int64_t left_ms = request->deadline_ms - FRONT_ANSWER_MARGIN_MS -
			  clk_now_ms(front->env->clk);

	return !is_away(jobs) && !is_away(index) &&
	       (!expected_ms || expected_ms <= left_ms);
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
		 "stalled_ms=%" G_GINT64_FORMAT
		 " index_age_ms=%" G_GINT64_FORMAT,
		 id, stalled_ms(front, id),
		 tail_age_ms(front->env->index_tail));
	fn(arg, &answer);
}

/* Not expected: no other process uses the name of this node's writers. */
static void answer_fenced(struct pending *pending)
{
	struct front_answer answer = { .outcome = FRONT_UNDECIDED };

	pending->front->env->counts.undecided++;
	finish_request(pending, &answer);
}

/* The log refuses the record, at this node and at any other. */
static void answer_refused(struct pending *pending)
{
	struct front_answer answer = {
		.outcome = FRONT_INVALID,
		.text = "the log refuses the job's record",
	};

	pending->front->env->counts.refused_invalid++;
	log_info("refused id=%s why=record-refused", pending->request.id);
	finish_request(pending, &answer);
}

static void on_published(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct pending *pending = arg;
	struct front_answer answer = { .outcome = FRONT_ACCEPTED };
	struct front_env *env = pending->front->env;

	(void)end;
	if (outcome != WRITER_STORED) {
		answer_fenced(pending);
		return;
	}
	if (pending->request.kind == FRONT_SUBMIT) {
		env->counts.submitted++;
		histo_add(&env->submit_ms,
			  clk_now_ms(env->clk) - pending->start_ms);
		log_info("job-accepted id=%s queue=%s", pending->request.id,
			 pending->queue);
	} else {
		env->counts.cancelled++;
		log_info("cancel-accepted id=%s", pending->request.id);
	}
	finish_request(pending, &answer);
}

static void publish(struct pending *pending, enum index_state state)
{
	struct writer *writer = pending->front->env->index_writer;
	char *record = index_record(state, pending->queue);
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "i:%s", pending->request.id);
	pending->stored = true;
	pending->writer = writer;
	pending->number = writer_add(writer, key, record, strlen(record),
				     on_published, pending);
	g_free(record);
}

/*
 * Publishes the acceptance. Only now, so that no node shows a job as accepted
 * whose record is not stored.
 */
static void on_stored(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct pending *pending = arg;

	(void)end;
	if (outcome == WRITER_STORED)
		publish(pending, pending->request.kind == FRONT_SUBMIT
					 ? INDEX_QUEUED
					 : INDEX_CANCEL_REQUESTED);
	else if (outcome == WRITER_REFUSED)
		answer_refused(pending);
	else
		answer_fenced(pending);
}

/* Time until the share has done its work with earlier targets. */
static int64_t delay_ms(const struct front *front, const struct share *share,
			int64_t wall_ms, int64_t target_ms)
{
	const struct front_env *env = front->env;
	struct place place = {
		.share = *share,
		.cfg = *env->cfg,
		.jobs = env->jobs,
		.workers = env->workers,
		.wall_ms = wall_ms,
	};

	if (*env->jobs_loaded)
		return place_backlog_ms(&place, target_ms,
					front->max_listed_milli);
	return backlogs_delay_ms(env->backlogs, share, *env->cfg, target_ms,
				 front->max_listed_milli);
}

/* Whether the pool's backlog makes the job miss its objective. */
static bool would_be_late(struct front *front,
			  const struct front_request *request,
			  const struct job_spec *spec)
{
	struct front_env *env = front->env;
	const struct cfg_terms *terms = &request->queue->terms;
	struct job candidate = {
		.spec = *spec,
		.hash = rnd_hash_name(request->id),
	};
	struct share share = {
		.pool = request->queue->pool,
		.index = share_of_job(&candidate, env->layout->shares),
		.count = env->layout->shares,
	};
	int64_t chain_ms = job_critical_path_ms(&candidate);
	int64_t wall_ms = clk_wall_ms(env->clk);
	int64_t backlog_ms, objective_ms;
	bool late;

	if (spec->steps[0].long_running || spec->repeat_count > 0)
		return false;
	objective_ms =
		terms->slack_ms + (int64_t)(terms->stretch * (double)chain_ms);

	backlog_ms = delay_ms(front, &share, wall_ms, wall_ms + objective_ms);
	late = backlog_ms + chain_ms >
	       objective_ms * FRONT_MAX_EXPECTED_PERCENT / 100;
	if (late)
		log_info("refused id=%s why=overload queue=%s "
			 "backlog_ms=%" G_GINT64_FORMAT
			 " chain_ms=%" G_GINT64_FORMAT
			 " objective_ms=%" G_GINT64_FORMAT,
			 request->id, request->queue->name, backlog_ms,
			 chain_ms, objective_ms);
	return late;
}

/* What this node knows of a job, by the index and the jobs; false: nothing. */
static bool find_state(const struct front *front, const char *id,
		       enum index_state *state)
{
	const struct index_entry *entry = index_find(front->env->index, id);
	const struct job *job = job_find(front->env->jobs, id);
	enum index_state own;

	if (!entry && !job)
		return false;
	own = job ? index_state_of(job) : INDEX_QUEUED;
	*state = entry && !index_replaces(entry->state, own) ? entry->state
							     : own;
	return true;
}

static void store(struct front *front, const struct front_request *request,
		  char kind, const char *record, size_t len, front_fn *fn,
		  void *arg)
{
	struct pending *pending = pending_new(front, request, fn, arg);
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "%c:%s", kind, request->id);
	pending->writer = job_writer(front, request->id);
	pending->number = writer_add(pending->writer, key, record, len,
				     on_stored, pending);
}

/*
 * Refuses a job that would be late, unless another node has accepted it a
 * moment ago: a refusal says that it will not run.
 */
static void on_synced_to_refuse(void *arg, bool complete)
{
	struct pending *pending = arg;
	struct front *front = pending->front;
	struct front_answer answer = {
		.outcome = FRONT_OVERLOADED,
		.retry_after_ms = FRONT_RETRY_OVERLOAD_MS,
	};
	enum index_state state;

	(void)complete; /* without an answer, by what is known */
	if (!pending->fn) {
		g_ptr_array_remove(front->pending, pending);
		g_free(pending);
		return;
	}
	if (find_state(front, pending->request.id, &state))
		answer = (struct front_answer){ .outcome = FRONT_ACCEPTED };
	else
		front->env->counts.refused_overload++;
	finish_request(pending, &answer);
}

static void refuse_invalid(struct front *front,
			   const struct front_request *request,
			   const struct err *err, front_fn *fn, void *arg)
{
	struct front_answer answer = {
		.outcome = FRONT_INVALID,
		.text = err->text,
	};

	front->env->counts.refused_invalid++;
	log_info("refused id=%s why=invalid text=%s", request->id, err->text);
	fn(arg, &answer);
}

static void submit(struct front *front, const struct front_request *request,
		   front_fn *fn, void *arg)
{
	struct front_env *env = front->env;
	struct front_answer answer = { .outcome = FRONT_ACCEPTED };
	struct err err = { .kind = ERR_OK };
	enum index_state state;
	struct job_spec spec;
	char *record;
	size_t len;

	if (find_state(front, request->id, &state)) {
		/* Its node may have stopped before it published the job. */
		if (!index_find(env->index, request->id))
			publish(pending_new(front, request, fn, arg), state);
		else
			fn(arg, &answer);
		return;
	}
	if (env->jobs->decode(request->body, request->len, &spec, &err) < 0) {
		refuse_invalid(front, request, &err, fn, arg);
		return;
	}
	if (would_be_late(front, request, &spec)) {
		job_spec_clear(&spec);
		tail_sync(env->index_tail, on_synced_to_refuse,
			  pending_new(front, request, fn, arg));
		return;
	}
	job_spec_clear(&spec);
	record = job_submission_record(request->queue, clk_wall_ms(env->clk),
				       request->body, request->len, &len);
	if (len + JOB_KEY_BYTES > env->record_bytes) {
		err_set(&err, ERR_TOO_LARGE,
			"the job has %zu bytes, the log takes %zu", len,
			env->record_bytes - JOB_KEY_BYTES);
		refuse_invalid(front, request, &err, fn, arg);
		g_free(record);
		return;
	}
	store(front, request, 'j', record, len, fn, arg);
	g_free(record);
}

static void answer_existing(struct front *front,
			    const struct front_request *request,
			    enum index_state state, front_fn *fn, void *arg)
{
	struct front_answer answer = { .outcome = FRONT_STATE_FOUND };

	answer.state = index_job_state(state);
	if (request->kind == FRONT_GET_STATE) {
		fn(arg, &answer);
	} else if (state == INDEX_CANCEL_REQUESTED || index_ended(state)) {
		answer.outcome = FRONT_ACCEPTED;
		fn(arg, &answer);
	} else {
		store(front, request, 'c', "1", 1, fn, arg);
	}
}

static void on_synced(void *arg, bool complete)
{
	struct pending *pending = arg;
	struct front *front = pending->front;
	struct front_request request = pending->request;
	front_fn *fn = pending->fn;
	void *fn_arg = pending->arg;
	struct front_answer answer = { .outcome = FRONT_NOT_FOUND };
	enum index_state state;

	g_ptr_array_remove(front->pending, pending);
	g_free(pending);
	if (!fn)
		return;
	if (find_state(front, request.id, &state))
		answer_existing(front, &request, state, fn, fn_arg);
	else if (complete)
		fn(fn_arg, &answer);
	else
		answer_unavailable(front, request.id, fn, fn_arg);
}

static void count_waiting(struct front *front,
			  const struct front_request *request, front_fn *fn,
			  void *arg)
{
	struct front_answer answer = { .outcome = FRONT_COUNTED };

	answer.count =
		index_count_waiting(front->env->index, request->queue->name);
	fn(arg, &answer);
}

const struct cfg *front_cfg(struct front *front, const char *id)
{
	struct front_env *env = front->env;
	int64_t age_ms = tail_age_ms(env->operators_tail);

	if (!*env->cfg || age_ms <= env->max_cfg_age_ms)
		return *env->cfg;
	env->counts.refused_old_cfg++;
	log_info("refused id=%s why=configuration-age age_ms=%" G_GINT64_FORMAT
		 " version=%" G_GINT64_FORMAT,
		 id, age_ms, (*env->cfg)->version);
	return NULL;
}

void front_request(struct front *front, const struct front_request *request,
		   front_fn *fn, void *arg)
{
	struct front_env *env = front->env;
	enum index_state state;

	if (request->kind == FRONT_COUNT_WAITING) {
		count_waiting(front, request, fn, arg);
		return;
	}
	if (request->kind != FRONT_GET_STATE &&
	    (!env->layout->shares || !log_answers_in_time(front, request))) {
		answer_unavailable(front, request->id, fn, arg);
	} else if (request->kind == FRONT_SUBMIT) {
		submit(front, request, fn, arg);
	} else if (find_state(front, request->id, &state)) {
		answer_existing(front, request, state, fn, arg);
	} else {
		/* Another node may have accepted it a moment ago. */
		tail_sync(env->index_tail, on_synced,
			  pending_new(front, request, fn, arg));
	}
}

/* Answers a request that waits for a read; on_synced frees it. */
static void expire_read(struct pending *pending)
{
	front_fn *fn = pending->fn;

	pending->fn = NULL;
	if (fn)
		answer_unavailable(pending->front, pending->request.id, fn,
				   pending->arg);
}

/*
 * Ends a request whose time is over. If its record has not been sent it is
 * withdrawn, so that nothing is stored; otherwise the outcome is unknown. A job
 * that is stored is still published.
 */
static void expire(struct pending *pending)
{
	struct front *front = pending->front;
	struct front_answer answer = { .outcome = FRONT_UNDECIDED };

	if (!pending->writer) {
		expire_read(pending);
		return;
	}
	if (pending->stored) {
		writer_detach(pending->writer, pending->number);
	} else if (writer_withdraw(pending->writer, pending->number)) {
		front_fn *fn = pending->fn;
		void *arg = pending->arg;
		char id[JOB_ID_BYTES];

		g_strlcpy(id, pending->request.id, sizeof(id));
		g_ptr_array_remove(front->pending, pending);
		g_free(pending);
		answer_unavailable(front, id, fn, arg);
		return;
	}
	front->env->counts.undecided++;
	log_info("undecided id=%s stored=%d stalled_ms=%" G_GINT64_FORMAT,
		 pending->request.id, pending->stored,
		 writer_stalled_ms(pending->writer));
	finish_request(pending, &answer);
}

/* Reads of the log end in time by themselves while the node runs. */
static int64_t answer_by_ms(const struct pending *pending)
{
	int64_t end_ms =
		pending->writer ? pending->request.deadline_ms : INT64_MAX;

	if (pending->front->end_ms)
		end_ms = MIN(end_ms, pending->front->end_ms);
	return end_ms - FRONT_ANSWER_MARGIN_MS;
}

void front_end_by(struct front *front, int64_t end_ms)
{
	front->end_ms = end_ms;
}

/* Whether a record waits to be sent that would come too late. */
static bool waits_in_vain(const struct pending *pending)
{
	return pending->writer && !pending->stored &&
	       !writer_is_sent(pending->writer, pending->number) &&
	       !log_answers_in_time(pending->front, &pending->request);
}

static void sum_capacity(struct front *front, int64_t now_ms)
{
	const struct front_env *env = front->env;
	int64_t listed_milli;

	if (now_ms < front->next_capacity_ms)
		return;
	front->next_capacity_ms = now_ms + FRONT_CAPACITY_GAP_MS;
	listed_milli = *env->jobs_loaded ? place_listed_milli(env->workers)
					 : backlogs_full_milli(env->backlogs);
	front->max_listed_milli = MAX(front->max_listed_milli, listed_milli);
}

void front_tick(struct front *front)
{
	int64_t now_ms = clk_now_ms(front->env->clk);

	sum_capacity(front, now_ms);
	for (guint i = front->pending->len; i > 0; i--) {
		struct pending *pending = front->pending->pdata[i - 1];

		if (now_ms > answer_by_ms(pending) || waits_in_vain(pending))
			expire(pending);
	}
}
