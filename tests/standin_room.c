#include "standin_room.h"

#include <stdlib.h>
#include <string.h>

#include "json.h"

struct said {
	int64_t since_ms;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t gpu;
};

static int64_t amount(struct json_object *capacity, const char *key)
{
	struct json_object *value = json_get(capacity, key);

	return json_object_is_type(value, json_type_int)
		       ? MAX(json_object_get_int64(value), 0)
		       : 0;
}

void room_say(struct standin_room *room, struct json_object *capacity,
	      int64_t now_ms)
{
	struct said said = {
		.since_ms = now_ms,
		.cpu_milli = amount(capacity, "cpu"),
		.mem_mib = amount(capacity, "memMb"),
		.gpu = amount(capacity, "gpu"),
	};

	if (!room->said)
		room->said = g_array_new(FALSE, FALSE, sizeof(struct said));
	g_array_append_val(room->said, said);
	json_object_put(room->capacity);
	room->capacity = capacity;
}

void room_restart(struct standin_room *room)
{
	if (room->said && room->said->len > 1)
		g_array_remove_range(room->said, 0, room->said->len - 1);
}

static int64_t parse_amount(const char *text, const char *key)
{
	const char *at = strstr(text, key);

	return at ? strtoll(at + strlen(key), NULL, 10) : 0;
}

void room_parse_use(const char *text, struct model_run *run)
{
	run->cpu_milli = parse_amount(text, "cpu=");
	run->mem_mib = parse_amount(text, "mem=");
	run->gpu = parse_amount(text, "gpu=");
}

/* The largest capacity that a caller of the worker may rightly believe in. */
static struct said largest_said(const struct standin_room *room, int64_t now_ms)
{
	struct said largest = { 0 };

	for (guint i = 0; room->said && i < room->said->len; i++) {
		const struct said *at =
			&g_array_index(room->said, struct said, i);

		if (i + 1 < room->said->len &&
		    at[1].since_ms <= now_ms - ROOM_SHRUNK_MS)
			continue;
		largest.cpu_milli = MAX(largest.cpu_milli, at->cpu_milli);
		largest.mem_mib = MAX(largest.mem_mib, at->mem_mib);
		largest.gpu = MAX(largest.gpu, at->gpu);
	}
	return largest;
}

bool room_exceeded(const struct standin_room *room,
		   const struct worker_model *model, int64_t now_ms)
{
	struct said largest = largest_said(room, now_ms);
	int64_t cpu_milli = 0, mem_mib = 0, gpu = 0;

	for (guint i = 0; i < model->runs->len; i++) {
		const struct model_run *run =
			&g_array_index(model->runs, struct model_run, i);

		cpu_milli += run->cpu_milli;
		mem_mib += run->mem_mib;
		gpu += run->gpu;
	}
	return cpu_milli > largest.cpu_milli || mem_mib > largest.mem_mib ||
	       gpu > largest.gpu;
}
