#include "fleet_saved.h"

#include <stdio.h>
#include <string.h>

static void save(const struct sim *sim, struct worker_checkpoint *checkpoint,
		 char *text)
{
	checkpoint->left_out = sim->saves_unstorable;
	checkpoint->text = sim->saves_unstorable ? NULL : text;
	if (sim->saves_unstorable)
		g_free(text);
}

void fleet_saved_fill(const struct sim *sim, const struct sim_worker *worker,
		      struct worker_report *report)
{
	if (!sim->saves)
		return;
	for (uint32_t i = 0; i < report->run_count; i++) {
		struct worker_run *run = &report->runs[i];
		const struct model_run *model =
			&g_array_index(worker->model.runs, struct model_run, i);

		if (!model->waits)
			save(sim, &run->checkpoint,
			     g_strdup_printf("%s:%" G_GINT64_FORMAT, run->task,
					     model->remaining_ms));
	}
	for (uint32_t i = 0; i < report->end_count; i++) {
		struct worker_end *end = &report->ends[i];

		save(sim, &end->checkpoint,
		     g_strdup_printf("%s:end%" G_GINT64_FORMAT, end->task,
				     end->number));
	}
}

static void check_gang(struct sim *sim, const struct order_start *start,
		       const char *checkpoint)
{
	size_t len = (size_t)(strrchr(start->task, '.') - start->task);
	char *run = g_strdup_printf("%.*s run %d", (int)len, start->task,
				    start->run);
	const char *first = g_hash_table_lookup(sim->carried, run);

	if (first && strcmp(first, checkpoint) && !sim->broken[0])
		snprintf(sim->broken, sizeof(sim->broken),
			 "%s is started from '%s' and from '%s'", run, first,
			 checkpoint);
	g_hash_table_insert(sim->carried, run, g_strdup(checkpoint));
}

void fleet_saved_note_start(struct sim *sim, const struct order_start *start)
{
	const char *checkpoint = start->checkpoint ? start->checkpoint : "";
	char id[JOB_ID_BYTES];
	const struct sim_job *job;

	if (!sim->saves)
		return;
	g_free(sim->last_carried);
	sim->last_carried = g_strdup(checkpoint);
	g_strlcpy(id, start->task, sizeof(id));
	job = g_hash_table_lookup(sim->jobs, id);
	if (job && job->gang)
		check_gang(sim, start, checkpoint);
}
