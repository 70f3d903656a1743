/*
 * NAME
 *	web_budget - carries out what module budget decides
 *
 * Internal to module web.
 */
#ifndef WEB_BUDGET_H
#define WEB_BUDGET_H

#include <stddef.h>

struct web;

/*
 * web_retry_after - seconds for the header Retry-After
 *
 * They vary, so that refused clients do not come back all at once.
 */
void web_retry_after(const struct web *web, char *text, size_t size);

#endif
