#include "propose.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

enum {
	RETRY_UNAVAILABLE_MS = 250,
	/* Time for reading a record back before it is appended again. */
	RETRY_UNKNOWN_MS = 1500,
	/* The state stores the last LIMIT_RECORD_IDS ids. Half of them are reserved
	   for records that this process has not read yet. */
	RETRY_RECORDS = LIMIT_RECORD_IDS / 2,
	KEY_BYTES = 3 * LIMIT_NAME_BYTES
};

struct proposal {
	struct proposal *next;
	struct propose *propose;
	char key[KEY_BYTES];
	char id[LIMIT_ID_BYTES];
	char *text;
	int64_t created_ms;
	int64_t deadline_ms;
	int64_t retry_ms;
	int64_t first_next; /* next offset at the first append; -1: none */
	bool appending;
	bool maybe_appended;
	bool ended; /* done was called; freed once its append has returned */
	propose_done *done;
	void *arg;
};

struct propose {
	const struct clk *clk;
	struct platclient *platclient;
	struct rnd *rnd;
	char author[LIMIT_NAME_BYTES];
	int64_t next; /* offset after the last record read */
	struct proposal *proposals;
};

struct propose *propose_create(const struct clk *clk,
			       struct platclient *platclient, struct rnd *rnd,
			       const char *author)
{
	struct propose *propose = calloc(1, sizeof(*propose));

	if (!propose)
		return NULL;
	propose->clk = clk;
	propose->platclient = platclient;
	propose->rnd = rnd;
	apr_cpystrn(propose->author, author, sizeof(propose->author));
	return propose;
}

static void free_proposal(struct proposal *proposal)
{
	struct proposal **link = &proposal->propose->proposals;

	while (*link != proposal)
		link = &(*link)->next;
	*link = proposal->next;
	free(proposal->text);
	free(proposal);
}

void propose_destroy(struct propose *propose)
{
	if (!propose)
		return;
	while (propose->proposals)
		free_proposal(propose->proposals);
	free(propose);
}

static void finish(struct proposal *proposal, const struct err *result,
		   int64_t offset)
{
	if (proposal->ended)
		return;
	proposal->ended = true;
	if (proposal->done)
		proposal->done(proposal->arg, result, offset,
			       proposal->created_ms);
}

static struct proposal *find_key(const struct propose *propose, const char *key)
{
	for (struct proposal *p = propose->proposals; p; p = p->next)
		if (!p->ended && !strcmp(p->key, key))
			return p;
	return NULL;
}

int propose_submit(struct propose *propose, const char *key, struct record *rec,
		   int64_t timeout_ms, propose_done *done, void *arg)
{
	struct proposal *proposal;
	char *text;

	if (key && find_key(propose, key)) {
		record_clear(rec);
		return ERR_DUPLICATE;
	}
	if (!rec->id[0])
		rnd_make_id(propose->rnd, rec->id);
	rec->at_ms = clk_wall_ms(propose->clk);
	if (!rec->author[0])
		apr_cpystrn(rec->author, propose->author, sizeof(rec->author));
	text = record_encode(rec);
	record_clear(rec);
	proposal = calloc(1, sizeof(*proposal));
	if (!text || !proposal || strlen(text) > LIMIT_RECORD_BYTES) {
		free(text);
		free(proposal);
		return text && proposal ? ERR_TOO_LARGE : ERR_NO_MEMORY;
	}
	*proposal = (struct proposal){
		.next = propose->proposals,
		.propose = propose,
		.text = text,
		.created_ms = clk_now_ms(propose->clk),
		.first_next = -1,
		.done = done,
		.arg = arg,
	};
	proposal->deadline_ms = proposal->created_ms + timeout_ms;
	memcpy(proposal->id, rec->id, sizeof(proposal->id));
	apr_cpystrn(proposal->key, key ? key : "", sizeof(proposal->key));
	propose->proposals = proposal;
	propose_tick(propose);
	return 0;
}

void propose_observe(struct propose *propose, int64_t offset,
		     const struct record *rec, const struct err *result)
{
	struct err unseen;

	propose->next = offset + 1;
	for (struct proposal *p = propose->proposals; p; p = p->next) {
		if (strcmp(p->id, rec->id))
			continue;
		if (result->kind == ERR_DUPLICATE && p->maybe_appended) {
			/* The first copy was among records that were skipped
			   by loading a snapshot. */
			err_set(&unseen, ERR_UNKNOWN,
				"an earlier copy was applied; its result was "
				"not read");
			finish(p, &unseen, -1);
		}
		finish(p, result, offset);
		if (!p->appending)
			free_proposal(p);
		return;
	}
}

static void appended(void *arg, int status, int64_t offset)
{
	struct proposal *proposal = arg;
	int64_t now_ms = clk_now_ms(proposal->propose->clk);
	struct err result;

	(void)offset;
	proposal->appending = false;
	if (proposal->ended) {
		free_proposal(proposal);
		return;
	}
	switch (status) {
	case ERR_OK:
		/* The result is known only when it is read back. */
		proposal->maybe_appended = true;
		proposal->retry_ms = INT64_MAX;
		break;
	case ERR_UNAVAILABLE:
		proposal->retry_ms = now_ms + RETRY_UNAVAILABLE_MS;
		break;
	case ERR_TOO_LARGE:
		err_set(&result, ERR_TOO_LARGE, "refused by the platform");
		finish(proposal, &result, -1);
		free_proposal(proposal);
		break;
	default:
		proposal->maybe_appended = true;
		proposal->retry_ms = now_ms + RETRY_UNKNOWN_MS;
		break;
	}
}

static void time_out(struct proposal *proposal)
{
	struct err result;

	if (proposal->maybe_appended || proposal->appending)
		err_set(&result, ERR_UNKNOWN,
			"the record was not read back in time");
	else
		err_set(&result, ERR_UNAVAILABLE,
			"the platform log did not accept the record in time");
	finish(proposal, &result, -1);
	if (!proposal->appending)
		free_proposal(proposal);
}

void propose_tick(struct propose *propose)
{
	int64_t now_ms = clk_now_ms(propose->clk);
	struct proposal *next;

	for (struct proposal *p = propose->proposals; p; p = next) {
		next = p->next;
		if (p->ended)
			continue;
		if (now_ms >= p->deadline_ms) {
			time_out(p);
			continue;
		}
		if (p->appending || now_ms < p->retry_ms)
			continue;
		if (p->first_next < 0)
			p->first_next = propose->next;
		if (propose->next - p->first_next >= RETRY_RECORDS)
			continue;
		p->appending = true;
		platclient_append(propose->platclient, "fleet", p->text,
				  strlen(p->text), appended, p);
	}
}

uint32_t propose_count(const struct propose *propose)
{
	uint32_t count = 0;

	for (const struct proposal *p = propose->proposals; p; p = p->next)
		count += !p->ended;
	return count;
}
