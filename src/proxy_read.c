#include "proxy_int.h"

#include <string.h>
#include <strings.h>

#include <apr_strings.h>

#include "jcursor.h"

static bool is_repeatable(const struct web_request *request)
{
	static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "PUT",
					       "DELETE" };
	const char *text = web_header(request, "Plank-Repeatable");

	if (text)
		return !strcasecmp(text, "yes");
	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (!strcmp(request->method, methods[i]))
			return true;
	return false;
}

/* Splits a target "/team/pool/rest?query"; false if it has another form. */
static bool split_target(struct forward *forward)
{
	char *target = apr_pstrdup(forward->pool, forward->request->target);
	char *pool, *rest;

	if (target[0] != '/' || !(pool = strchr(target + 1, '/')))
		return false;
	*pool++ = 0;
	rest = strchr(pool, '/');
	if (!rest)
		return false;
	*rest++ = 0;
	forward->team = target + 1;
	forward->pool_name = pool;
	forward->worker_target = rest;
	return jcursor_valid_name(forward->team) &&
	       jcursor_valid_name(forward->pool_name);
}

static bool read_priority(const struct web_request *request,
			  enum admit_priority *priority)
{
	static const char *const names[ADMIT_PRIORITIES] = { "urgent", "normal",
							     "long" };
	const char *text = web_header(request, "Plank-Priority");

	*priority = ADMIT_NORMAL;
	if (!text)
		return true;
	for (int i = 0; i < ADMIT_PRIORITIES; i++) {
		if (strcasecmp(text, names[i]) != 0)
			continue;
		*priority = (enum admit_priority)i;
		return true;
	}
	return false;
}

int64_t proxy_read_time(const char *text)
{
	char *end;
	int64_t value;

	if (!text || *text < '0' || *text > '9')
		return 0;
	value = apr_strtoi64(text, &end, 10);
	return *end || value > LIMIT_NUMBER_MAX ? 0 : value;
}

/* Reads a declared size; false unless it is a number within the limit. */
static bool read_size(const struct web_request *request, const char *name,
		      int64_t *size)
{
	const char *text = web_header(request, name);

	if (!text)
		return true;
	*size = apr_atoi64(text);
	return *text && strspn(text, "0123456789") == strlen(text) &&
	       strlen(text) <= 10 && *size <= LIMIT_DECLARED_SIZE;
}

static bool read_sizes(struct forward *forward)
{
	const struct web_request *request = forward->request;

	return read_size(request, "Plank-Cpu-Milli", &forward->cpu_milli) &&
	       read_size(request, "Plank-Mem-Mib", &forward->mem_mib) &&
	       read_size(request, "Plank-Accelerators", &forward->accelerators);
}

const char *proxy_read(struct forward *forward, int64_t now_ms)
{
	const struct web_request *request = forward->request;
	const char *deadline = web_header(request, "Plank-Deadline-Ms");
	int64_t deadline_ms =
		deadline ? apr_atoi64(deadline) : LIMIT_DEADLINE_MS;

	if (!split_target(forward))
		return "the path must be /{team}/{pool}/...";
	if (deadline_ms < 1 || deadline_ms > LIMIT_DEADLINE_MAX_MS)
		return "Plank-Deadline-Ms must be from 1 to 3600000";
	if (!read_priority(request, &forward->entry.priority))
		return "Plank-Priority must be urgent, normal or long";
	if (!read_sizes(forward))
		return "Plank-Cpu-Milli, Plank-Mem-Mib and Plank-Accelerators "
		       "must be from 0 to 1000000000";
	forward->repeatable = is_repeatable(request);
	forward->entry.deadline_ms = now_ms + deadline_ms;
	forward->entry.bytes = request->body_len + LIMIT_QUEUE_ENTRY_BYTES;
	return NULL;
}
