#include "flw.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mbr.h"
#include "rpf.h"
#include "snp.h"
#include "sns.h"

enum {
	READ_MAX = 512,
	RETRY_MS = 250,
	/* Without an answer for so long, peers are asked. It is longer than a
	   long poll of the log may take. */
	PLATFORM_SILENT_MS = 2 * LIM_LOG_WAIT_MS + 500,
	SNAPSHOT_POLL_MS = 30000,
	/* Between two writes of this process, so that the first one is read
	   back and a platform that refuses it is left alone. */
	SNAPSHOT_WRITE_MS = 5000
};

struct flw {
	struct evloop *evloop;
	const struct clk *clk;
	struct plt *plt;
	struct rpl *rpl;
	struct rnd *rnd;
	const struct cnf *cnf;
	struct sns *sns;
	struct rpf *rpf;

	int64_t start_ms;
	bool loaded;  /* the snapshots were read, or a peer's state taken */
	bool reading; /* a read of the fleet stream is under way */
	bool gap;
	int64_t retry_ms;
	int64_t answered_ms; /* -1: never */
	bool platform_ok;
	bool from_peer;
	int64_t snapshot_poll_ms;
	int64_t snapshot_write_ms; /* of the last write; -1: never */
	int64_t retained; /* records that the log holds; -1: all so far */
	int64_t snapshot_due_ms; /* since when one is due; -1: not due */
	int64_t bytes_read;
};

static int64_t now(const struct flw *flw)
{
	return clk_now_ms(flw->clk);
}

static void note_answer(struct flw *flw)
{
	flw->answered_ms = now(flw);
	if (!flw->platform_ok)
		log_info("platform log answers, next offset %lld",
			 (long long)rpl_next(flw->rpl));
	flw->platform_ok = true;
	flw->from_peer = false;
}

static void become_ready(struct flw *flw, const char *source)
{
	if (rpl_ready(flw->rpl))
		return;
	rpl_set_ready(flw->rpl);
	log_info("state is ready from %s, next offset %lld", source,
		 (long long)rpl_next(flw->rpl));
}

static void adopt(struct flw *flw, const char *text, size_t len,
		  const char *source)
{
	struct err err = { .kind = ERR_OK };
	int status = rpl_adopt(flw->rpl, text, len, &err);

	if (status == 0) {
		flw->bytes_read += (int64_t)len;
		log_info("took the state of %s, next offset %lld", source,
			 (long long)rpl_next(flw->rpl));
	} else if (status != ERR_GONE) {
		log_warn("state of %s is not valid: %s", source, err.text);
	}
}

static void snapshot_loaded(void *arg, int status, const char *text, size_t len)
{
	struct flw *flw = arg;

	if (status) {
		flw->retry_ms = now(flw) + RETRY_MS;
		return;
	}
	note_answer(flw);
	if (text)
		adopt(flw, text, len, "a snapshot");
	flw->loaded = true;
}

static void records_read(void *arg, int status, const struct plt_batch *batch)
{
	struct flw *flw = arg;

	flw->reading = false;
	if (status == ERR_UNAVAILABLE) {
		flw->retry_ms = now(flw) + RETRY_MS;
		return;
	}
	note_answer(flw);
	if (status == ERR_GONE) {
		if (!flw->gap)
			log_error("records from offset %lld on have passed "
				  "retention; the log begins at %lld",
				  (long long)rpl_next(flw->rpl),
				  (long long)batch->first);
		flw->gap = true;
		flw->loaded = false;
		flw->retry_ms = now(flw) + RETRY_MS;
		return;
	}
	for (uint32_t i = 0; i < batch->count; i++) {
		flw->bytes_read += (int64_t)batch->records[i].len;
		rpl_apply(flw->rpl, batch->records[i].offset,
			  batch->records[i].data, batch->records[i].len);
	}
	rpl_skip_to(flw->rpl, batch->next);
	flw->gap = false;
	flw->retained = batch->first > 0 ? batch->next - batch->first : -1;
	if (batch->count < READ_MAX)
		become_ready(flw, "the log");
}

static void read_on(struct flw *flw)
{
	if (flw->reading || now(flw) < flw->retry_ms)
		return;
	if (!flw->loaded) {
		sns_load(flw->sns, snapshot_loaded, flw);
		return;
	}
	flw->reading = true;
	plt_read(flw->plt, "fleet", rpl_next(flw->rpl), READ_MAX,
		 rpl_ready(flw->rpl) ? LIM_LOG_WAIT_MS : 0, records_read, flw);
}

static bool needs_peers(const struct flw *flw)
{
	return !flw->platform_ok || flw->gap;
}

/* A fresh process waits for peers that may hold a newer state. */
static bool may_start_from_peer(const struct flw *flw,
				const struct rpf_news *news)
{
	return rpl_ready(flw->rpl) || news->answered == flw->cnf->peer_count ||
	       now(flw) - flw->start_ms >= flw->cnf->start_wait_ms;
}

static void take_news(struct flw *flw, struct rpf_news *news)
{
	if (!needs_peers(flw) || !may_start_from_peer(flw, news))
		return;
	if (news->snapshot) {
		adopt(flw, news->snapshot, news->snapshot_len, "a peer");
		flw->from_peer = true;
	}
	for (u_int i = 0; i < news->tail.records.records_len; i++) {
		const prt_record *record = &news->tail.records.records_val[i];

		flw->bytes_read += record->data.data_len;
		rpl_apply(flw->rpl, record->offset, record->data.data_val,
			  record->data.data_len);
	}
	if (news->has_tail) {
		rpl_skip_to(flw->rpl, news->tail.next);
		flw->from_peer = true;
	}
	/* The peer's snapshot may be some seconds old; its tail follows. */
	if (news->has_status && rpl_next(flw->rpl) >= news->status.next) {
		become_ready(flw, "a peer");
		/* What follows is read as records: a snapshot could pass over
		   one that this process has proposed, and its result. */
		flw->loaded = true;
	}
}

static void follow_peers(struct flw *flw)
{
	struct rpf_hello hello = {
		.enabled = needs_peers(flw),
		/* A fresh process must not start from an older state than
		   a peer has put in force. */
		.ask_all = !rpl_ready(flw->rpl),
		.name = "",
		.data_centre = flw->cnf->data_centre,
		.next = rpl_next(flw->rpl),
		.hosts_version = -1,
	};
	struct rpf_news news;

	if (!flw->rpf)
		return;
	if (rpf_take(flw->rpf, &news)) {
		take_news(flw, &news);
		rpf_news_clear(&news);
		hello.next = rpl_next(flw->rpl);
	}
	rpf_set_hello(flw->rpf, &hello);
}

/*
 * With a short retention a snapshot is due earlier, so that the tail after it
 * is still there when the next member has to write.
 */
static bool snapshot_due(const struct flw *flw)
{
	int64_t newest = sns_newest(flw->sns);
	int64_t records = rpl_next(flw->rpl) - (newest < 0 ? 0 : newest);

	return records >= flw->cnf->snapshot_records ||
	       (flw->retained >= 0 && records > flw->retained / 4);
}

/*
 * Whose turn a snapshot is goes by rank, so that the work spreads; the next
 * rank writes if none appears in time.
 */
static void write_snapshot(struct flw *flw)
{
	const struct fst *fst = rpl_state(flw->rpl);
	int64_t newest = sns_newest(flw->sns);
	char subject[32];
	int64_t rank;
	char *text;
	size_t len;

	if (!snapshot_due(flw)) {
		flw->snapshot_due_ms = -1;
		return;
	}
	if (flw->snapshot_due_ms < 0)
		flw->snapshot_due_ms = now(flw);
	snprintf(subject, sizeof(subject), "snapshot %lld", (long long)newest);
	rank = mbr_rank(fst, flw->cnf->name, subject);
	if (now(flw) - flw->snapshot_due_ms < rank * SNAPSHOT_POLL_MS * 2 ||
	    sns_busy(flw->sns) ||
	    (flw->snapshot_write_ms >= 0 &&
	     now(flw) - flw->snapshot_write_ms < SNAPSHOT_WRITE_MS))
		return;
	text = snp_encode(fst, &len);
	if (!text)
		return;
	log_info("writing a snapshot of %zu bytes at offset %lld", len,
		 (long long)fst->next);
	flw->snapshot_write_ms = now(flw);
	sns_write(flw->sns, text, len, fst->next);
}

static void tend_snapshots(struct flw *flw)
{
	if (!rpl_ready(flw->rpl) || !flw->platform_ok || !flw->loaded)
		return;
	if (now(flw) - flw->snapshot_poll_ms >= SNAPSHOT_POLL_MS) {
		flw->snapshot_poll_ms = now(flw);
		sns_poll(flw->sns);
		return;
	}
	write_snapshot(flw);
}

void flw_tick(struct flw *flw)
{
	if (flw->platform_ok &&
	    now(flw) - flw->answered_ms > PLATFORM_SILENT_MS) {
		flw->platform_ok = false;
		log_warn("platform log does not answer");
	}
	read_on(flw);
	follow_peers(flw);
	tend_snapshots(flw);
}

static void wake(void *arg)
{
	evloop_wake(((struct flw *)arg)->evloop);
}

static void start_peers(struct flw *flw)
{
	uint32_t count = flw->cnf->peer_count;
	struct rpf_target *targets = calloc(count + 1, sizeof(*targets));
	struct rpf_config config = {
		.clk = flw->clk,
		.policy = RPF_NEWEST,
		.targets = targets,
		.target_count = count,
		.interval_ms = LIM_FOLLOW_MS,
		.wake = wake,
		.arg = flw,
	};

	for (uint32_t i = 0; targets && i < count; i++) {
		targets[i].address = flw->cnf->peers[i].address;
		targets[i].port = (uint16_t)flw->cnf->peers[i].port;
	}
	if (count && targets)
		flw->rpf = rpf_create(&config);
	free(targets);
}

static bool is_valid_state(const char *text, size_t len, int64_t fleet_next)
{
	struct fst *fst = snp_decode(text, len, NULL);
	bool valid = fst && fst->next == fleet_next;

	fst_destroy(fst);
	return valid;
}

struct flw *flw_create(struct evloop *evloop, struct plt *plt, struct rpl *rpl,
		       struct rnd *rnd, const struct cnf *cnf)
{
	struct flw *flw = calloc(1, sizeof(*flw));

	if (!flw)
		return NULL;
	flw->evloop = evloop;
	flw->clk = evloop_clk(evloop);
	flw->plt = plt;
	flw->rpl = rpl;
	flw->rnd = rnd;
	flw->cnf = cnf;
	flw->sns = sns_create(plt, rnd, is_valid_state);
	flw->start_ms = now(flw);
	flw->answered_ms = -1;
	flw->snapshot_due_ms = -1;
	flw->snapshot_write_ms = -1;
	flw->retained = -1;
	flw->snapshot_poll_ms = flw->start_ms;
	start_peers(flw);
	return flw;
}

void flw_destroy(struct flw *flw)
{
	if (!flw)
		return;
	rpf_destroy(flw->rpf);
	sns_destroy(flw->sns);
	free(flw);
}

void flw_get_status(const struct flw *flw, struct flw_status *status)
{
	*status = (struct flw_status){
		.platform_ok = flw->platform_ok,
		.platform_age_ms =
			flw->answered_ms < 0 ? -1 : now(flw) - flw->answered_ms,
		.gap = flw->gap,
		.from_peer = flw->from_peer,
		.snapshot_next = sns_newest(flw->sns),
		.snapshots_invalid = sns_invalid(flw->sns),
		.bytes_read = flw->bytes_read,
	};
}
