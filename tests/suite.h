/*
 * NAME
 *	suite - runs a suite of unit tests
 */
#ifndef SUITE_H
#define SUITE_H

#include <stdlib.h>

#include <check.h>

/* suite_run - run all tests, free the suite and return the exit status */
static inline int suite_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
