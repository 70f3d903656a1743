#include "tbl.h"

#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_tables.h>

#include "limit.h"

struct tbl {
	size_t entity_bytes;
	apr_pool_t *pool;
	apr_array_header_t *entities;
	apr_hash_t *by_name;
};

struct tbl *tbl_create(size_t entity_bytes)
{
	apr_pool_t *pool;
	struct tbl *tbl;

	apr_pool_create(&pool, NULL);
	tbl = apr_pcalloc(pool, sizeof(*tbl));
	tbl->entity_bytes = entity_bytes;
	tbl->pool = pool;
	tbl->entities = apr_array_make(pool, 16, sizeof(char *));
	tbl->by_name = apr_hash_make(pool);
	return tbl;
}

void tbl_destroy(struct tbl *tbl)
{
	if (!tbl)
		return;
	for (uint32_t i = 0; i < tbl_count(tbl); i++)
		free(tbl_at(tbl, i));
	apr_pool_destroy(tbl->pool);
}

uint32_t tbl_count(const struct tbl *tbl)
{
	return (uint32_t)tbl->entities->nelts;
}

void *tbl_at(const struct tbl *tbl, uint32_t index)
{
	return APR_ARRAY_IDX(tbl->entities, index, char *);
}

void *tbl_find(const struct tbl *tbl, const char *name)
{
	return apr_hash_get(tbl->by_name, name, APR_HASH_KEY_STRING);
}

void *tbl_add(struct tbl *tbl, const char *name)
{
	size_t len = strlen(name);
	char *entity;

	if (len == 0 || len >= LIMIT_NAME_BYTES || tbl_find(tbl, name))
		return NULL;
	entity = calloc(1, tbl->entity_bytes);
	if (!entity)
		return NULL;
	memcpy(entity, name, len + 1);
	APR_ARRAY_PUSH(tbl->entities, char *) = entity;
	apr_hash_set(tbl->by_name, entity, APR_HASH_KEY_STRING, entity);
	return entity;
}

void tbl_remove(struct tbl *tbl, const char *name)
{
	char **entities = (char **)tbl->entities->elts;
	char *entity = tbl_find(tbl, name);
	uint32_t count = tbl_count(tbl);
	uint32_t i = 0;

	if (!entity)
		return;
	apr_hash_set(tbl->by_name, entity, APR_HASH_KEY_STRING, NULL);
	while (entities[i] != entity)
		i++;
	memmove(&entities[i], &entities[i + 1],
		(count - i - 1) * sizeof(*entities));
	tbl->entities->nelts--;
	free(entity);
}
