/*
 * Unit tests of JSON that is read as it arrives: what is passed on does not depend
 * on how the text is divided, and no length of it takes memory.
 */

#include <malloc.h>
#include <string.h>

#include <check.h>

#include "json_stream.h"
#include "odd_text.h"
#include "suite.h"

enum {
	PART_BYTES = 16 * 1024,
	LONG_BYTES = 16 * 1024 * 1024,
	/* Well above what one value takes, and far below the long text. */
	MAX_HELD_BYTES = 4 * 1024 * 1024
};

static const struct json_stream_member members[] = {
	{ .name = "a" },
	{ .name = "rows", .rows = true },
	{ .name = NULL },
};

/* Writes down what is passed on. */
static bool note(void *arg, const char *name, struct json_object *value,
		 bool is_row)
{
	GString *seen = arg;

	g_string_append_printf(
		seen, "%s%s=%s;", name, is_row ? "[]" : "",
		json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN));
	return true;
}

/* Reads the text in parts; returns whether it is complete. */
static bool read_parts(const char *text, size_t part, GString *seen)
{
	struct json_stream *stream = json_stream_create(members, note, seen);
	size_t len = strlen(text);
	bool complete;

	g_string_truncate(seen, 0);
	for (size_t i = 0; i < len; i += part)
		json_stream_feed(stream, text + i, MIN(part, len - i));
	complete = json_stream_is_complete(stream);
	json_stream_destroy(stream);
	return complete;
}

/* Guards against a text that is read otherwise where two parts of it meet. */
START_TEST(values_are_read_however_the_text_is_divided)
{
	static const struct {
		const char *text, *seen; /* NULL: the text is refused */
	} cases[] = {
		{ "{}", "" },
		{ " { \"a\" : 5 } ", "a=5;" },
		{ "{\"a\":5,\"b\":{\"a\":[1,\"]}\"]},\"a\":\"x\"}",
		  "a=5;a=\"x\";" },
		{ "{\"rows\":[]}", "" },
		{ "{\"rows\":[1,[2,\"],\"] , "
		  "{\"a\":\"\\\"}\"},null],\"a\":-1.5}",
		  "rows[]=1;rows[]=[2,\"],\"];rows[]={\"a\":\"\\\"}\"};"
		  "rows[]=null;a=-1.5;" },
		{ "{\"rows\":null,\"a\":null}", "rows=null;a=null;" },
		{ "{\"rows\":{},\"a\":[1]}", "rows={};a=[1];" },
		{ "{\"r\\u006fws\":[true]}", "rows[]=true;" },
		{ "{\"a\":\"\\u00e9\\\\\"}", "a=\"\xc3\xa9\\\\\";" },
		{ "{\"b\":\"\\u00\",\"a\":1}", NULL },
		{ "[]", NULL },
		{ "5", NULL },
		{ "", NULL },
		{ "{\"a\":5", NULL },
		{ "{\"a\":5}}", NULL },
		{ "{\"a\":5}{}", NULL },
		{ "{\"a\" 5}", NULL },
		{ "{\"a\":}", NULL },
		{ "{5:5}", NULL },
		{ "{\"a\":5 5}", NULL },
		{ "{\"a\":[5}", NULL },
		{ "{\"a\":\"x}", NULL },
		{ "{\"rows\":[,]}", NULL },
		{ "{\"rows\":[1 2]}", NULL },
		{ "{\"rows\":[1}", NULL },
		{ "{\"rows\":[[1]]", NULL },
		{ "{\"b\":/*\"*/1,\"rows\":[1],\"c\":\"\"}", NULL },
	};
	GString *seen = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (size_t part = 1; part <= strlen(cases[i].text) + 1;
		     part++) {
			bool complete = read_parts(cases[i].text, part, seen);

			ck_assert_msg(complete == (cases[i].seen != NULL),
				      "%s by %zu", cases[i].text, part);
			if (complete)
				ck_assert_msg(!strcmp(seen->str, cases[i].seen),
					      "%s by %zu: %s", cases[i].text,
					      part, seen->str);
		}
	g_string_free(seen, TRUE);
}
END_TEST

static bool note_len(void *arg, const char *name, struct json_object *value,
		     bool is_row)
{
	size_t *len = arg;

	(void)name;
	(void)is_row;
	*len = (size_t)json_object_get_string_len(value);
	return true;
}

/* Guards against a cut within an escape, which would make the text malformed. */
START_TEST(long_strings_are_cut_between_characters)
{
	static const char *const pieces[] = { "c", "\\\"", "\\u0041",
					      "\xc3\xa9" };

	for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
		for (int extra = 0; extra < 8; extra++) {
			size_t len = 0;
			struct json_stream *stream =
				json_stream_create(members, note_len, &len);
			char *body = odd_text_repeat(pieces[i], 40000);
			char *text = g_strdup_printf("{\"a\":\"%.*s%s\"}",
						     extra, "1234567", body);

			for (size_t at = 0; at < strlen(text); at += 4097)
				json_stream_feed(stream, text + at,
						 MIN(strlen(text) - at, 4097));
			ck_assert_msg(json_stream_is_complete(stream), "%s %d",
				      pieces[i], extra);
			ck_assert_uint_ge(len, JSON_STREAM_STRING_BYTES / 6);
			ck_assert_uint_le(len, JSON_STREAM_STRING_BYTES);
			json_stream_destroy(stream);
			g_free(text);
			g_free(body);
		}
	}
}
END_TEST

static size_t used_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Guards against a message whose length takes the memory of its reader. */
START_TEST(length_of_a_text_takes_no_memory)
{
	static const struct {
		const char *before, *filler, *after;
	} shapes[] = {
		{ "{\"a\":\"", "c", "\"}" },
		{ "{\"a\":\"", "\\", "\"}" },
		{ "{\"b\":\"", "c", "\"}" },
		{ "{\"b\":[", "[],", "1]}" },
		{ "{\"rows\":[", "[\"c\"],", "1]}" },
		{ "{\"a\":", "1", "}" },
		{ "{\"a\":[", "1,", "1]}" },
	};
	size_t len = 0;
	struct json_stream *stream =
		json_stream_create(members, note_len, &len);
	char part[PART_BYTES];
	size_t before = used_bytes();
	size_t most = 0;
	const char *filler = shapes[_i].filler;

	for (size_t i = 0; i < sizeof(part); i++)
		part[i] = filler[i % strlen(filler)];
	json_stream_feed(stream, shapes[_i].before, strlen(shapes[_i].before));
	for (size_t fed = 0; fed < LONG_BYTES; fed += sizeof(part)) {
		json_stream_feed(stream, part,
				 sizeof(part) - sizeof(part) % strlen(filler));
		most = MAX(most, used_bytes());
	}
	json_stream_feed(stream, shapes[_i].after, strlen(shapes[_i].after));
	ck_assert_uint_le(most - MIN(most, before), MAX_HELD_BYTES);
	json_stream_destroy(stream);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("json_stream");
	TCase *tcase = tcase_create("JSON that is read as it arrives");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, values_are_read_however_the_text_is_divided);
	tcase_add_test(tcase, long_strings_are_cut_between_characters);
	tcase_add_loop_test(tcase, length_of_a_text_takes_no_memory, 0, 7);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
