#include "front_int.h"

#include <string.h>

#include "job_cancel.h"
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
	FRONT_RETRY_UNAVAILABLE_MS = 1000
};

struct front_pending *front_pending_new(struct front *front,
					const struct front_request *request,
					front_fn *fn, void *arg)
{
	struct front_pending *pending = g_new0(struct front_pending, 1);

	pending->front = front;
	pending->start_ms = clk_now_ms(front->env->clk);
	pending->request = *request;
	pending->request.queue = NULL;
	if (request->queue) {
		g_strlcpy(pending->queue, request->queue->name,
			  sizeof(pending->queue));
		g_strlcpy(pending->pool, request->queue->pool,
			  sizeof(pending->pool));
	}
	pending->fn = fn;
	pending->arg = arg;
	g_ptr_array_add(front->pending, pending);
	return pending;
}

void front_pending_free(struct front_pending *pending)
{
	g_ptr_array_remove(pending->front->pending, pending);
	g_free(pending);
}

void front_pending_finish(struct front_pending *pending,
			  const struct front_answer *answer)
{
	front_fn *fn = pending->fn;
	void *arg = pending->arg;

	front_pending_free(pending);
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

bool front_log_answers_in_time(const struct front *front,
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

void front_answer_unavailable(struct front *front, const char *id, front_fn *fn,
			      void *arg)
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
static void answer_fenced(struct front_pending *pending)
{
	struct front_answer answer = { .outcome = FRONT_UNDECIDED };

	pending->front->env->counts.undecided++;
	front_pending_finish(pending, &answer);
}

/* The log refuses the record, at this node and at any other. */
static void answer_refused(struct front_pending *pending)
{
	struct front_answer answer = {
		.outcome = FRONT_INVALID,
		.text = "the log refuses the job's record",
	};

	pending->front->env->counts.refused_invalid++;
	log_info("refused id=%s why=record-refused", pending->request.id);
	front_pending_finish(pending, &answer);
}

static void on_published(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct front_pending *pending = arg;
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
	front_pending_finish(pending, &answer);
}

void front_publish(struct front_pending *pending, enum index_state state)
{
	struct writer *writer = pending->front->env->index_writer;
	/* Who cancels a job of no organisation does not get it. */
	const char *holder =
		front_job_tenant(pending->front, pending->request.id);
	size_t len;
	char *record = index_record(state, pending->queue,
				    holder ? holder : pending->request.tenant,
				    pending->unrated, &len);
	char key[JOB_ID_BYTES + 2];

	g_snprintf(key, sizeof(key), "i:%s", pending->request.id);
	pending->stored = true;
	pending->writer = writer;
	pending->number =
		writer_add(writer, key, record, len, on_published, pending);
	g_free(record);
}

/* Should the job be stored later, it is cancelled. */
static void answer_unknown(struct front_pending *pending)
{
	struct front_answer answer = { .outcome = FRONT_NOT_FOUND };

	pending->front->env->counts.cancelled_unknown++;
	log_info("cancel-of-unknown-job id=%s queue=%s", pending->request.id,
		 pending->queue);
	front_pending_finish(pending, &answer);
}

/*
 * Publishes the acceptance. Only now, so that no node shows a job as accepted
 * whose record is not stored.
 */
static void on_stored(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct front_pending *pending = arg;

	(void)end;
	if (outcome == WRITER_STORED && pending->job_unknown)
		answer_unknown(pending);
	else if (outcome == WRITER_STORED)
		front_publish(pending, pending->request.kind == FRONT_SUBMIT
					       ? INDEX_QUEUED
					       : INDEX_CANCEL_REQUESTED);
	else if (outcome == WRITER_REFUSED)
		answer_refused(pending);
	else
		answer_fenced(pending);
}

static void store(struct front_pending *pending, const char *key,
		  const char *record, size_t len)
{
	pending->writer = job_writer(pending->front, pending->request.id);
	pending->number = writer_add(pending->writer, key, record, len,
				     on_stored, pending);
}

struct front_pending *front_store_job(struct front *front,
				      const struct front_request *request,
				      const char *record, size_t len,
				      front_fn *fn, void *arg)
{
	struct front_pending *pending =
		front_pending_new(front, request, fn, arg);
	char key[JOB_KEY_BYTES];

	g_snprintf(key, sizeof(key), "j:%s:%08x%08x", request->id,
		   front->env->token_base, ++front->token_count);
	store(pending, key, record, len);
	return pending;
}

void front_store_cancel(struct front *front,
			const struct front_request *request, bool known,
			front_fn *fn, void *arg)
{
	struct front_pending *pending =
		front_pending_new(front, request, fn, arg);
	char *key = job_cancel_key(request->id, known ? NULL : request->tenant);

	pending->job_unknown = !known;
	store(pending, key, pending->pool, strlen(pending->pool));
	g_free(key);
}

/* Answers a request that waits for a read; on_synced frees it. */
static void expire_read(struct front_pending *pending)
{
	front_fn *fn = pending->fn;

	pending->fn = NULL;
	if (fn)
		front_answer_unavailable(pending->front, pending->request.id,
					 fn, pending->arg);
}

/*
 * Ends a request whose time is over. If its record has not been sent it is
 * withdrawn, so that nothing is stored; otherwise the outcome is unknown, and the
 * record of a job is given up, as its caller may have sent it to another node by
 * the time it would be stored. A job that is stored is still published, and a cancel
 * does no harm when it is late.
 */
static void expire(struct front_pending *pending)
{
	struct front *front = pending->front;
	struct front_answer answer = { .outcome = FRONT_UNDECIDED };

	if (!pending->writer) {
		expire_read(pending);
		return;
	}
	if (pending->stored ||
	    (pending->request.kind == FRONT_CANCEL &&
	     writer_is_sent(pending->writer, pending->number))) {
		writer_detach(pending->writer, pending->number);
	} else if (writer_withdraw(pending->writer, pending->number)) {
		front_fn *fn = pending->fn;
		void *arg = pending->arg;
		char id[JOB_ID_BYTES];

		g_strlcpy(id, pending->request.id, sizeof(id));
		front_pending_free(pending);
		front_answer_unavailable(front, id, fn, arg);
		return;
	}
	front->env->counts.undecided++;
	log_info("undecided id=%s stored=%d stalled_ms=%" G_GINT64_FORMAT,
		 pending->request.id, pending->stored,
		 writer_stalled_ms(pending->writer));
	front_pending_finish(pending, &answer);
}

/* Reads of the log end in time by themselves while the node runs. */
static int64_t answer_by_ms(const struct front_pending *pending)
{
	int64_t end_ms =
		pending->writer ? pending->request.deadline_ms : INT64_MAX;

	if (pending->front->end_ms)
		end_ms = MIN(end_ms, pending->front->end_ms);
	return end_ms - FRONT_ANSWER_MARGIN_MS;
}

/* Whether a record waits to be sent that would come too late. */
static bool waits_in_vain(const struct front_pending *pending)
{
	return pending->writer && !pending->stored &&
	       !writer_is_sent(pending->writer, pending->number) &&
	       !front_log_answers_in_time(pending->front, &pending->request);
}

void front_expire(struct front *front, int64_t now_ms)
{
	for (guint i = front->pending->len; i > 0; i--) {
		struct front_pending *pending = front->pending->pdata[i - 1];

		if (now_ms > answer_by_ms(pending) || waits_in_vain(pending))
			expire(pending);
	}
}
