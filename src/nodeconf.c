#include "nodeconf.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "jcursor.h"

/* Splits "address:port"; refuses another form. */
static void read_address(const struct jcursor *root, const char *key,
			 bool needed, struct nodeconf_address *out)
{
	struct jcursor at = jcursor_member(root, key);
	char text[LIMIT_ADDRESS_BYTES];
	char *colon;
	char *end;
	unsigned long port;

	jcursor_string(&at, text, sizeof(text), needed ? NULL : "");
	if (!text[0])
		return;
	colon = strrchr(text, ':');
	port = colon ? strtoul(colon + 1, &end, 10) : 0;
	if (!colon || *end || port < 1 || port > UINT16_MAX) {
		jcursor_refuse(&at, "address:port");
		return;
	}
	*colon = 0;
	g_strlcpy(out->host, text, sizeof(out->host));
	out->port = (uint16_t)port;
}

static void read_text(const struct jcursor *root, const char *key, char *out,
		      size_t size, const char *fallback)
{
	struct jcursor at = jcursor_member(root, key);

	jcursor_string(&at, out, size, fallback);
}

static int64_t read_ms(const struct jcursor *root, const char *key,
		       int64_t fallback_ms)
{
	struct jcursor at = jcursor_member(root, key);

	return jcursor_int(&at, 1, 3600 * 1000, fallback_ms);
}

/* Seconds that may have a fraction. */
static int64_t read_seconds(const struct jcursor *root, const char *key,
			    double fallback_s)
{
	struct jcursor at = jcursor_member(root, key);

	return (int64_t)(jcursor_double(&at, 0, 3600, fallback_s) * 1000);
}

/* A positive number; what is not given counts as enough. */
static double read_size(const struct jcursor *root, const char *key,
			double fallback)
{
	struct jcursor at = jcursor_member(root, key);

	return jcursor_double(&at, 0, 1e9, fallback);
}

int nodeconf_parse(const char *text, size_t len, struct nodeconf *settings,
		   struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct nodeconf read = { 0 };
	struct json_object *value = jcursor_parse(text, len, &fault);
	struct jcursor root = jcursor_root(value, &fault);

	if (!value)
		return err_set(err, fault.kind, "%s", fault.text);
	jcursor_object(&root);
	read_text(&root, "name", read.name, sizeof(read.name), NULL);
	read_text(&root, "data_centre", read.data_centre,
		  sizeof(read.data_centre), NULL);
	read_address(&root, "callers", true, &read.callers);
	read_address(&root, "readiness", true, &read.readiness);
	read_address(&root, "metrics", false, &read.metrics);
	read_text(&root, "log_service", read.log_service,
		  sizeof(read.log_service), NULL);
	read_text(&root, "host_service", read.host_service,
		  sizeof(read.host_service), "");
	read.lease_max_ms = read_ms(&root, "lease_max_ms", 6000);
	read.stop_grace_ms = read_seconds(&root, "stop_grace_s", 6);
	read.order_lease_ms = read_ms(&root, "order_lease_ms", 3000);
	read.job_keep_ms = read_seconds(&root, "job_keep_s", 120);
	read.core_share = read_size(&root, "core_share", 1) *
			  read_size(&root, "core_speed", 1);
	read.link_mbps = read_size(&root, "link_mbps", 1000);
	read.decider_core_share = read_size(&root, "decider_core_share", 0.2);
	read.decider_link_mbps = read_size(&root, "decider_link_mbps", 50);
	json_object_put(value);
	if (fault.kind != ERR_OK)
		return err_set(err, fault.kind, "%s", fault.text);
	*settings = read;
	return 0;
}

int nodeconf_load(const char *path, struct nodeconf *settings, struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	gchar *text = NULL;
	gsize len = 0;
	GError *error = NULL;
	int status;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		status = err_set(err, ERR_IO, "%s", error->message);
		g_error_free(error);
		return status;
	}
	status = nodeconf_parse(text, len, settings, &fault);
	if (status < 0)
		err_set(err, status, "%s: %s", path, fault.text);
	g_free(text);
	return status;
}
