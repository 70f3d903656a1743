/*
 * NAME
 *	table - ordered table of entities with lookup by name
 *
 * An entity is a struct whose first member is its name: an array of
 * LIMIT_NAME_BYTES characters. Entities keep their address while they are in
 * the table and are kept in order of insertion. The table owns them.
 */
#ifndef TABLE_H
#define TABLE_H

#include <stdint.h>
#include <stddef.h>

struct table;

/* table_create - empty table of entities of the given size */
struct table *table_create(size_t entity_bytes);

/* table_destroy - free the table and its entities; NULL is allowed */
void table_destroy(struct table *table);

uint32_t table_count(const struct table *table);

/* table_at - entity by position, from 0 to table_count - 1 */
void *table_at(const struct table *table, uint32_t index);

/* table_find - entity by name, or NULL */
void *table_find(const struct table *table, const char *name);

/*
 * table_add - add a zeroed entity with that name
 *
 * RETURN VALUE
 *	The entity, or NULL if the name exists already, is empty or too long,
 *	or memory is exhausted.
 */
void *table_add(struct table *table, const char *name);

/* table_remove - remove and free the entity; the others keep their order */
void table_remove(struct table *table, const char *name);

#endif
