/*
 * NAME
 *	file - whole files in memory
 */
#ifndef FILE_H
#define FILE_H

#include <stddef.h>

#include "err.h"

/*
 * file_read - content of a file; "-" is standard input
 *
 * RETURN VALUE
 *	A string that the caller frees with free, ended by a zero byte that
 *	*len does not count, or NULL with err filled in.
 *
 * ERRORS
 *	ERR_IO		cannot be opened or read
 *	ERR_TOO_LARGE	longer than max_bytes
 */
char *file_read(const char *path, size_t max_bytes, size_t *len,
		struct err *err);

#endif
