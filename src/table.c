#include "table.h"

#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_tables.h>

#include "limit.h"

struct table {
	size_t entity_bytes;
	apr_pool_t *pool;
	apr_array_header_t *entities;
	apr_hash_t *by_name;
};

struct table *table_create(size_t entity_bytes)
{
	apr_pool_t *pool;
	struct table *table;

	apr_pool_create(&pool, NULL);
	table = apr_pcalloc(pool, sizeof(*table));
	table->entity_bytes = entity_bytes;
	table->pool = pool;
	table->entities = apr_array_make(pool, 16, sizeof(char *));
	table->by_name = apr_hash_make(pool);
	return table;
}

void table_destroy(struct table *table)
{
	if (!table)
		return;
	for (uint32_t i = 0; i < table_count(table); i++)
		free(table_at(table, i));
	apr_pool_destroy(table->pool);
}

uint32_t table_count(const struct table *table)
{
	return (uint32_t)table->entities->nelts;
}

void *table_at(const struct table *table, uint32_t index)
{
	return APR_ARRAY_IDX(table->entities, index, char *);
}

void *table_find(const struct table *table, const char *name)
{
	return apr_hash_get(table->by_name, name, APR_HASH_KEY_STRING);
}

void *table_add(struct table *table, const char *name)
{
	size_t len = strlen(name);
	char *entity;

	if (len == 0 || len >= LIMIT_NAME_BYTES || table_find(table, name))
		return NULL;
	entity = calloc(1, table->entity_bytes);
	if (!entity)
		return NULL;
	memcpy(entity, name, len + 1);
	APR_ARRAY_PUSH(table->entities, char *) = entity;
	apr_hash_set(table->by_name, entity, APR_HASH_KEY_STRING, entity);
	return entity;
}

void table_remove(struct table *table, const char *name)
{
	char **entities = (char **)table->entities->elts;
	char *entity = table_find(table, name);
	uint32_t count = table_count(table);
	uint32_t i = 0;

	if (!entity)
		return;
	apr_hash_set(table->by_name, entity, APR_HASH_KEY_STRING, NULL);
	while (entities[i] != entity)
		i++;
	memmove(&entities[i], &entities[i + 1],
		(count - i - 1) * sizeof(*entities));
	table->entities->nelts--;
	free(entity);
}
