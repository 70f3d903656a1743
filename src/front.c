#include "front_int.h"

#include <string.h>

#include "auth.h"
#include "log.h"

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

/* What this node knows of the job that a request names. */
enum known {
	KNOWN_NOTHING,
	KNOWN_FOREIGN, /* it belongs to another organisation */
	KNOWN_STATE
};

static const char *tenant_of(const struct index_entry *entry,
			     const struct job *job)
{
	if (job && *job->tenant)
		return job->tenant;
	return entry ? entry->tenant : "";
}

const char *front_job_tenant(const struct front *front, const char *id)
{
	const struct index_entry *entry = index_find(front->env->index, id);
	const struct job *job = job_find(front->env->jobs, id);

	return entry || job ? tenant_of(entry, job) : NULL;
}

/* Looks in the index and among the jobs. */
static enum known find_state(const struct front *front,
			     const struct front_request *request,
			     enum index_state *state)
{
	const struct index_entry *entry =
		index_find(front->env->index, request->id);
	const struct job *job = job_find(front->env->jobs, request->id);
	const char *tenant = tenant_of(entry, job);
	enum index_state own;

	if (!entry && !job)
		return KNOWN_NOTHING;
	if (*tenant && strcmp(tenant, request->tenant))
		return KNOWN_FOREIGN;
	own = job ? index_state_of(job) : INDEX_QUEUED;
	*state = entry && !index_replaces(entry->state, own) ? entry->state
							     : own;
	return KNOWN_STATE;
}

/*
 * Refuses a job that would be late, unless another node has accepted it a
 * moment ago: a refusal says that it will not run.
 */
static void on_synced_to_refuse(void *arg, bool complete)
{
	struct front_pending *pending = arg;
	struct front *front = pending->front;
	struct front_answer answer = {
		.outcome = FRONT_OVERLOADED,
		.retry_after_ms = pending->retry_after_ms,
	};
	enum index_state state;

	(void)complete; /* without an answer, by what is known */
	if (!pending->fn) {
		front_pending_free(pending);
		return;
	}
	if (find_state(front, &pending->request, &state) == KNOWN_STATE)
		answer = (struct front_answer){ .outcome = FRONT_ACCEPTED };
	else if (pending->refusal == FRONT_REFUSE_RATE)
		front->env->counts.refused_rate++;
	else if (pending->refusal == FRONT_REFUSE_FULL)
		front->env->counts.refused_full++;
	else
		front->env->counts.refused_overload++;
	front_pending_finish(pending, &answer);
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

/* The answer is that to a malformed request, so that it tells nothing of the job. */
static void refuse_foreign(struct front *front,
			   const struct front_request *request, front_fn *fn,
			   void *arg)
{
	struct front_answer answer = { .outcome = FRONT_INVALID, .text = "" };

	front->env->counts.refused_invalid++;
	log_info("refused id=%s why=id-of-another-tenant tenant=%s",
		 request->id, request->tenant);
	fn(arg, &answer);
}

static void refuse_if_unknown(struct front *front,
			      const struct front_request *request,
			      const struct front_decision *decision,
			      front_fn *fn, void *arg)
{
	struct front_pending *pending =
		front_pending_new(front, request, fn, arg);

	pending->refusal = decision->refusal;
	pending->retry_after_ms = decision->retry_after_ms;
	tail_sync(front->env->index_tail, on_synced_to_refuse, pending);
}

static void submit(struct front *front, const struct front_request *request,
		   front_fn *fn, void *arg)
{
	struct front_env *env = front->env;
	struct front_answer answer = { .outcome = FRONT_ACCEPTED };
	struct err err = { .kind = ERR_OK };
	enum index_state state;
	struct job_spec spec;
	struct front_decision decision;
	struct front_pending *pending;
	int64_t tasks;
	bool unrated;
	struct job_origin origin = {
		.queue = request->queue,
		.tenant = request->tenant,
		.wall_ms = clk_wall_ms(env->clk),
	};
	enum known known = find_state(front, request, &state);
	char *record;
	size_t len;

	if (known == KNOWN_FOREIGN) {
		refuse_foreign(front, request, fn, arg);
		return;
	}
	if (known == KNOWN_STATE) {
		/* Its node may have stopped before it published the job. */
		if (!index_find(env->index, request->id))
			front_publish(
				front_pending_new(front, request, fn, arg),
				state);
		else
			fn(arg, &answer);
		return;
	}
	if (env->jobs->decode(request->body, request->len, &spec, &err) < 0) {
		refuse_invalid(front, request, &err, fn, arg);
		return;
	}
	decision = front_decide(front, request, &spec);
	unrated = job_spec_is_unrated(&spec);
	tasks = job_class_of(&spec) == JOB_UNTIMED ? job_spec_tasks(&spec) : 0;
	job_spec_clear(&spec);
	if (decision.refusal != FRONT_ACCEPT) {
		refuse_if_unknown(front, request, &decision, fn, arg);
		return;
	}
	origin.beyond_rate = decision.beyond_rate;
	record = job_submission_record(&origin, request->body, request->len,
				       &len);
	if (len + JOB_KEY_BYTES > env->record_bytes) {
		err_set(&err, ERR_TOO_LARGE,
			"the job has %zu bytes, the log takes %zu", len,
			env->record_bytes - JOB_KEY_BYTES);
		refuse_invalid(front, request, &err, fn, arg);
		g_free(record);
		return;
	}
	pending = front_store_job(front, request, record, len, fn, arg);
	pending->unrated = unrated;
	pending->tasks = tasks;
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
		front_store_cancel(front, request, true, fn, arg);
	}
}

static void on_synced(void *arg, bool complete)
{
	struct front_pending *pending = arg;
	struct front *front = pending->front;
	struct front_request request = pending->request;
	front_fn *fn = pending->fn;
	void *fn_arg = pending->arg;
	struct front_answer answer = { .outcome = FRONT_NOT_FOUND };
	/* That of the request may have gone with its configuration. */
	struct cfg_queue queue = { 0 };
	enum index_state state;

	g_strlcpy(queue.name, pending->queue, sizeof(queue.name));
	g_strlcpy(queue.pool, pending->pool, sizeof(queue.pool));
	request.queue = &queue;
	front_pending_free(pending);
	if (!fn)
		return;
	if (find_state(front, &request, &state) == KNOWN_STATE)
		answer_existing(front, &request, state, fn, fn_arg);
	else if (complete && request.kind == FRONT_CANCEL)
		front_store_cancel(front, &request, false, fn, fn_arg);
	else if (complete)
		fn(fn_arg, &answer);
	else
		front_answer_unavailable(front, request.id, fn, fn_arg);
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

const char *front_tenant(struct front *front, const struct cfg *cfg,
			 const struct cfg_queue *queue, const char *key,
			 const char *id)
{
	const char *tenant;
	enum auth_outcome outcome = auth_check(cfg, queue, key, &tenant);

	if (outcome == AUTH_ALLOWED)
		return tenant;
	front->env->counts.refused_key++;
	log_info("refused id=%s why=%s queue=%s version=%" G_GINT64_FORMAT, id,
		 auth_name(outcome), queue->name, cfg->version);
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
	    (!env->layout->shares ||
	     !front_log_answers_in_time(front, request))) {
		front_answer_unavailable(front, request->id, fn, arg);
	} else if (request->kind == FRONT_SUBMIT) {
		submit(front, request, fn, arg);
	} else if (find_state(front, request, &state) == KNOWN_STATE) {
		answer_existing(front, request, state, fn, arg);
	} else {
		/* Another node may have accepted it a moment ago. */
		tail_sync(env->index_tail, on_synced,
			  front_pending_new(front, request, fn, arg));
	}
}

void front_end_by(struct front *front, int64_t end_ms)
{
	front->end_ms = end_ms;
}

void front_tick(struct front *front)
{
	int64_t now_ms = clk_now_ms(front->env->clk);

	front_sum_capacity(front, now_ms);
	front_expire(front, now_ms);
}
