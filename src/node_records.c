#include "node_int.h"

#include <string.h>

#include "job_cancel.h"
#include "log.h"

static void apply_cfg(struct node *node, const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	struct cfg *cfg = NULL;

	if (node->config.decoders.cfg(record->value, record->value_len, &cfg,
				      &err) < 0) {
		log_error("configuration at offset %" G_GINT64_FORMAT
			  " rejected: %s",
			  record->offset, err.text);
		return;
	}
	if (node->cfg && cfg->version <= node->cfg->version) {
		cfg_destroy(cfg);
		return;
	}
	log_info("configuration-in-force version=%" G_GINT64_FORMAT
		 " offset=%" G_GINT64_FORMAT,
		 cfg->version, record->offset);
	cfg_destroy(node->previous_cfg);
	node->previous_cfg = node->cfg;
	node->cfg = cfg;
	node_create_pools(node);
}

static void apply_wave(struct node *node, const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	struct host_wave wave;

	if (node->config.decoders.wave(record->value, record->value_len, &wave,
				       &err) < 0)
		log_error("wave at offset %" G_GINT64_FORMAT " rejected: %s",
			  record->offset, err.text);
	else
		maint_add_wave(node->maint, &wave,
			       tail_loaded(node->operators_tail));
}

static bool has_key(const struct stream_record *record, const char *key)
{
	return record->key_len == strlen(key) &&
	       !memcmp(record->key, key, record->key_len);
}

void node_on_operator_record(void *arg, const struct stream_record *record)
{
	struct node *node = arg;
	const struct node_streams *streams = &node->config.streams;
	size_t prefix_len = strlen(streams->wave_prefix);

	if (record->value && has_key(record, streams->cfg_key))
		apply_cfg(node, record);
	else if (record->value && record->key_len >= prefix_len &&
		 !memcmp(record->key, streams->wave_prefix, prefix_len))
		apply_wave(node, record);
}

/* The key as an id; bytes that no id of a worker has are escaped. */
static char *read_id(const struct stream_record *record)
{
	GString *id = g_string_new(NULL);

	for (size_t i = 0; i < record->key_len; i++)
		if (g_ascii_isgraph(record->key[i]))
			g_string_append_c(id, record->key[i]);
		else
			g_string_append_printf(id, " %02x",
					       (unsigned char)record->key[i]);
	return g_string_free(id, FALSE);
}

/* Decodes an entry; an id with an escape is refused as no id of a worker. */
static void put_worker(struct node *node, const struct worker_entry *entry)
{
	const struct worker *known = worker_find(node->workers, entry->id);
	bool new_life = !known || known->entry.boot_ms != entry->boot_ms;
	struct worker *worker = worker_put(node->workers, entry);

	if (new_life)
		worker->life_seen_ms = clk_now_ms(node->config.clk);
}

void node_on_worker_record(void *arg, const struct stream_record *record)
{
	struct node *node = arg;
	struct err err = { .kind = ERR_OK };
	struct worker_entry entry;
	char *id = read_id(record);

	if (!record->value)
		worker_unlist(node->workers, id);
	else if (node->config.decoders.worker(id, record->value,
					      record->value_len, &entry,
					      &err) == 0)
		put_worker(node, &entry);
	else if (worker_reject(node->workers, id))
		log_warn("entry of worker %.60s rejected: %s", id, err.text);
	g_free(id);
}

void node_on_registry_reload(void *arg)
{
	struct node *node = arg;

	for (guint i = 0; i < node->workers->list->len; i++) {
		struct worker *worker = node->workers->list->pdata[i];

		worker->listed = false;
	}
}

static void apply_host_plan(struct node *node,
			    const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	char *host = g_strndup(record->key + 2, record->key_len - 2);

	if (host_plan_apply(node->plans, host, record->offset, record->value,
			    record->value_len, maint_is_owner(node->maint),
			    clk_now_ms(node->config.clk), &err) < 0)
		log_error("plan of host %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  host, record->offset, err.text);
	g_free(host);
}

static void apply_bounds(struct node *node, const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	char *key = g_strndup(record->key + 2, record->key_len - 2);

	if (record->value &&
	    bound_apply(&node->bounds, key, record->offset, record->value,
			record->value_len, clk_now_ms(node->config.clk),
			&err) < 0)
		log_error("bounds of %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  key, record->offset, err.text);
	g_free(key);
}

/* Grants to a share, or what its owner says that it uses of limits. */
static void apply_quota(struct node *node, const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	char *key = g_strndup(record->key + 2, record->key_len - 2);
	int status = 0;

	if (record->value && record->key[0] == 'q')
		status = quota_apply_grants(&node->quotas, key, record->offset,
					    record->value, record->value_len,
					    &err);
	else if (record->value)
		status =
			quota_apply_use(&node->quotas, key, record->offset,
					record->value, record->value_len, &err);
	if (status < 0)
		log_error("limits of share %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  key, record->offset, err.text);
	g_free(key);
}

static bool read_layout(const struct stream_record *record,
			struct share_layout *layout)
{
	if (record->value &&
	    share_layout_parse(record->value, record->value_len, layout))
		return true;
	log_error("layout of shares at offset %" G_GINT64_FORMAT
		  " cannot be read",
		  record->offset);
	return false;
}

/* The first record holds for good: owners act on the numbers. */
static void apply_layout(struct node *node, const struct stream_record *record)
{
	struct share_layout layout;

	if (node->layout.shares || !read_layout(record, &layout))
		return;
	log_info("layout-decided shares=%u parts=%u offset=%" G_GINT64_FORMAT,
		 layout.shares, layout.parts, record->offset);
	node_use_layout(node, &layout);
}

/* While the index is being read, its jobs may be old. */
static void count_accepted(struct node *node, const struct index_entry *entry)
{
	if (node->rate && entry && *entry->tenant && !entry->unrated &&
	    tail_loaded(node->index_tail))
		rate_note(node->rate, entry->tenant,
			  clk_now_ms(node->config.clk));
}

static void apply_state(struct node *node, const char *id,
			const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	bool known = index_find(node->index, id) != NULL;
	struct pool *pool;

	if (!record->value)
		index_remove(node->index, id);
	else if (index_apply(node->index, id, record->value, record->value_len,
			     &err) < 0)
		log_error("state of job %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  id, record->offset, err.text);
	if (!known)
		count_accepted(node, index_find(node->index, id));
	pool = node_owner_of_job(node, job_find(node->jobs, id));
	if (pool)
		pool_check_published(pool, job_find(node->jobs, id));
}

static void apply_backlog(struct node *node, const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	char *key = g_strndup(record->key + 2, record->key_len - 2);

	if (record->value && backlogs_apply(&node->backlogs, key, record->value,
					    record->value_len, &err) < 0)
		log_error("load of share %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  key, record->offset, err.text);
	g_free(key);
}

/* Reads the id of a key "K:ID"; false if it has another form. */
static bool read_job_id(const struct stream_record *record, char *id)
{
	if (record->key_len != JOB_ID_BYTES + 1 || record->key[1] != ':')
		return false;
	memcpy(id, record->key + 2, JOB_ID_BYTES - 1);
	id[JOB_ID_BYTES - 1] = 0;
	return true;
}

/* Key "K:ID" or "K:ID:SUFFIX" of a record. */
struct job_key {
	char id[JOB_ID_BYTES];
	bool has_suffix;
	char suffix[LIMIT_NAME_BYTES];
};

static bool read_job_key(const struct stream_record *record,
			 struct job_key *key)
{
	struct stream_record plain = *record;
	size_t suffix_len;

	*key = (struct job_key){ .has_suffix = false };
	plain.key_len = MIN(record->key_len, JOB_ID_BYTES + 1);
	if (!read_job_id(&plain, key->id))
		return false;
	if (record->key_len == plain.key_len)
		return true;
	suffix_len = record->key_len - plain.key_len - 1;
	if (record->key[plain.key_len] != ':' ||
	    suffix_len >= sizeof(key->suffix))
		return false;
	key->has_suffix = true;
	memcpy(key->suffix, record->key + plain.key_len + 1, suffix_len);
	return true;
}

/* Keys are "i:ID" of a job's state, "s:POOL/SHARE" of a load, and two others. */
void node_on_index_record(void *arg, const struct stream_record *record)
{
	struct node *node = arg;
	char id[JOB_ID_BYTES];

	if (has_key(record, NODE_SHARES_KEY)) {
		apply_layout(node, record);
	} else if (has_key(record, NODE_DECIDER_KEY)) {
		/* While loading, the record may be old: the log retains the
		   newest of each key without limit. */
		if (record->value && tail_loaded(node->index_tail))
			standby_apply(&node->standby, record->value,
				      record->value_len,
				      clk_now_ms(node->config.clk));
	} else if (record->key_len > 2 && !memcmp(record->key, "s:", 2)) {
		apply_backlog(node, record);
	} else if (read_job_id(record, id) && record->key[0] == 'i') {
		apply_state(node, id, record);
	}
}

/* Reads the id and the number of a key "r:ID:N"; false if it has another form. */
static bool read_range_key(const struct stream_record *record, char *id,
			   uint32_t *number)
{
	const size_t id_len = JOB_ID_BYTES - 1;
	char key[JOB_KEY_BYTES];
	guint64 value;

	if (record->key_len < id_len + 4 || record->key_len >= sizeof(key) ||
	    record->key[0] != 'r' || record->key[1] != ':' ||
	    record->key[id_len + 2] != ':')
		return false;
	g_snprintf(key, sizeof(key), "%.*s", (int)record->key_len, record->key);
	if (!g_ascii_string_to_unsigned(key + id_len + 3, 10, 0, JOB_MAX_TASKS,
					&value, NULL))
		return false;
	*number = (uint32_t)value;
	g_strlcpy(id, key + 2, JOB_ID_BYTES);
	return true;
}

static void apply_range(struct node *node, const char *id, uint32_t number,
			const struct stream_record *record)
{
	struct job *job = job_find(node->jobs, id);

	if (record->value)
		job_apply_range(node->jobs, id, number, record->offset,
				record->value, record->value_len,
				node_owner_of_job(node, job));
	else if (job)
		job_range_remove(job, number);
}

/* Notes when a job has ended, unless that may be long ago. */
static void note_end(struct node *node, const char *id)
{
	struct job *job = job_find(node->jobs, id);

	if (job && !job->end_read_ms && node->jobs_loaded &&
	    job_ended(job->stored_state))
		job->end_read_ms = clk_now_ms(node->config.clk);
}

static void apply_cancel(struct node *node, const struct job_key *key,
			 const struct stream_record *record)
{
	const char *tenant = key->has_suffix ? key->suffix : NULL;
	char *pool;

	if (!record->value) {
		job_cancel_remove(node->jobs, key->id, tenant);
		return;
	}
	pool = g_strndup(record->value, record->value_len);
	job_cancel_apply(node->jobs, key->id, tenant, pool);
	g_free(pool);
	if (node_owner_of_job(node, job_find(node->jobs, key->id)))
		log_info("cancel-read id=%s offset=%" G_GINT64_FORMAT, key->id,
			 record->offset);
}

/* With the record of any of its submissions, the job is deleted. */
static int apply_submission(struct node *node, const struct job_key *key,
			    const struct stream_record *record, struct err *err)
{
	if (record->value)
		return job_apply_submission(node->jobs, key->id, key->suffix,
					    record->offset, record->value,
					    record->value_len, err);
	job_remove(node->jobs, key->id);
	return 0;
}

static int apply_progress(struct node *node, const struct job_key *key,
			  const struct stream_record *record, struct err *err)
{
	int status;

	if (!record->value)
		return 0;
	status = job_apply_progress(
		node->jobs, key->id, record->offset, record->value,
		record->value_len,
		node_owner_of_job(node, job_find(node->jobs, key->id)), err);
	note_end(node, key->id);
	return status;
}

/*
 * A key is a letter for the kind of record (j: job, c: cancellation, p:
 * progress, r: range of its tasks, h: host plan, b: bounds of an owner, q: grants to
 * a share, u: what it uses), a colon, and the job's id, the host's name or what is
 * owned; a colon and the token follow the id of a submission, a colon and a number
 * that of a range, and what follows that of a cancel see job_cancel.h.
 */
void node_on_job_record(void *arg, const struct stream_record *record)
{
	struct node *node = arg;
	struct err err = { .kind = ERR_OK };
	struct job_key key;
	uint32_t number;
	int status = 0;

	if (record->key_len > 2 && !memcmp(record->key, "h:", 2)) {
		apply_host_plan(node, record);
		return;
	}
	if (record->key_len > 2 && !memcmp(record->key, "b:", 2)) {
		apply_bounds(node, record);
		return;
	}
	if (record->key_len > 2 &&
	    (!memcmp(record->key, "q:", 2) || !memcmp(record->key, "u:", 2))) {
		apply_quota(node, record);
		return;
	}
	if (has_key(record, NODE_SHARES_KEY)) {
		read_layout(record, &node->older_layout);
		return;
	}
	if (read_range_key(record, key.id, &number)) {
		apply_range(node, key.id, number, record);
		return;
	}
	if (!read_job_key(record, &key))
		return;
	switch (record->key[0]) {
	case 'j':
		status = apply_submission(node, &key, record, &err);
		break;
	case 'c':
		apply_cancel(node, &key, record);
		break;
	case 'p':
		status = apply_progress(node, &key, record, &err);
		break;
	}
	if (status < 0)
		log_error("record %c of job %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  record->key[0], key.id, record->offset, err.text);
}
