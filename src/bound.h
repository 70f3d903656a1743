/*
 * NAME
 *	bound - until when permissions of earlier owners last, as stored in the log
 *
 * An owner gives permissions that outlast it: leases to workers, orders for
 * hosts. A successor may act on a subject only once all of these are over. It
 * could count from its own takeover, but that wait would begin anew with each
 * change of owner. So an owner stores a list of subjects to which it gives no
 * permission, with the time for which earlier ones may last at most. While the
 * newest list of the owners names a subject, no owner gives it a permission; to
 * do so, an owner first stores a list without it. Whoever follows the stream
 * counts the times from when it read the list, which is later than they began.
 *
 * Lists are never deleted, only replaced, so that one that is delivered again
 * late is known by its offset.
 *
 * struct bound_table has the newest list of each key, as read from the log;
 * struct bound is the state of one owner.
 */
#ifndef BOUND_H
#define BOUND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "writer.h"

enum {
	/* Subjects in a list; others wait from each takeover. */
	BOUND_MAX_SUBJECTS = 1024
};

struct bound_table {
	GHashTable *lists; /* key -> struct bound_list */
};

void bound_table_init(struct bound_table *table);
void bound_table_clear(struct bound_table *table);

/*
 * bound_apply - apply the record with a list
 *
 * One at or before the offset of the key's list is ignored. A list that cannot
 * be read is replaced by the next owner before it gives any permission.
 *
 * RETURN VALUE
 *	0 or ERR_INVALID.
 */
int bound_apply(struct bound_table *table, const char *key, int64_t offset,
		const char *value, size_t len, int64_t now_ms, struct err *err);

struct bound_config {
	const struct bound_table *table;
	const char *key; /* of the owner's lists; copied */
	/* A higher fence has appended; must end the tenure. */
	void (*fenced)(void *arg);
	void *arg;
};

struct bound {
	struct bound_config config;
	char *key;
	GHashTable *subjects; /* name -> struct bound_subject */
	bool replace;	      /* the newest list cannot be read */
	GHashTable *storing;  /* names in the list being stored; NULL: none */
	int64_t made_ms;      /* when the last list was made */
	int64_t retry_ms;     /* no list before, after one that was refused */
};

void bound_init(struct bound *bound, const struct bound_config *config);
void bound_clear(struct bound *bound);

/* bound_acquired - begin with the newest list; all earlier records are applied */
void bound_acquired(struct bound *bound);

/*
 * bound_lost - forget all, at the end of the tenure
 *
 * The writer must have been destroyed, so that it calls nothing back.
 */
void bound_lost(struct bound *bound);

/* bound_withholds - whether the subject may be given no permission now */
bool bound_withholds(const struct bound *bound, const char *subject);

/* bound_withholds_any - whether there is any such subject */
bool bound_withholds_any(const struct bound *bound);

/* bound_stored - whether the newest list is the one that is wanted */
bool bound_stored(const struct bound *bound);

/*
 * bound_find_end - when permissions that the subject was given are over
 *
 * RETURN VALUE
 *	False if that is not known; *end_ms is then unchanged.
 */
bool bound_find_end(const struct bound *bound, const char *subject,
		    int64_t *end_ms);

/* bound_foreach - call fn for each subject that may be given no permission */
void bound_foreach(const struct bound *bound,
		   void (*fn)(void *arg, const char *subject, int64_t end_ms),
		   void *arg);

/*
 * bound_own_end_ms - until when a withheld subject may be given permissions
 *
 * Whoever reads a list that this owner has made waits for the end that it names, so
 * that permissions which are over by then may still be given.
 *
 * RETURN VALUE
 *	0 if none may: the subject is not withheld, or was by an earlier owner.
 */
int64_t bound_own_end_ms(const struct bound *bound, const char *subject);

/*
 * bound_withhold - give the subject no permission beyond end_ms, and store that
 *
 * All earlier ones are over at end_ms; an end that is known already holds.
 *
 * RETURN VALUE
 *	Whether that is new.
 */
bool bound_withhold(struct bound *bound, const char *subject, int64_t end_ms);

/*
 * bound_allow - the subject is to be given permissions again
 *
 * It may be once bound_withholds is false: a list without it is stored first,
 * unless none has named it.
 *
 * RETURN VALUE
 *	Whether it was withheld until now.
 */
bool bound_allow(struct bound *bound, const char *subject);

/*
 * bound_allow_unless - allow all subjects but those for which keep returns true
 */
void bound_allow_unless(struct bound *bound,
			bool (*keep)(void *arg, const char *subject),
			void *arg);

/*
 * bound_store - add the record of the list to the writer when one is due
 *
 * At each change, and again while times run, so that a node that starts reads
 * recent ones. Nothing is added while the last one is not confirmed or the
 * log does not answer.
 */
void bound_store(struct bound *bound, struct writer *writer, int64_t now_ms);

#endif
