#include "worker_model.h"

#include <string.h>

void worker_model_init(struct worker_model *model, int32_t max_runs)
{
	model->max_runs = max_runs;
	model->runs = g_array_new(FALSE, FALSE, sizeof(struct model_run));
	model->ends = g_array_new(FALSE, FALSE, sizeof(struct worker_end));
	model->ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void worker_model_restart(struct worker_model *model)
{
	model->clock_ms = 0;
	model->lease_ms = 0;
	model->fence = 0;
	model->last_end = 0;
	model->last_lapsed_end = 0;
	g_array_set_size(model->runs, 0);
	g_array_set_size(model->ends, 0);
	g_hash_table_remove_all(model->ended);
}

bool worker_model_check_fence(struct worker_model *model, int64_t fence)
{
	if (fence < model->fence && !model->ignore_fences)
		return false;
	model->fence = fence;
	return true;
}

static int32_t highest_ended(const struct worker_model *model, const char *task)
{
	if (model->ignore_run_numbers)
		return 0;
	return GPOINTER_TO_INT(g_hash_table_lookup(model->ended, task));
}

static void end_run(struct worker_model *model, guint index, enum job_end how)
{
	struct model_run *run =
		&g_array_index(model->runs, struct model_run, index);
	struct worker_end end = {
		.number = ++model->last_end,
		.run = run->run,
		.how = how,
	};

	g_strlcpy(end.task, run->task, sizeof(end.task));
	if (model->on_end)
		model->on_end(model->arg, &end);
	g_hash_table_insert(model->ended, g_strdup(run->task),
			    GINT_TO_POINTER(run->run));
	g_array_append_val(model->ends, end);
	g_array_remove_index(model->runs, index);
}

void worker_model_break(struct worker_model *model, guint index)
{
	end_run(model, index, END_BROKEN);
}

enum order_outcome worker_model_start(struct worker_model *model,
				      const struct model_run *run,
				      int64_t until_ms, bool *began)
{
	*began = false;
	for (guint i = 0; i < model->runs->len; i++) {
		struct model_run *at =
			&g_array_index(model->runs, struct model_run, i);

		if (!strcmp(at->task, run->task) && at->run >= run->run)
			return at->run == run->run && !at->stopped_ms
				       ? ORDER_OK
				       : ORDER_OLD_RUN;
	}
	if (run->run <= highest_ended(model, run->task))
		return ORDER_OLD_RUN;
	if (until_ms <= model->clock_ms)
		return ORDER_LATE;
	if ((int32_t)model->runs->len >= model->max_runs)
		return ORDER_NO_ROOM;
	g_array_append_val(model->runs, *run);
	g_array_index(model->runs, struct model_run, model->runs->len - 1)
		.pace = 100;
	*began = true;
	return ORDER_OK;
}

void worker_model_stop(struct worker_model *model, const char *task,
		       int32_t run)
{
	for (guint i = 0; i < model->runs->len; i++) {
		struct model_run *at =
			&g_array_index(model->runs, struct model_run, i);

		if (!strcmp(at->task, task) && at->run <= run) {
			if (!model->stop_ms)
				end_run(model, i, END_STOPPED);
			else if (!at->stopped_ms)
				at->stopped_ms =
					model->clock_ms + model->stop_ms;
			return;
		}
	}
	if (run > highest_ended(model, task))
		g_hash_table_insert(model->ended, g_strdup(task),
				    GINT_TO_POINTER(run));
}

void worker_model_pace(struct worker_model *model, const char *task,
		       int32_t run, int32_t percent)
{
	for (guint i = 0; i < model->runs->len; i++) {
		struct model_run *at =
			&g_array_index(model->runs, struct model_run, i);

		if (at->run == run && !strcmp(at->task, task))
			at->pace = percent;
	}
}

void worker_model_acknowledge(struct worker_model *model, int64_t cursor)
{
	while (model->ends->len) {
		struct worker_end *end =
			&g_array_index(model->ends, struct worker_end, 0);

		if (end->number > cursor)
			return;
		if (model->on_acknowledged &&
		    end->number > model->last_lapsed_end)
			model->on_acknowledged(model->arg, end);
		g_array_remove_index(model->ends, 0);
	}
}

void worker_model_extend(struct worker_model *model, int64_t until_ms)
{
	if (model->hold_max_ms)
		until_ms = MIN(until_ms, model->clock_ms + model->hold_max_ms);
	model->lease_ms = MAX(model->lease_ms, until_ms);
}

guint worker_model_listed_ends(const struct worker_model *model)
{
	return MIN(model->ends->len, WORKER_MODEL_LISTED_ENDS);
}

int32_t model_run_percent(const struct model_run *run)
{
	if (run->until_stopped)
		return 100;
	return (int32_t)(100 * (run->total_ms - run->remaining_ms) /
			 run->total_ms);
}

void worker_model_advance(struct worker_model *model, int64_t clock_ms,
			  int64_t worked_ms)
{
	bool lapsed = clock_ms >= model->lease_ms && !model->ignore_leases;

	model->clock_ms = clock_ms;
	if (lapsed)
		model->last_lapsed_end = model->last_end;
	for (guint i = model->runs->len; i > 0; i--) {
		struct model_run *run =
			&g_array_index(model->runs, struct model_run, i - 1);

		if (lapsed) {
			end_run(model, i - 1, END_LAPSED);
			continue;
		}
		if (run->stopped_ms) {
			if (clock_ms >= run->stopped_ms)
				end_run(model, i - 1, END_STOPPED);
			continue;
		}
		if (run->waits) {
			if (clock_ms >= run->alone_ms)
				end_run(model, i - 1, END_ALONE);
			continue;
		}
		if (!model->stalled)
			run->remaining_ms -= worked_ms * run->pace / 100;
		if (run->remaining_ms <= 0 && !run->until_stopped)
			end_run(model, i - 1,
				run->fails ? END_FAILED : END_DONE);
	}
}
