#include "quota.h"

#include <string.h>

#include "jcursor.h"
#include "limit.h"

/*
 * Grants are {"n": number, "g": rows [organisation, grant, peak]}, a report is
 * {"n": number of the grants followed, "u": rows [organisation, held, used,
 * wanted, unit, least]}.
 */

static void free_share(void *arg)
{
	struct quota_share *share = arg;

	g_hash_table_destroy(share->parts);
	g_free(share->key);
	g_free(share);
}

void quota_table_init(struct quota_table *table)
{
	table->shares = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_share);
}

void quota_table_clear(struct quota_table *table)
{
	g_hash_table_destroy(table->shares);
}

const struct quota_share *quota_find(const struct quota_table *table,
				     const char *key)
{
	return g_hash_table_lookup(table->shares, key);
}

const struct quota_part *quota_part_find(const struct quota_share *share,
					 const char *tenant)
{
	return share ? g_hash_table_lookup(share->parts, tenant) : NULL;
}

int32_t quota_granted(const struct quota_share *share, const char *tenant)
{
	const struct quota_part *part = quota_part_find(share, tenant);

	return part ? part->granted : 0;
}

int32_t quota_may_use(const struct quota_share *share, const char *tenant)
{
	const struct quota_part *part = quota_part_find(share, tenant);

	if (!part)
		return 0;
	if (share->applied >= share->number)
		return part->held;
	return MAX(part->held, part->peak);
}

static struct quota_share *find_or_add(struct quota_table *table,
				       const char *key)
{
	struct quota_share *share = g_hash_table_lookup(table->shares, key);

	if (share)
		return share;
	share = g_new0(struct quota_share, 1);
	share->key = g_strdup(key);
	share->grants_offset = -1;
	share->use_offset = -1;
	share->parts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(table->shares, share->key, share);
	return share;
}

static struct quota_part *find_or_add_part(struct quota_share *share,
					   const char *tenant)
{
	struct quota_part *part = g_hash_table_lookup(share->parts, tenant);

	if (part)
		return part;
	part = g_new0(struct quota_part, 1);
	g_hash_table_insert(share->parts, g_strdup(tenant), part);
	return part;
}

enum { MAX_NUMBERS = 5 }; /* in a row, behind the name */

struct row {
	char tenant[LIMIT_NAME_BYTES];
	int32_t numbers[MAX_NUMBERS];
};

/* A record, decoded as a whole before anything of it is applied. */
struct record {
	int64_t number;
	GArray *rows; /* struct row */
};

static void read_row(struct jcursor *from, size_t numbers, struct row *row)
{
	struct jcursor item = jcursor_item(from, 0);

	jcursor_string(&item, row->tenant, sizeof(row->tenant), NULL);
	for (size_t i = 0; i < numbers; i++) {
		item = jcursor_item(from, i + 1);
		row->numbers[i] = (int32_t)jcursor_int(&item, 0, INT32_MAX, -1);
	}
}

/* Free record->rows in any case. */
static int read_record(const char *value, size_t len, const char *rows_key,
		       size_t numbers, struct record *record, struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct json_object *object = jcursor_parse(value, len, &fault);
	struct jcursor root = jcursor_root(object, &fault);
	struct jcursor rows, item;
	size_t count = 0;

	record->rows = g_array_new(FALSE, TRUE, sizeof(struct row));
	if (object) {
		item = jcursor_member(&root, "n");
		record->number = jcursor_int(&item, 0, LIMIT_NUMBER_MAX, -1);
		rows = jcursor_member(&root, rows_key);
		count = jcursor_check_array(&rows, QUOTA_MAX_TENANTS);
	}
	for (size_t i = 0; i < count && fault.kind == ERR_OK; i++) {
		struct row row = { 0 };

		item = jcursor_item(&rows, i);
		read_row(&item, numbers, &row);
		g_array_append_val(record->rows, row);
	}
	json_object_put(object);
	return fault.kind == ERR_OK
		       ? 0
		       : err_set(err, fault.kind, "%s", fault.text);
}

static void apply_grants(struct quota_share *share, const struct record *record)
{
	share->number = record->number;
	for (guint i = 0; i < record->rows->len; i++) {
		const struct row *row =
			&g_array_index(record->rows, struct row, i);
		struct quota_part *part = find_or_add_part(share, row->tenant);

		part->granted = row->numbers[0];
		part->peak = row->numbers[1];
	}
}

int quota_apply_grants(struct quota_table *table, const char *key,
		       int64_t offset, const char *value, size_t len,
		       struct err *err)
{
	struct quota_share *share = find_or_add(table, key);
	struct record record = { 0 };
	int status;

	if (offset <= share->grants_offset)
		return 0;
	status = read_record(value, len, "g", 2, &record, err);
	if (status == 0) {
		share->grants_offset = offset;
		apply_grants(share, &record);
	}
	g_array_free(record.rows, TRUE);
	return status;
}

static void clear_reports(struct quota_share *share)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, share->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota_part *part = value;

		part->reported = false;
		part->held = 0;
		part->used = 0;
		part->wanted = 0;
		part->unit = 0;
		part->least = 0;
	}
}

static void apply_use(struct quota_share *share, const struct record *record)
{
	clear_reports(share);
	share->applied = record->number;
	share->reported = true;
	for (guint i = 0; i < record->rows->len; i++) {
		const struct row *row =
			&g_array_index(record->rows, struct row, i);
		struct quota_part *part = find_or_add_part(share, row->tenant);

		part->reported = true;
		part->held = row->numbers[0];
		part->used = row->numbers[1];
		part->wanted = row->numbers[2];
		part->unit = row->numbers[3];
		part->least = row->numbers[4];
	}
}

int quota_apply_use(struct quota_table *table, const char *key, int64_t offset,
		    const char *value, size_t len, struct err *err)
{
	struct quota_share *share = find_or_add(table, key);
	struct record record = { 0 };
	int status;

	if (offset <= share->use_offset)
		return 0;
	status = read_record(value, len, "u", 5, &record, err);
	if (status == 0) {
		share->use_offset = offset;
		apply_use(share, &record);
	}
	g_array_free(record.rows, TRUE);
	return status;
}

static void add_grant(GString *text, const char *tenant, int32_t granted,
		      int32_t peak)
{
	struct json_object *name = json_object_new_string(tenant);

	g_string_append_printf(
		text, "%s[%s,%d,%d]",
		text->str[text->len - 1] == '[' ? "" : ",",
		json_object_to_json_string_ext(name, JSON_C_TO_STRING_PLAIN),
		granted, peak);
	json_object_put(name);
}

/* The highest grant that the owner may follow until it has read the next one. */
static int32_t next_peak(const struct quota_share *share,
			 const struct quota_part *part, int32_t granted)
{
	bool follows = share->applied >= share->number;

	return follows ? granted : MAX(part->peak, granted);
}

char *quota_grants_record(const struct quota_share *share, int64_t number,
			  GHashTable *changes)
{
	GString *text = g_string_new(NULL);
	GHashTableIter iter;
	void *tenant, *value;

	g_string_printf(text, "{\"n\":%" G_GINT64_FORMAT ",\"g\":[", number);
	if (share) {
		g_hash_table_iter_init(&iter, share->parts);
		while (g_hash_table_iter_next(&iter, &tenant, &value)) {
			const struct quota_part *part = value;
			void *change;
			int32_t granted = part->granted;

			if (g_hash_table_lookup_extended(changes, tenant, NULL,
							 &change))
				granted = GPOINTER_TO_INT(change);
			add_grant(text, tenant, granted,
				  next_peak(share, part, granted));
		}
	}
	g_hash_table_iter_init(&iter, changes);
	while (g_hash_table_iter_next(&iter, &tenant, &value))
		if (!quota_part_find(share, tenant))
			add_grant(text, tenant, GPOINTER_TO_INT(value),
				  GPOINTER_TO_INT(value));
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}
