#include "file.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

char *file_read(const char *path, size_t max_bytes, size_t *len,
		struct err *err)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "rb") : stdin;
	char *text = malloc(max_bytes + 2);
	int failed = 0;

	*len = 0;
	if (file && text) {
		*len = fread(text, 1, max_bytes + 1, file);
		failed = ferror(file);
	}
	if (!file || !text || failed)
		err_set(err, ERR_IO, "%s: %s", path, strerror(errno));
	else if (*len > max_bytes)
		err_set(err, ERR_TOO_LARGE, "%s: more than %zu bytes", path,
			max_bytes);
	if (file && file != stdin)
		fclose(file);
	if (!file || !text || failed || *len > max_bytes) {
		free(text);
		return NULL;
	}
	text[*len] = 0;
	return text;
}
