#include "sns.h"

#include <stdlib.h>
#include <string.h>

#include "jsn.h"

enum {
	PART_BYTES = 20 * 1024, /* quoted as JSON it still fits a record */
	MAX_PARTS = LIMIT_SNAPSHOT_BYTES / PART_BYTES + 1,
	READ_MAX = 64,
	/* While the platform refuses every append, retries without a limit
	   would keep the loop and the platform busy. */
	PART_ATTEMPTS = 3,
	/* Snapshots that are read at the same time: writers may overlap. */
	ASSEMBLIES = 4
};

static const char stream[] = "snapshots";

/* The snapshot that is being put together from its parts. */
struct assembly {
	char id[LIMIT_ID_BYTES];
	int64_t fleet_next;
	int64_t got;
	int64_t offset; /* of the first part */
	char *text;
	size_t len;
};

struct sns {
	struct platclient *platclient;
	struct rnd *rnd;
	sns_valid *valid;

	/* Reading. */
	bool reading;
	int64_t read_from;
	struct assembly assemblies[ASSEMBLIES];
	uint32_t assembly_turn; /* the one to replace next */
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

struct sns *sns_create(struct platclient *platclient, struct rnd *rnd,
		       sns_valid *valid)
{
	struct sns *sns = calloc(1, sizeof(*sns));

	if (!sns)
		return NULL;
	sns->platclient = platclient;
	sns->rnd = rnd;
	sns->valid = valid;
	sns->newest_next = -1;
	return sns;
}

void sns_destroy(struct sns *sns)
{
	if (!sns)
		return;
	for (uint32_t i = 0; i < ASSEMBLIES; i++)
		free(sns->assemblies[i].text);
	free(sns->newest);
	free(sns->out);
	free(sns);
}

static void drop_assembly(struct assembly *assembly)
{
	/* The analyzer assumes that `newest` may be the same text. */
	free(assembly->text); /* NOLINT(clang-analyzer-unix.Malloc) */
	memset(assembly, 0, sizeof(*assembly));
}

static void finish_assembly(struct sns *sns, struct assembly *assembly)
{
	bool newer = assembly->fleet_next > sns->newest_next;

	if (newer && sns->valid) {
		newer = sns->valid(assembly->text, assembly->len,
				   assembly->fleet_next);
		sns->invalid += !newer;
	}
	if (newer) {
		free(sns->newest);
		sns->newest = assembly->text;
		sns->newest_len = assembly->len;
		sns->newest_next = assembly->fleet_next;
		sns->newest_offset = assembly->offset;
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
		jsn_parse(record->data, record->len, &fault);
	struct jsn root = jsn_root(value, &fault);
	struct jsn id_at = jsn_member(&root, "id");
	struct jsn next_at = jsn_member(&root, "fleet_next");
	struct jsn part_at = jsn_member(&root, "part");
	struct jsn last_at = jsn_member(&root, "last");
	struct jsn data_at = jsn_member(&root, "data");

	if (value) {
		jsn_keys(&root, keys);
		jsn_string(&id_at, part->id, sizeof(part->id), NULL);
		part->fleet_next = jsn_int(&next_at, 0, LIMIT_NUMBER_MAX, -1);
		part->part = jsn_int(&part_at, 0, MAX_PARTS, -1);
		part->last = jsn_bool(&last_at, false);
		jsn_string(&data_at, part->data, sizeof(part->data), NULL);
	}
	json_object_put(value);
	return fault.kind == ERR_OK;
}

static struct assembly *find_assembly(struct sns *sns, const char *id)
{
	for (uint32_t i = 0; i < ASSEMBLIES; i++)
		if (!strcmp(sns->assemblies[i].id, id))
			return &sns->assemblies[i];
	return NULL;
}

static struct assembly *start_assembly(struct sns *sns, const struct part *part,
				       int64_t offset)
{
	struct assembly *assembly =
		&sns->assemblies[sns->assembly_turn++ % ASSEMBLIES];

	drop_assembly(assembly);
	memcpy(assembly->id, part->id, sizeof(part->id));
	assembly->fleet_next = part->fleet_next;
	assembly->offset = offset;
	return assembly;
}

static void take_record(struct sns *sns, const struct platclient_record *record)
{
	struct assembly *assembly;
	struct part part = { .part = -1 };
	size_t len;
	char *text;

	if (!parse_part(record, &part)) {
		sns->invalid++;
		return;
	}
	if (!part.id[0])
		return;
	assembly = find_assembly(sns, part.id);
	if (!assembly && part.part == 0)
		assembly = start_assembly(sns, &part, record->offset);
	/* A part that was appended twice is passed over, however late its
	   copy takes effect. */
	if (!assembly || part.part != assembly->got)
		return;
	len = strlen(part.data);
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): as in drop_assembly */
	text = realloc(assembly->text, assembly->len + len + 1);
	if (!text)
		return;
	memcpy(text + assembly->len, part.data, len + 1);
	assembly->text = text;
	assembly->len += len;
	assembly->got++;
	if (part.last)
		finish_assembly(sns, assembly);
}

static void read_on(struct sns *sns);

static void end_reading(struct sns *sns, int status)
{
	void (*loaded)(void *arg, int status, const char *text, size_t len) =
		sns->loaded;

	sns->reading = false;
	sns->loaded = NULL;
	if (loaded)
		loaded(sns->loaded_arg, status, sns->newest, sns->newest_len);
	/* Only its offset is of use from now on. */
	free(sns->newest);
	sns->newest = NULL;
}

static void read_done(void *arg, int status,
		      const struct platclient_batch *batch)
{
	struct sns *sns = arg;

	if (status == ERR_GONE && batch->first > sns->read_from) {
		sns->read_from = batch->first;
		read_on(sns);
		return;
	}
	if (status) {
		end_reading(sns, ERR_UNAVAILABLE);
		return;
	}
	/* A snapshot that has passed retention is of no use to a new host. */
	if (!sns->newest && batch->first > sns->newest_offset)
		sns->newest_next = -1;
	for (uint32_t i = 0; i < batch->count; i++)
		take_record(sns, &batch->records[i]);
	if (batch->next > sns->read_from) {
		sns->read_from = batch->next;
		read_on(sns);
		return;
	}
	end_reading(sns, 0);
}

static void read_on(struct sns *sns)
{
	platclient_read(sns->platclient, stream, sns->read_from, READ_MAX, 0,
			read_done, sns);
}

void sns_load(struct sns *sns,
	      void (*fn)(void *arg, int status, const char *text, size_t len),
	      void *arg)
{
	if (sns->reading)
		return;
	sns->reading = true;
	sns->loaded = fn;
	sns->loaded_arg = arg;
	sns->read_from = 0;
	sns->newest_next = -1;
	for (uint32_t i = 0; i < ASSEMBLIES; i++)
		drop_assembly(&sns->assemblies[i]);
	read_on(sns);
}

void sns_poll(struct sns *sns)
{
	if (sns->reading)
		return;
	sns->reading = true;
	read_on(sns);
}

bool sns_busy(const struct sns *sns)
{
	return sns->out != NULL;
}

int64_t sns_invalid(const struct sns *sns)
{
	return sns->invalid;
}

int64_t sns_newest(const struct sns *sns)
{
	return sns->newest_next;
}

static void write_part(struct sns *sns);

static void end_writing(struct sns *sns)
{
	free(sns->out);
	sns->out = NULL;
}

static void part_done(void *arg, int status, int64_t offset)
{
	struct sns *sns = arg;

	(void)offset;
	if (status != 0 &&
	    (status != ERR_UNKNOWN || ++sns->out_attempts >= PART_ATTEMPTS)) {
		end_writing(sns);
		return;
	}
	/* After a lost answer the part goes out again; readers pass over the
	   second copy. */
	if (status == 0) {
		sns->out_pos += sns->out_part_len;
		sns->out_part++;
		sns->out_attempts = 0;
	}
	if (sns->out_pos >= sns->out_len) {
		end_writing(sns);
		/* Only reading it back shows that it is whole. */
		sns_poll(sns);
		return;
	}
	write_part(sns);
}

/* Length of the next part; a UTF-8 character is not cut in two. */
static size_t part_len(const struct sns *sns)
{
	size_t left = sns->out_len - sns->out_pos;
	size_t len = PART_BYTES;

	if (left <= PART_BYTES)
		return left;
	while ((sns->out[sns->out_pos + len] & 0xc0) == 0x80)
		len--;
	return len;
}

static void write_part(struct sns *sns)
{
	size_t len = part_len(sns);
	struct json_object *obj = json_object_new_object();
	const char *text;

	sns->out_part_len = len;
	jsn_put_string(obj, "id", sns->out_id);
	jsn_put_int(obj, "fleet_next", sns->out_next);
	jsn_put_int(obj, "part", sns->out_part);
	json_object_object_add(
		obj, "last",
		json_object_new_boolean(sns->out_pos + len == sns->out_len));
	json_object_object_add(
		obj, "data",
		json_object_new_string_len(sns->out + sns->out_pos, (int)len));
	text = json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN);
	platclient_append(sns->platclient, stream, text, strlen(text),
			  part_done, sns);
	json_object_put(obj);
}

void sns_write(struct sns *sns, char *text, size_t len, int64_t fleet_next)
{
	if (sns->out || !len) {
		free(text);
		return;
	}
	sns->out = text;
	sns->out_len = len;
	sns->out_pos = 0;
	sns->out_part = 0;
	sns->out_attempts = 0;
	sns->out_next = fleet_next;
	rnd_id(sns->rnd, sns->out_id);
	write_part(sns);
}
