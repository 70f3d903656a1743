/*
 * NAME
 *	tbl - ordered table of entities, with look-up by name
 *
 * An entity is a struct whose first member is its name: an array of
 * LIMIT_NAME_BYTES characters. Entities keep their address while they are in
 * the table and are listed in order of insertion. The table owns them.
 */
#ifndef TBL_H
#define TBL_H

#include <stdint.h>
#include <stddef.h>

struct tbl;

/* tbl_create - empty table of entities of the given size */
struct tbl *tbl_create(size_t entity_bytes);

/* tbl_destroy - free the table and its entities; NULL is allowed */
void tbl_destroy(struct tbl *tbl);

uint32_t tbl_count(const struct tbl *tbl);

/* tbl_at - entity by position, from 0 to tbl_count - 1 */
void *tbl_at(const struct tbl *tbl, uint32_t index);

/* tbl_find - entity by name, or NULL */
void *tbl_find(const struct tbl *tbl, const char *name);

/*
 * tbl_add - add a zeroed entity with that name
 *
 * RETURN VALUE
 *	The entity, or NULL if the name is taken, empty or too long, or
 *	memory is short.
 */
void *tbl_add(struct tbl *tbl, const char *name);

/* tbl_remove - remove and free the entity; the others keep their order */
void tbl_remove(struct tbl *tbl, const char *name);

#endif
