#include "replica.h"

#include <stdlib.h>
#include <string.h>

#include "fleet_text.h"

struct replica {
	struct fleet *fleet;
	bool ready;
	int64_t tail_from; /* all records from here on are held */
	uint32_t tail_first;
	uint32_t tail_count;
	struct replica_record tail[LIMIT_TAIL_RECORDS];
	void (*on_applied)(void *arg, int64_t offset, const struct record *rec,
			   const struct err *result);
	void *arg;
};

struct replica *replica_create(void)
{
	struct replica *replica = calloc(1, sizeof(*replica));

	if (replica)
		replica->fleet = fleet_create();
	return replica;
}

static struct replica_record *tail_at(const struct replica *replica,
				      uint32_t index)
{
	return (struct replica_record *)&replica
		->tail[(replica->tail_first + index) % LIMIT_TAIL_RECORDS];
}

static void drop_oldest(struct replica *replica)
{
	struct replica_record *record = tail_at(replica, 0);

	replica->tail_from = record->offset + 1;
	free(record->data);
	replica->tail_first = (replica->tail_first + 1) % LIMIT_TAIL_RECORDS;
	replica->tail_count--;
}

void replica_destroy(struct replica *replica)
{
	if (!replica)
		return;
	while (replica->tail_count)
		drop_oldest(replica);
	fleet_destroy(replica->fleet);
	free(replica);
}

void replica_on_applied(struct replica *replica,
			void (*fn)(void *arg, int64_t offset,
				   const struct record *rec,
				   const struct err *result),
			void *arg)
{
	replica->on_applied = fn;
	replica->arg = arg;
}

const struct fleet *replica_state(const struct replica *replica)
{
	return replica->fleet;
}

int64_t replica_next(const struct replica *replica)
{
	return replica->fleet->next;
}

bool replica_ready(const struct replica *replica)
{
	return replica->ready;
}

void replica_set_ready(struct replica *replica)
{
	replica->ready = true;
}

static void append_to_tail(struct replica *replica, int64_t offset,
			   const char *data, size_t len)
{
	struct replica_record *record;
	char *copy = malloc(len + 1);

	if (replica->tail_count == LIMIT_TAIL_RECORDS)
		drop_oldest(replica);
	if (!copy) {
		/* Drops the whole tail, so that replica_tail fails instead of
		   omitting this record. */
		while (replica->tail_count)
			drop_oldest(replica);
		replica->tail_from = offset + 1;
		return;
	}
	memcpy(copy, data, len);
	copy[len] = 0;
	record = tail_at(replica, replica->tail_count++);
	*record = (struct replica_record){
		.offset = offset,
		.data = copy,
		.len = len,
	};
}

void replica_apply(struct replica *replica, int64_t offset, const char *data,
		   size_t len)
{
	struct err result = { .kind = ERR_OK };
	struct record rec;
	bool valid;

	/* XDR decodes empty data as NULL. */
	if (!len)
		data = "";
	if (offset < replica->fleet->next)
		return;
	valid = record_parse(&rec, data, len, &result) == 0;
	if (valid)
		result.kind =
			fleet_apply(replica->fleet, offset, &rec, &result);
	else
		fleet_apply(replica->fleet, offset, NULL, NULL);
	append_to_tail(replica, offset, data, len);
	if (replica->on_applied)
		replica->on_applied(replica->arg, offset, valid ? &rec : NULL,
				    &result);
	record_clear(&rec);
}

void replica_skip_to(struct replica *replica, int64_t next)
{
	if (next > replica->fleet->next)
		replica->fleet->next = next;
}

int replica_install_snapshot(struct replica *replica, const char *text,
			     size_t len, struct err *err)
{
	struct fleet *fleet = fleet_text_decode(text, len, err);

	if (!fleet)
		return ERR_INVALID;
	if (fleet->next < replica->fleet->next ||
	    (fleet->next == replica->fleet->next &&
	     (replica->ready || fleet->next))) {
		fleet_destroy(fleet);
		return err_set(err, ERR_GONE, "snapshot is not newer");
	}
	while (replica->tail_count)
		drop_oldest(replica);
	/* A snapshot does not contain `changes`. Readers compare it to notice a
	   new state, so it has to grow here. */
	fleet->changes = replica->fleet->changes + 1;
	fleet_destroy(replica->fleet);
	replica->fleet = fleet;
	replica->tail_from = fleet->next;
	return 0;
}

int replica_tail(const struct replica *replica, int64_t from, uint32_t max,
		 const struct replica_record **out)
{
	uint32_t count = 0;

	if (from < replica->tail_from)
		return ERR_GONE;
	for (uint32_t i = 0; i < replica->tail_count && count < max; i++)
		if (tail_at(replica, i)->offset >= from)
			out[count++] = tail_at(replica, i);
	return (int)count;
}
