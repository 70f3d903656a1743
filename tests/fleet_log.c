/*
 * The log service as the nodes of the simulation call it: appends, reads and
 * memberships, with its faults.
 */
#include <string.h>

#include "fleet_sim_int.h"

enum {
	/* As the nodes' calls to the log, see platform/store.c. */
	READ_SLACK_MS = 800,
	NEWEST_TIMEOUT_MS = 1500,
	/* Of an encoded record, besides its key and value. */
	RECORD_HEADER_BYTES = 5,
};

static void answer_append(struct sim *sim, struct event *event)
{
	if (!sim_can_deliver(sim, event))
		return;
	event->on_append(event->arg, &event->appended);
	sim_event_free(event);
}

static struct stream_append_result apply_append(struct sim *sim,
						struct event *event)
{
	struct log_append append = {
		.topic = event->id.topic,
		.part = event->id.part,
		.producer = event->producer,
		.epoch = event->epoch,
		.sequence = event->sequence,
		.at = -1,
		.bytes = (const char *)event->bytes->data,
		.len = event->bytes->len,
	};

	return log_model_append(sim->log, &append);
}

static bool is_unanswered(struct sim *sim)
{
	return sim->faults.unanswered_percent &&
	       sim_random_below(sim, 100) < sim->faults.unanswered_percent;
}

static void execute_append(struct sim *sim, struct event *event)
{
	event->fn = answer_append;
	if (is_unanswered(sim)) {
		apply_append(sim, event);
		event->appended.outcome = STREAM_UNKNOWN;
		sim_schedule(sim, event, event->timeout_ms);
		return;
	}
	if (sim->faults.log_down ||
	    sim_random_below(sim, 100) < sim->faults.refused_percent) {
		event->appended.outcome = STREAM_REFUSED;
	} else {
		event->appended = apply_append(sim, event);
		if (sim_random_below(sim, 100) < sim->faults.lost_percent ||
		    sim_event_node(sim, event)->log_answers_lost)
			event->appended.outcome = STREAM_UNKNOWN;
	}
	sim_schedule(sim, event,
		     1 + sim_random_below(sim, 8) +
			     sim->faults.append_answer_ms);
}

/* Executes an append whose sender has already got STREAM_UNKNOWN. */
static void execute_late_append(struct sim *sim, struct event *event)
{
	apply_append(sim, event);
	sim_event_free(event);
}

static struct event *copy_late_append(const struct event *event)
{
	struct event *copy = g_new0(struct event, 1);

	copy->client = event->client;
	copy->fn = execute_late_append;
	copy->id = event->id;
	copy->producer = g_strdup(event->producer);
	copy->epoch = event->epoch;
	copy->sequence = event->sequence;
	copy->bytes = g_byte_array_new();
	g_byte_array_append(copy->bytes, event->bytes->data, event->bytes->len);
	return copy;
}

static bool is_cut_from_log(const struct client *client)
{
	return client->sim->nodes[client->node].cut_from_log;
}

static void io_append(void *io, const struct stream_append *append,
		      stream_append_fn *fn, void *arg)
{
	struct client *client = io;
	struct sim *sim = client->sim;
	struct event *event = sim_event_new(client, execute_append);

	event->id = append->id;
	event->producer = g_strdup(append->producer);
	event->epoch = append->epoch;
	event->sequence = append->sequence;
	event->timeout_ms = append->timeout_ms;
	event->bytes = g_byte_array_new();
	g_byte_array_append(event->bytes, (const guint8 *)append->records,
			    (guint)append->len);
	event->on_append = fn;
	event->arg = arg;
	if (is_cut_from_log(client)) {
		event->appended.outcome = STREAM_UNKNOWN;
		event->fn = answer_append;
		sim_schedule(sim, event, 500);
	} else if (sim_random_below(sim, 100) < sim->faults.late_percent) {
		sim_schedule(sim, copy_late_append(event),
			     LATE_MIN_MS + sim_random_below(sim, 5000));
		event->appended.outcome = STREAM_UNKNOWN;
		event->fn = answer_append;
		sim_schedule(sim, event, 100 + sim_random_below(sim, 500));
	} else {
		sim_schedule(sim, event, 1 + sim_random_below(sim, 4));
	}
}

static void add_record(GArray *records, const struct log_topic *topic, guint i)
{
	const struct log_record *at =
		&g_array_index(topic->records, struct log_record, i);
	struct stream_record record = {
		.key = at->key,
		.key_len = strlen(at->key),
		.value = at->value,
		.value_len = at->len,
		.offset = i,
	};

	g_array_append_val(records, record);
}

/* Adds the newest record of each key, unless it is a tombstone. */
static void add_newest(GArray *records, const struct log_topic *topic,
		       int64_t end)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (int64_t i = end - 1; i >= 0; i--) {
		const struct log_record *at = &g_array_index(
			topic->records, struct log_record, (guint)i);

		if (g_hash_table_add(seen, at->key) && at->value)
			add_record(records, topic, (guint)i);
	}
	g_hash_table_destroy(seen);
}

/* Collects the records of an answer that ends before the given offset. */
static GArray *collect_records(struct sim *sim, const struct event *event,
			       int64_t end)
{
	struct log_topic *topic =
		log_model_part(sim->log, event->id.topic, event->id.part);
	GArray *records =
		g_array_new(FALSE, FALSE, sizeof(struct stream_record));

	if (event->newest)
		add_newest(records, topic, end);
	else
		for (int64_t i = event->from; i < end; i++)
			add_record(records, topic, (guint)i);
	return records;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct stream_record *left = a;
	const struct stream_record *right = b;

	return strcmp(left->key, right->key);
}

/* Leaves one page of newest records, in the order of their keys. */
static bool cut_page(const struct sim *sim, const struct event *event,
		     GArray *records)
{
	guint before = 0;
	bool more;

	if (!event->newest)
		return false;
	g_array_sort(records, compare_keys);
	if (!sim->page_records)
		return false;
	while (event->after && before < records->len &&
	       strcmp(g_array_index(records, struct stream_record, before).key,
		      event->after) <= 0)
		before++;
	g_array_remove_range(records, 0, before);
	more = records->len > sim->page_records;
	if (more)
		g_array_set_size(records, sim->page_records);
	return more;
}

static int64_t count_bytes(const GArray *records)
{
	int64_t bytes = 0;

	for (guint i = 0; i < records->len; i++) {
		const struct stream_record *record =
			&g_array_index(records, struct stream_record, i);

		bytes += RECORD_HEADER_BYTES + (int64_t)record->key_len +
			 (int64_t)record->value_len;
	}
	return bytes;
}

static void count_job_page(struct sim *sim, const struct event *event,
			   int change)
{
	struct sim_node *node = sim_event_node(sim, event);

	if (strcmp(event->id.topic, "keyed.jobs") != 0)
		return;
	node->job_pages += change;
	node->most_job_pages = MAX(node->most_job_pages, node->job_pages);
}

static void answer_batch(struct sim *sim, struct event *event)
{
	struct log_topic *topic =
		log_model_part(sim->log, event->id.topic, event->id.part);
	int64_t end = event->end >= 0 ? event->end : topic->records->len;
	struct stream_batch batch = {
		.outcome = STREAM_OK,
		.end = end,
		.next = end,
	};
	GArray *records;

	if (!sim_can_deliver(sim, event))
		return;
	if (event->newest)
		count_job_page(sim, event, -1);
	records = collect_records(sim, event, end);
	batch.more = cut_page(sim, event, records);
	if (!event->newest && event->from < topic->first)
		batch.outcome = STREAM_DELETED;
	if (is_cut_from_log(&event->client) || sim->faults.log_down ||
	    event->given_up || sim_event_node(sim, event)->log_answers_lost)
		batch.outcome = STREAM_UNKNOWN;
	else
		sim_event_node(sim, event)->read_bytes +=
			(uint64_t)count_bytes(records);
	batch.count = batch.outcome == STREAM_OK ? records->len : 0;
	batch.records = (const struct stream_record *)records->data;
	event->on_batch(event->arg, &batch);
	g_array_free(records, TRUE);
	sim_event_free(event);
}

/* Delivers the answer once it has been sent after those queued before it. */
static void queue_batch(struct sim *sim, struct event *event)
{
	int64_t now_us = sim->clk.manual_ms * 1000;
	GArray *records;

	event->fn = answer_batch;
	if (!sim->read_bytes_per_ms) {
		answer_batch(sim, event);
		return;
	}
	event->end = log_model_part(sim->log, event->id.topic, event->id.part)
			     ->records->len;
	records = collect_records(sim, event, event->end);
	cut_page(sim, event, records);
	sim->reads_sent_us =
		MAX(sim->reads_sent_us, now_us) +
		count_bytes(records) * 1000 / sim->read_bytes_per_ms;
	g_array_free(records, TRUE);
	event->given_up = event->give_up_ms &&
			  sim->reads_sent_us / 1000 > event->give_up_ms;
	sim_schedule(sim, event,
		     (event->given_up ? event->give_up_ms * 1000 - now_us
				      : sim->reads_sent_us - now_us) /
			     1000);
}

/* Polls until there is a record or the reader's wait ends. */
static void poll_read(struct sim *sim, struct event *event)
{
	struct log_topic *topic =
		log_model_part(sim->log, event->id.topic, event->id.part);
	bool wait = !is_cut_from_log(&event->client) && !sim->faults.log_down &&
		    event->from >= (int64_t)topic->records->len &&
		    sim->clk.manual_ms < event->until_ms;

	if (!wait)
		event->fn = queue_batch;
	sim_schedule(sim, event, wait ? STEP_MS : 1 + sim_random_below(sim, 4));
}

/* Whether a call by the node to read the topic gets no answer. */
static bool is_read_unanswered(const struct client *client,
			       const struct stream_id *id)
{
	struct sim_node *node = &client->sim->nodes[client->node];

	if (!node->unanswered_reads ||
	    strcmp(id->topic, node->unanswered_topic) != 0)
		return false;
	if (node->unanswered_reads > 0)
		node->unanswered_reads--;
	return true;
}

/* Lets a call to read end at its timeout. */
static void time_read_out(struct sim *sim, struct event *event,
			  int64_t timeout_ms)
{
	event->given_up = true;
	event->fn = answer_batch;
	sim_schedule(sim, event, timeout_ms);
}

static void io_read(void *io, struct stream_id id, int64_t from,
		    int64_t wait_ms, stream_batch_fn *fn, void *arg)
{
	struct client *client = io;
	struct event *event = sim_event_new(client, poll_read);

	event->id = id;
	event->end = -1;
	event->from = from;
	event->until_ms = client->sim->clk.manual_ms + wait_ms;
	if (client->sim->reads_time_out)
		event->give_up_ms = event->until_ms + READ_SLACK_MS;
	event->on_batch = fn;
	event->arg = arg;
	if (is_read_unanswered(client, &id))
		time_read_out(client->sim, event, wait_ms + READ_SLACK_MS);
	else
		sim_schedule(client->sim, event,
			     1 + sim_random_below(client->sim, 4));
}

static void io_newest(void *io, struct stream_id id, const char *after,
		      stream_batch_fn *fn, void *arg)
{
	struct client *client = io;
	struct event *event = sim_event_new(client, queue_batch);

	event->after = g_strdup(after);
	event->id = id;
	event->end = -1;
	event->newest = true;
	if (client->sim->reads_time_out)
		event->give_up_ms =
			client->sim->clk.manual_ms + NEWEST_TIMEOUT_MS;
	event->on_batch = fn;
	event->arg = arg;
	count_job_page(client->sim, event, 1);
	if (is_read_unanswered(client, &id))
		time_read_out(client->sim, event, NEWEST_TIMEOUT_MS);
	else
		sim_schedule(client->sim, event,
			     2 + sim_random_below(client->sim, 8));
}

static void execute_join(struct sim *sim, struct event *event)
{
	struct stream_membership *membership = &event->membership;

	membership->outcome = STREAM_UNKNOWN;
	if (is_cut_from_log(&event->client) || sim->faults.log_down)
		return;
	membership->part_count = log_model_join(
		sim->log, event->member_name, event->join.ttl_ms,
		event->join.generation, sim->clk.manual_ms, event->parts);
	membership->generation = sim->log->generation;
	membership->parts = event->parts;
	if (!sim_event_node(sim, event)->log_answers_lost)
		membership->outcome = STREAM_OK;
}

static void answer_join(struct sim *sim, struct event *event)
{
	if (!event->sealed)
		execute_join(sim, event);
	event->sealed = sim->stale_answers;
	if (!sim_can_deliver(sim, event))
		return;
	event->on_member(event->arg, &event->membership);
	sim_event_free(event);
}

static void answer_join_unknown(struct sim *sim, struct event *event)
{
	if (!sim_can_deliver(sim, event))
		return;
	event->membership.outcome = STREAM_UNKNOWN;
	event->on_member(event->arg, &event->membership);
	sim_event_free(event);
}

static void execute_unanswered_join(struct sim *sim, struct event *event)
{
	execute_join(sim, event);
	event->fn = answer_join_unknown;
	sim_schedule(sim, event, event->timeout_ms);
}

static void io_join(void *io, const struct stream_join *join,
		    stream_member_fn *fn, void *arg)
{
	struct client *client = io;
	struct event *event = sim_event_new(client, answer_join);

	event->join = *join;
	event->timeout_ms = join->timeout_ms;
	event->member_name = g_strdup(join->member);
	event->on_member = fn;
	event->arg = arg;
	if (is_unanswered(client->sim))
		event->fn = execute_unanswered_join;
	sim_schedule(client->sim, event, 1 + sim_random_below(client->sim, 8));
}

static void io_leave(void *io, const struct stream_join *join)
{
	struct client *client = io;

	if (!is_cut_from_log(client))
		log_model_leave(client->sim->log, join->member);
}

struct stream_io sim_stream_io(struct client *client)
{
	return (struct stream_io){
		.io = client,
		.append = io_append,
		.read = io_read,
		.newest = io_newest,
		.join = io_join,
		.leave = io_leave,
	};
}
