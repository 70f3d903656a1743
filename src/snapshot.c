#include "snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "jcursor.h"

enum {
	PART_BYTES = 20 * 1024, /* fits a record even when quoted as JSON */
	MAX_PARTS = LIMIT_SNAPSHOT_BYTES / PART_BYTES + 1,
	READ_MAX = 64,
	/* Unlimited retries would keep the event loop and the platform busy
	   while the platform refuses every append. */
	PART_ATTEMPTS = 3,
	/* Snapshots assembled at the same time: writers may overlap. */
	ASSEMBLIES = 4
};

static const char stream[] = "snapshots";

/* A snapshot that is being assembled from its parts. */
struct assembly {
	char id[LIMIT_ID_BYTES];
	int64_t fleet_next;
	int64_t next_part;
	int64_t offset; /* of the first part */
	char *text;
	size_t len;
};

struct snapshot {
	struct platclient *platclient;
	struct rnd *rnd;
	snapshot_valid_fn *valid;

	/* Reading. */
	bool reading;
	int64_t read_from;
	struct assembly assemblies[ASSEMBLIES];
	uint32_t next_assembly; /* slot that the next assembly replaces */
	char *newest;
	size_t newest_len;
	int64_t newest_next;
	int64_t invalid;
	int64_t newest_offset; /* of its first part */
	void (*loaded)(void *arg, int status, const char *text, size_t len);
	void *loaded_arg;

	/* Writing. */
	char *out;
	size_t out_len;
	size_t out_pos;
	size_t out_part_len;
	int64_t out_next;
	char out_id[LIMIT_ID_BYTES];
	int64_t out_part;
	int out_attempts; /* of this part */
};

struct snapshot *snapshot_create(struct platclient *platclient, struct rnd *rnd,
				 snapshot_valid_fn *valid)
{
	struct snapshot *snapshot = calloc(1, sizeof(*snapshot));

	if (!snapshot)
		return NULL;
	snapshot->platclient = platclient;
	snapshot->rnd = rnd;
	snapshot->valid = valid;
	snapshot->newest_next = -1;
	return snapshot;
}

void snapshot_destroy(struct snapshot *snapshot)
{
	if (!snapshot)
		return;
	for (uint32_t i = 0; i < ASSEMBLIES; i++)
		free(snapshot->assemblies[i].text);
	free(snapshot->newest);
	free(snapshot->out);
	free(snapshot);
}

static void drop_assembly(struct assembly *assembly)
{
	/* The analyzer assumes that `newest` may be the same text. */
	free(assembly->text); /* NOLINT(clang-analyzer-unix.Malloc) */
	memset(assembly, 0, sizeof(*assembly));
}

static void finish_assembly(struct snapshot *snapshot,
			    struct assembly *assembly)
{
	bool newer = assembly->fleet_next > snapshot->newest_next;

	if (newer && snapshot->valid) {
		newer = snapshot->valid(assembly->text, assembly->len,
					assembly->fleet_next);
		snapshot->invalid += !newer;
	}
	if (newer) {
		free(snapshot->newest);
		snapshot->newest = assembly->text;
		snapshot->newest_len = assembly->len;
		snapshot->newest_next = assembly->fleet_next;
		snapshot->newest_offset = assembly->offset;
		assembly->text = NULL;
	}
	drop_assembly(assembly);
}

struct part {
	char id[LIMIT_ID_BYTES];
	int64_t fleet_next;
	int64_t part;
	bool last;
	char data[PART_BYTES + 1];
};

static bool parse_part(const struct platclient_record *record,
		       struct part *part)
{
	static const char *const keys[] = { "id",   "fleet_next", "part",
					    "last", "data",	  NULL };
	struct err fault = { .kind = ERR_OK };
	struct json_object *value =
		jcursor_parse(record->data, record->len, &fault);
	struct jcursor root = jcursor_root(value, &fault);
	struct jcursor id_at = jcursor_member(&root, "id");
	struct jcursor next_at = jcursor_member(&root, "fleet_next");
	struct jcursor part_at = jcursor_member(&root, "part");
	struct jcursor last_at = jcursor_member(&root, "last");
	struct jcursor data_at = jcursor_member(&root, "data");

	if (value) {
		jcursor_check_keys(&root, keys);
		jcursor_string(&id_at, part->id, sizeof(part->id), NULL);
		part->fleet_next =
			jcursor_int(&next_at, 0, LIMIT_NUMBER_MAX, -1);
		part->part = jcursor_int(&part_at, 0, MAX_PARTS, -1);
		part->last = jcursor_bool(&last_at, false);
		jcursor_string(&data_at, part->data, sizeof(part->data), NULL);
	}
	json_object_put(value);
	return fault.kind == ERR_OK;
}

static struct assembly *find_assembly(struct snapshot *snapshot, const char *id)
{
	for (uint32_t i = 0; i < ASSEMBLIES; i++)
		if (!strcmp(snapshot->assemblies[i].id, id))
			return &snapshot->assemblies[i];
	return NULL;
}

static struct assembly *start_assembly(struct snapshot *snapshot,
				       const struct part *part, int64_t offset)
{
	struct assembly *assembly =
		&snapshot->assemblies[snapshot->next_assembly++ % ASSEMBLIES];

	drop_assembly(assembly);
	memcpy(assembly->id, part->id, sizeof(part->id));
	assembly->fleet_next = part->fleet_next;
	assembly->offset = offset;
	return assembly;
}

static void add_part(struct snapshot *snapshot,
		     const struct platclient_record *record)
{
	struct assembly *assembly;
	struct part part = { .part = -1 };
	size_t len;
	char *text;

	if (!parse_part(record, &part)) {
		snapshot->invalid++;
		return;
	}
	if (!part.id[0])
		return;
	assembly = find_assembly(snapshot, part.id);
	if (!assembly && part.part == 0)
		assembly = start_assembly(snapshot, &part, record->offset);
	/* Duplicates of a part are ignored, however late they appear. */
	if (!assembly || part.part != assembly->next_part)
		return;
	len = strlen(part.data);
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): as in drop_assembly */
	text = realloc(assembly->text, assembly->len + len + 1);
	if (!text)
		return;
	memcpy(text + assembly->len, part.data, len + 1);
	assembly->text = text;
	assembly->len += len;
	assembly->next_part++;
	if (part.last)
		finish_assembly(snapshot, assembly);
}

static void read_next(struct snapshot *snapshot);

static void finish_reading(struct snapshot *snapshot, int status)
{
	void (*loaded)(void *arg, int status, const char *text, size_t len) =
		snapshot->loaded;

	snapshot->reading = false;
	snapshot->loaded = NULL;
	if (loaded)
		loaded(snapshot->loaded_arg, status, snapshot->newest,
		       snapshot->newest_len);
	/* Only its offset is still needed. */
	free(snapshot->newest);
	snapshot->newest = NULL;
}

static void read_done(void *arg, int status,
		      const struct platclient_batch *batch)
{
	struct snapshot *snapshot = arg;

	if (status == ERR_GONE && batch->first > snapshot->read_from) {
		snapshot->read_from = batch->first;
		read_next(snapshot);
		return;
	}
	if (status) {
		finish_reading(snapshot, ERR_UNAVAILABLE);
		return;
	}
	/* A snapshot past retention is of no use to a new host. */
	if (!snapshot->newest && batch->first > snapshot->newest_offset)
		snapshot->newest_next = -1;
	for (uint32_t i = 0; i < batch->count; i++)
		add_part(snapshot, &batch->records[i]);
	if (batch->next > snapshot->read_from) {
		snapshot->read_from = batch->next;
		read_next(snapshot);
		return;
	}
	finish_reading(snapshot, 0);
}

static void read_next(struct snapshot *snapshot)
{
	platclient_read(snapshot->platclient, stream, snapshot->read_from,
			READ_MAX, 0, read_done, snapshot);
}

void snapshot_load(struct snapshot *snapshot,
		   void (*fn)(void *arg, int status, const char *text,
			      size_t len),
		   void *arg)
{
	if (snapshot->reading)
		return;
	snapshot->reading = true;
	snapshot->loaded = fn;
	snapshot->loaded_arg = arg;
	snapshot->read_from = 0;
	snapshot->newest_next = -1;
	for (uint32_t i = 0; i < ASSEMBLIES; i++)
		drop_assembly(&snapshot->assemblies[i]);
	read_next(snapshot);
}

void snapshot_poll(struct snapshot *snapshot)
{
	if (snapshot->reading)
		return;
	snapshot->reading = true;
	read_next(snapshot);
}

bool snapshot_busy(const struct snapshot *snapshot)
{
	return snapshot->out != NULL;
}

int64_t snapshot_invalid(const struct snapshot *snapshot)
{
	return snapshot->invalid;
}

int64_t snapshot_newest(const struct snapshot *snapshot)
{
	return snapshot->newest_next;
}

static void write_part(struct snapshot *snapshot);

static void finish_writing(struct snapshot *snapshot)
{
	free(snapshot->out);
	snapshot->out = NULL;
}

static void part_done(void *arg, int status, int64_t offset)
{
	struct snapshot *snapshot = arg;

	(void)offset;
	if (status != 0 && (status != ERR_UNKNOWN ||
			    ++snapshot->out_attempts >= PART_ATTEMPTS)) {
		finish_writing(snapshot);
		return;
	}
	/* If the answer was lost, the part is appended again; readers ignore
	   the duplicate. */
	if (status == 0) {
		snapshot->out_pos += snapshot->out_part_len;
		snapshot->out_part++;
		snapshot->out_attempts = 0;
	}
	if (snapshot->out_pos >= snapshot->out_len) {
		finish_writing(snapshot);
		/* Only reading it back shows that the snapshot is complete. */
		snapshot_poll(snapshot);
		return;
	}
	write_part(snapshot);
}

/* Length of the next part, which ends at a UTF-8 character boundary. */
static size_t part_len(const struct snapshot *snapshot)
{
	size_t left = snapshot->out_len - snapshot->out_pos;
	size_t len = PART_BYTES;

	if (left <= PART_BYTES)
		return left;
	while ((snapshot->out[snapshot->out_pos + len] & 0xc0) == 0x80)
		len--;
	return len;
}

static void write_part(struct snapshot *snapshot)
{
	size_t len = part_len(snapshot);
	struct json_object *obj = json_object_new_object();
	const char *text;

	snapshot->out_part_len = len;
	jcursor_put_string(obj, "id", snapshot->out_id);
	jcursor_put_int(obj, "fleet_next", snapshot->out_next);
	jcursor_put_int(obj, "part", snapshot->out_part);
	json_object_object_add(
		obj, "last",
		json_object_new_boolean(snapshot->out_pos + len ==
					snapshot->out_len));
	json_object_object_add(
		obj, "data",
		json_object_new_string_len(snapshot->out + snapshot->out_pos,
					   (int)len));
	text = json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN);
	platclient_append(snapshot->platclient, stream, text, strlen(text),
			  part_done, snapshot);
	json_object_put(obj);
}

void snapshot_write(struct snapshot *snapshot, char *text, size_t len,
		    int64_t fleet_next)
{
	if (snapshot->out || !len) {
		free(text);
		return;
	}
	snapshot->out = text;
	snapshot->out_len = len;
	snapshot->out_pos = 0;
	snapshot->out_part = 0;
	snapshot->out_attempts = 0;
	snapshot->out_next = fleet_next;
	rnd_make_id(snapshot->rnd, snapshot->out_id);
	write_part(snapshot);
}
