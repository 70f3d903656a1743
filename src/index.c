#include "index.h"

#include <string.h>

/*
 * The value of a record is the letter of the state, a space, and the job's
 * queue, which may be empty if the record is not the first one of the job. A
 * zero byte and the name of the job's organisation follow if it has one, and
 * another one and "-" if the job does not count against its rate; older builds read
 * the queue up to the first zero byte. Letters are those of enum index_state,
 * in its order.
 */
static const char state_letters[] = "qrxdfc";

struct index *index_create(void)
{
	struct index *index = g_new0(struct index, 1);

	index->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	index->waiting = g_hash_table_new(NULL, NULL);
	return index;
}

void index_destroy(struct index *index)
{
	if (!index)
		return;
	g_hash_table_destroy(index->entries);
	g_hash_table_destroy(index->waiting);
	g_free(index);
}

const struct index_entry *index_find(const struct index *index, const char *id)
{
	return g_hash_table_lookup(index->entries, id);
}

static void count_waiting(struct index *index, const struct index_entry *entry,
			  int change)
{
	int count = GPOINTER_TO_INT(
		g_hash_table_lookup(index->waiting, entry->queue));

	if (entry->state == INDEX_QUEUED)
		g_hash_table_insert(index->waiting, (char *)entry->queue,
				    GINT_TO_POINTER(count + change));
}

static bool state_from_letter(char letter, enum index_state *state)
{
	const char *at = letter ? strchr(state_letters, letter) : NULL;

	if (!at)
		return false;
	*state = (enum index_state)(at - state_letters);
	return true;
}

static struct index_entry *add_entry(struct index *index, const char *id,
				     enum index_state state, const char *queue,
				     const char *tenant)
{
	struct index_entry *entry = g_new0(struct index_entry, 1);

	g_strlcpy(entry->id, id, sizeof(entry->id));
	entry->state = state;
	entry->recorded = state;
	entry->queue = g_intern_string(queue);
	entry->tenant = g_intern_string(tenant);
	g_hash_table_insert(index->entries, entry->id, entry);
	count_waiting(index, entry, 1);
	return entry;
}

/*
 * Two nodes may have accepted the job by different configurations. The newest names
 * hold, as a reader that starts later sees no others; the job's owner writes them
 * again if they are not those of its submission.
 */
static void set_names(struct index *index, struct index_entry *entry,
		      const char *queue, const char *tenant)
{
	count_waiting(index, entry, -1);
	entry->queue = g_intern_string(queue);
	count_waiting(index, entry, 1);
	entry->tenant = g_intern_string(tenant);
}

int index_apply(struct index *index, const char *id, const char *value,
		size_t len, struct err *err)
{
	struct index_entry *entry = g_hash_table_lookup(index->entries, id);
	/* The queue, the organisation and a mark, or nothing, each with a zero
	   byte. */
	char names[CFG_QUEUE_NAME_BYTES + LIMIT_NAME_BYTES + 3] = { 0 };
	const char *tenant, *mark;
	enum index_state state;

	if (len < 2 || value[1] != ' ' || len - 2 >= sizeof(names) - 1 ||
	    !state_from_letter(value[0], &state))
		return err_set(err, ERR_INVALID, "no state and queue");
	memcpy(names, value + 2, len - 2);
	if (strlen(names) >= CFG_QUEUE_NAME_BYTES)
		return err_set(err, ERR_INVALID,
			       "the queue's name is too long");
	tenant = names + strlen(names) + 1;
	mark = tenant + strlen(tenant) + 1;
	if (!entry) {
		entry = add_entry(index, id, state, names, tenant);
		entry->unrated = *mark == '-';
		return 0;
	}
	set_names(index, entry, names, tenant);
	entry->recorded = state;
	if (!index_replaces(entry->state, state))
		return 0;
	count_waiting(index, entry, -1);
	entry->state = state;
	return 0;
}

void index_remove(struct index *index, const char *id)
{
	struct index_entry *entry = g_hash_table_lookup(index->entries, id);

	if (!entry)
		return;
	count_waiting(index, entry, -1);
	g_hash_table_remove(index->entries, id);
}

int64_t index_count_waiting(const struct index *index, const char *queue)
{
	return GPOINTER_TO_INT(
		g_hash_table_lookup(index->waiting, g_intern_string(queue)));
}

char *index_record(enum index_state state, const char *queue,
		   const char *tenant, bool unrated, size_t *len)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%c %s", state_letters[state], queue);
	if (*tenant) {
		g_string_append_c(text, '\0');
		g_string_append(text, tenant);
	}
	if (*tenant && unrated)
		g_string_append_len(text, "\0-", 2);
	*len = text->len;
	return g_string_free(text, FALSE);
}

enum index_state index_state_of(const struct job *job)
{
	switch (job->stored_state) {
	case JOB_DONE:
		return INDEX_DONE;
	case JOB_FAILED:
		return INDEX_FAILED;
	case JOB_CANCELLED:
		return INDEX_CANCELLED;
	case JOB_QUEUED:
	case JOB_RUNNING:
		break;
	}
	if (job->cancel_requested)
		return INDEX_CANCEL_REQUESTED;
	return job->stored_state == JOB_RUNNING ? INDEX_RUNNING : INDEX_QUEUED;
}

enum job_state index_job_state(enum index_state state)
{
	static const enum job_state states[INDEX_STATE_COUNT] = {
		[INDEX_QUEUED] = JOB_QUEUED,
		[INDEX_RUNNING] = JOB_RUNNING,
		[INDEX_CANCEL_REQUESTED] = JOB_CANCELLED,
		[INDEX_DONE] = JOB_DONE,
		[INDEX_FAILED] = JOB_FAILED,
		[INDEX_CANCELLED] = JOB_CANCELLED,
	};

	return states[state];
}
