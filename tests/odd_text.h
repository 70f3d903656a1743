/*
 * Helper of the tests of what other writers may leave.
 */
#ifndef ODD_TEXT_H
#define ODD_TEXT_H

#include <glib.h>

/* odd_text_repeat - the piece, count times; free it with g_free */
static inline char *odd_text_repeat(const char *piece, size_t count)
{
	GString *text = g_string_new(NULL);

	while (count--)
		g_string_append(text, piece);
	return g_string_free(text, FALSE);
}

#endif
