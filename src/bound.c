#include "bound.h"

#include <string.h>

#include "jcursor.h"
#include "limit.h"

enum {
	/* Between two lists while times run: a node that starts counts from when
	   it reads the last one. */
	BOUND_REFRESH_MS = 400,
	/* While the log does not answer, a list could only wait, and so would
	   the subjects that it names. */
	BOUND_STALLED_MS = 200
};

struct bound_list {
	int64_t offset;
	bool unreadable;
	GHashTable *ends; /* subject -> int64_t, ms on this node's clock */
};

struct bound_subject {
	int64_t end_ms;
	bool withheld; /* to be in the next list */
	bool own;      /* withheld first by this owner */
	bool listed;   /* in the newest list, or in one that may be stored */
};

static void free_list(void *arg)
{
	struct bound_list *list = arg;

	g_hash_table_destroy(list->ends);
	g_free(list);
}

void bound_table_init(struct bound_table *table)
{
	table->lists = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_list);
}

void bound_table_clear(struct bound_table *table)
{
	g_hash_table_destroy(table->lists);
}

/* Reads a row: the subject's name and how long its permissions last, in ms. */
static void read_row(const struct jcursor *row, struct bound_list *list,
		     int64_t now_ms)
{
	struct jcursor at = jcursor_item(row, 0);
	char name[LIMIT_NAME_BYTES] = "";
	int64_t end_ms;

	jcursor_string(&at, name, sizeof(name), NULL);
	at = jcursor_item(row, 1);
	end_ms = now_ms + jcursor_int(&at, 0, LIMIT_NUMBER_MAX, -1);
	g_hash_table_insert(list->ends, g_strdup(name),
			    g_memdup2(&end_ms, sizeof(end_ms)));
}

int bound_apply(struct bound_table *table, const char *key, int64_t offset,
		const char *value, size_t len, int64_t now_ms, struct err *err)
{
	const struct bound_list *newest =
		g_hash_table_lookup(table->lists, key);
	struct err fault = { .kind = ERR_OK };
	struct json_object *array;
	struct bound_list *list;
	struct jcursor root;
	size_t count = 0;

	if (newest && offset <= newest->offset)
		return 0;
	list = g_new0(struct bound_list, 1);
	list->offset = offset;
	list->ends =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	array = jcursor_parse(value, len, &fault);
	root = jcursor_root(array, &fault);
	if (array)
		count = jcursor_check_array(&root, BOUND_MAX_SUBJECTS);
	for (size_t i = 0; i < count; i++) {
		struct jcursor row = jcursor_item(&root, i);

		read_row(&row, list, now_ms);
	}
	json_object_put(array);
	list->unreadable = fault.kind != ERR_OK;
	g_hash_table_insert(table->lists, g_strdup(key), list);
	if (list->unreadable)
		return err_set(err, fault.kind, "%s", fault.text);
	return 0;
}

void bound_init(struct bound *bound, const struct bound_config *config)
{
	*bound = (struct bound){
		.config = *config,
		.key = g_strdup(config->key),
		.subjects = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free),
	};
}

static void end_storing(struct bound *bound)
{
	if (bound->storing)
		g_hash_table_destroy(bound->storing);
	bound->storing = NULL;
}

void bound_clear(struct bound *bound)
{
	end_storing(bound);
	g_hash_table_destroy(bound->subjects);
	g_free(bound->key);
}

static struct bound_subject *find(const struct bound *bound,
				  const char *subject)
{
	return g_hash_table_lookup(bound->subjects, subject);
}

static struct bound_subject *add(struct bound *bound, const char *subject,
				 int64_t end_ms)
{
	struct bound_subject *added = g_new0(struct bound_subject, 1);

	added->end_ms = end_ms;
	added->withheld = true;
	g_hash_table_insert(bound->subjects, g_strdup(subject), added);
	return added;
}

void bound_lost(struct bound *bound)
{
	end_storing(bound);
	g_hash_table_remove_all(bound->subjects);
	bound->replace = false;
	bound->made_ms = 0;
	bound->retry_ms = 0;
}

void bound_acquired(struct bound *bound)
{
	const struct bound_list *newest =
		g_hash_table_lookup(bound->config.table->lists, bound->key);
	GHashTableIter iter;
	void *name, *end_ms;

	bound_lost(bound);
	if (!newest)
		return;
	bound->replace = newest->unreadable;
	g_hash_table_iter_init(&iter, newest->ends);
	while (!newest->unreadable &&
	       g_hash_table_iter_next(&iter, &name, &end_ms))
		add(bound, name, *(const int64_t *)end_ms)->listed = true;
}

bool bound_withholds(const struct bound *bound, const char *subject)
{
	return bound->replace || find(bound, subject);
}

bool bound_withholds_any(const struct bound *bound)
{
	return bound->replace || g_hash_table_size(bound->subjects);
}

bool bound_find_end(const struct bound *bound, const char *subject,
		    int64_t *end_ms)
{
	const struct bound_subject *found = find(bound, subject);

	if (found)
		*end_ms = found->end_ms;
	return found != NULL;
}

void bound_foreach(const struct bound *bound,
		   void (*fn)(void *arg, const char *subject, int64_t end_ms),
		   void *arg)
{
	GHashTableIter iter;
	void *name, *value;

	g_hash_table_iter_init(&iter, bound->subjects);
	while (g_hash_table_iter_next(&iter, &name, &value))
		fn(arg, name, ((const struct bound_subject *)value)->end_ms);
}

int64_t bound_own_end_ms(const struct bound *bound, const char *subject)
{
	const struct bound_subject *found = find(bound, subject);

	return found && found->own && !bound->replace ? found->end_ms : 0;
}

bool bound_withhold(struct bound *bound, const char *subject, int64_t end_ms)
{
	struct bound_subject *found = find(bound, subject);
	bool withheld = found && found->withheld;

	if (found)
		found->withheld = true;
	else if (g_hash_table_size(bound->subjects) < BOUND_MAX_SUBJECTS)
		add(bound, subject, end_ms)->own = true;
	else
		return false;
	return !withheld;
}

bool bound_allow(struct bound *bound, const char *subject)
{
	struct bound_subject *found = find(bound, subject);

	if (!found || !found->withheld)
		return false;
	found->withheld = false;
	if (!found->listed)
		g_hash_table_remove(bound->subjects, subject);
	return true;
}

void bound_allow_unless(struct bound *bound,
			bool (*keep)(void *arg, const char *subject), void *arg)
{
	GHashTableIter iter;
	void *name, *value;

	g_hash_table_iter_init(&iter, bound->subjects);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct bound_subject *subject = value;

		if (keep(arg, name))
			continue;
		subject->withheld = false;
		if (!subject->listed)
			g_hash_table_iter_remove(&iter);
	}
}

static gboolean is_out(void *name, void *value, void *arg)
{
	struct bound_subject *subject = value;
	GHashTable *names = arg;

	subject->listed = g_hash_table_contains(names, name);
	return !subject->withheld && !subject->listed;
}

static void on_stored(void *arg, enum writer_outcome outcome, int64_t offset)
{
	struct bound *bound = arg;

	(void)offset;
	if (outcome == WRITER_FENCED) {
		bound->config.fenced(bound->config.arg);
		return;
	}
	if (outcome == WRITER_STORED) {
		bound->replace = false;
		g_hash_table_foreach_remove(bound->subjects, is_out,
					    bound->storing);
	} else {
		bound->retry_ms = bound->made_ms + BOUND_REFRESH_MS;
	}
	end_storing(bound);
}

bool bound_stored(const struct bound *bound)
{
	GHashTableIter iter;
	void *value;

	if (bound->storing || bound->replace)
		return false;
	g_hash_table_iter_init(&iter, bound->subjects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bound_subject *subject = value;

		if (subject->withheld != subject->listed)
			return false;
	}
	return true;
}

/* Whether a subject's time runs, so that the list is to be stored again. */
static bool has_time_left(const struct bound *bound, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, bound->subjects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bound_subject *subject = value;

		if (subject->withheld && subject->end_ms > now_ms)
			return true;
	}
	return false;
}

static bool is_due(const struct bound *bound, int64_t now_ms)
{
	if (bound->storing || now_ms < bound->retry_ms)
		return false;
	return !bound_stored(bound) ||
	       (now_ms - bound->made_ms >= BOUND_REFRESH_MS &&
		has_time_left(bound, now_ms));
}

static void add_row(struct json_object *rows, const char *name, int64_t left_ms)
{
	struct json_object *row = json_object_new_array();

	json_object_array_add(row, json_object_new_string(name));
	json_object_array_add(row, json_object_new_int64(left_ms));
	json_object_array_add(rows, row);
}

/* Rows of the subjects, which are noted as named by the list. */
static struct json_object *make_rows(struct bound *bound, int64_t now_ms)
{
	struct json_object *rows = json_object_new_array();
	GHashTableIter iter;
	void *name, *value;

	g_hash_table_iter_init(&iter, bound->subjects);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct bound_subject *subject = value;

		if (!subject->withheld)
			continue;
		subject->listed = true;
		g_hash_table_add(bound->storing, g_strdup(name));
		add_row(rows, name, MAX(subject->end_ms - now_ms, 0));
	}
	return rows;
}

void bound_store(struct bound *bound, struct writer *writer, int64_t now_ms)
{
	struct json_object *rows;
	const char *text;
	char *key;

	if (!is_due(bound, now_ms) ||
	    writer_stalled_ms(writer) > BOUND_STALLED_MS)
		return;
	bound->made_ms = now_ms;
	bound->storing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rows = make_rows(bound, now_ms);
	text = json_object_to_json_string_ext(rows, JSON_C_TO_STRING_PLAIN);
	key = g_strdup_printf("b:%s", bound->key);
	writer_add(writer, key, text, strlen(text), on_stored, bound);
	g_free(key);
	json_object_put(rows);
}
