/*
 * NAME
 *	file - reads whole files into memory
 */
#ifndef FILE_H
#define FILE_H

#include <stddef.h>

#include "err.h"

/*
 * file_read - read a file; "-" is standard input
 *
 * RETURN VALUE
 *	A string that the caller frees with free, or NULL with err filled in.
 *	A zero byte, not counted in *len, follows the content.
 *
 * ERRORS
 *	ERR_IO		cannot be opened or read
 *	ERR_TOO_LARGE	longer than max_bytes
 */
char *file_read(const char *path, size_t max_bytes, size_t *len,
		struct err *err);

#endif
