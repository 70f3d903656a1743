#include "rpl.h"

#include <stdlib.h>
#include <string.h>

#include "fleet_text.h"

struct rpl {
	struct fleet *fleet;
	bool ready;
	int64_t tail_from; /* records from here on are held */
	uint32_t tail_first;
	uint32_t tail_count;
	struct rpl_record tail[LIMIT_TAIL_RECORDS];
	void (*on_applied)(void *arg, int64_t offset, const struct rec *rec,
			   const struct err *result);
	void *arg;
};

struct rpl *rpl_create(void)
{
	struct rpl *rpl = calloc(1, sizeof(*rpl));

	if (rpl)
		rpl->fleet = fleet_create();
	return rpl;
}

static struct rpl_record *tail_at(const struct rpl *rpl, uint32_t index)
{
	return (struct rpl_record *)&rpl
		->tail[(rpl->tail_first + index) % LIMIT_TAIL_RECORDS];
}

static void drop_oldest(struct rpl *rpl)
{
	struct rpl_record *record = tail_at(rpl, 0);

	rpl->tail_from = record->offset + 1;
	free(record->data);
	rpl->tail_first = (rpl->tail_first + 1) % LIMIT_TAIL_RECORDS;
	rpl->tail_count--;
}

void rpl_destroy(struct rpl *rpl)
{
	if (!rpl)
		return;
	while (rpl->tail_count)
		drop_oldest(rpl);
	fleet_destroy(rpl->fleet);
	free(rpl);
}

void rpl_on_applied(struct rpl *rpl,
		    void (*fn)(void *arg, int64_t offset, const struct rec *rec,
			       const struct err *result),
		    void *arg)
{
	rpl->on_applied = fn;
	rpl->arg = arg;
}

const struct fleet *rpl_state(const struct rpl *rpl)
{
	return rpl->fleet;
}

int64_t rpl_next(const struct rpl *rpl)
{
	return rpl->fleet->next;
}

bool rpl_ready(const struct rpl *rpl)
{
	return rpl->ready;
}

void rpl_set_ready(struct rpl *rpl)
{
	rpl->ready = true;
}

static void keep_in_tail(struct rpl *rpl, int64_t offset, const char *data,
			 size_t len)
{
	struct rpl_record *record;
	char *copy = malloc(len + 1);

	if (rpl->tail_count == LIMIT_TAIL_RECORDS)
		drop_oldest(rpl);
	if (!copy) {
		/* A gap must not look like records that were never there. */
		while (rpl->tail_count)
			drop_oldest(rpl);
		rpl->tail_from = offset + 1;
		return;
	}
	memcpy(copy, data, len);
	copy[len] = 0;
	record = tail_at(rpl, rpl->tail_count++);
	*record = (struct rpl_record){
		.offset = offset,
		.data = copy,
		.len = len,
	};
}

void rpl_apply(struct rpl *rpl, int64_t offset, const char *data, size_t len)
{
	struct err result = { .kind = ERR_OK };
	struct rec rec;
	bool valid;

	/* XDR decodes empty data as NULL. */
	if (!len)
		data = "";
	if (offset < rpl->fleet->next)
		return;
	valid = rec_parse(&rec, data, len, &result) == 0;
	if (valid)
		result.kind = fleet_apply(rpl->fleet, offset, &rec, &result);
	else
		fleet_apply(rpl->fleet, offset, NULL, NULL);
	keep_in_tail(rpl, offset, data, len);
	if (rpl->on_applied)
		rpl->on_applied(rpl->arg, offset, valid ? &rec : NULL, &result);
	rec_clear(&rec);
}

void rpl_skip_to(struct rpl *rpl, int64_t next)
{
	if (next > rpl->fleet->next)
		rpl->fleet->next = next;
}

int rpl_adopt(struct rpl *rpl, const char *text, size_t len, struct err *err)
{
	struct fleet *fleet = fleet_text_decode(text, len, err);

	if (!fleet)
		return ERR_INVALID;
	if (fleet->next < rpl->fleet->next ||
	    (fleet->next == rpl->fleet->next && (rpl->ready || fleet->next))) {
		fleet_destroy(fleet);
		return err_set(err, ERR_GONE, "snapshot is not newer");
	}
	while (rpl->tail_count)
		drop_oldest(rpl);
	/* The count is not in the snapshot; a reader that compares it has to
	   see that the state is another one. */
	fleet->changes = rpl->fleet->changes + 1;
	fleet_destroy(rpl->fleet);
	rpl->fleet = fleet;
	rpl->tail_from = fleet->next;
	return 0;
}

int rpl_tail(const struct rpl *rpl, int64_t from, uint32_t max,
	     const struct rpl_record **out)
{
	uint32_t count = 0;

	if (from < rpl->tail_from)
		return ERR_GONE;
	for (uint32_t i = 0; i < rpl->tail_count && count < max; i++)
		if (tail_at(rpl, i)->offset >= from)
			out[count++] = tail_at(rpl, i);
	return (int)count;
}
